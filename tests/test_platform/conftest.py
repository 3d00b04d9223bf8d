"""Fixtures of the tests with processes of the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.test_platform.test_processes import Site

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Return a running site; it is stopped after the test."""
    running = Site(tmp_path)
    yield running
    running.close()
