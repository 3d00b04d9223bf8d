"""Entry point of `python -m jackdawridge`."""

from __future__ import annotations

import sys

from jackdawridge.cmd.main import main

sys.exit(main())
