"""Settings of all tests."""

from __future__ import annotations

from hypothesis import settings

# CI must give the same verdict each time, whatever the machine's speed.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')
