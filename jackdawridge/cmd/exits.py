"""Exit codes of the command line."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """Exit codes of the commands."""

    #: The command succeeded.
    ok = 0
    #: The command failed, or what it asked for does not exist.
    failed = 1
    #: The input is invalid.
    invalid = 2
    #: The change conflicts with the current state.
    conflict = 3
    #: The outcome is unknown or no process answers; ask again.
    unknown = 4
