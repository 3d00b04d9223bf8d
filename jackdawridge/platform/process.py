"""Process of an entry or a side on the users' platform."""

from __future__ import annotations

import os
import sys
from importlib import import_module
from pathlib import Path

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.serving import prepare_reactor, serve
from jackdawridge.errors import SettingsError
from jackdawridge.platform.settings import FILE_VARIABLE, load_node_settings


def run() -> int:
    """Run the role that the settings file names; return the exit code."""
    path = Path(os.environ.get(FILE_VARIABLE, ''))
    try:
        node = load_node_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        return Exit.invalid
    reactor = prepare_reactor(node.settings)
    # Imports delay the start, so only the modules of this role are imported.
    role_module = import_module(f'jackdawridge.platform.{node.settings.role}')
    application = role_module.build(node, reactor)
    return serve(
        application, reactor, lambda: load_node_settings(path).settings
    )
