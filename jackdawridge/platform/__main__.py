"""Runs a process by `python -m jackdawridge.platform`."""

from __future__ import annotations

import os
import sys
from importlib import import_module
from pathlib import Path

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.serving import prepare, serve
from jackdawridge.errors import SettingsError
from jackdawridge.platform.settings import FILE_VARIABLE, load_node_settings


def main() -> int:
    """Run the role that the platform's file names."""
    path = Path(os.environ.get(FILE_VARIABLE, ''))
    try:
        node = load_node_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        return Exit.invalid
    reactor = prepare(node.settings)
    # Imports delay the start, so that only those of the role are made.
    wiring = import_module(f'jackdawridge.platform.{node.settings.role}')
    return serve(wiring.build(node, reactor), reactor)


if __name__ == '__main__':
    sys.exit(main())
