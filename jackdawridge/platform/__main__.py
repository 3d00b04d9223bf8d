"""Entry point of `python -m jackdawridge.platform`."""

from __future__ import annotations

import signal
import sys
from importlib import import_module


def main() -> int:
    """Run the process that the settings file describes; return the exit code.

    SIGHUP, which by default ends a process, is ignored before anything else:
    the imports take half a second, and the settings are read after them.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    exit_code: int = import_module('jackdawridge.platform.process').run()
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
