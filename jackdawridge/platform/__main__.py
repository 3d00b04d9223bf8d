"""Runs a process on the users' platform by `python -m jackdawridge.platform`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.serving import prepare, serve
from jackdawridge.errors import SettingsError
from jackdawridge.platform.settings import FILE_VARIABLE, load_node_settings


def main() -> int:
    """Run the role that the platform's file names."""
    path = os.environ.get(FILE_VARIABLE, '')
    try:
        node = load_node_settings(Path(path))
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        return Exit.invalid
    # Each role loads only what it needs, since imports delay its start.
    if node.settings.role == 'entry':
        from jackdawridge.platform.entry import build_entry as build  # noqa: WPS433
    else:
        from jackdawridge.platform.side import build_side as build  # noqa: WPS433
    # Each line is there for the reader at once.
    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    reactor = prepare(node.settings, sys.stdout)
    return serve(build(node, reactor), reactor)


if __name__ == '__main__':
    sys.exit(main())
