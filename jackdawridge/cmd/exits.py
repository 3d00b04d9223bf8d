"""Exit codes of the command line."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """What the exit code of a command says."""

    #: Everything was done.
    ok = 0
    #: It was not done, or has failed.
    failed = 1
    #: The input is wrong.
    invalid = 2
    #: The change contradicts the current state.
    conflict = 3
    #: Whether it was done cannot be told, or nobody answers; ask again.
    unknown = 4
