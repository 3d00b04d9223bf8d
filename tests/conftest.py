"""Settings of all tests."""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from tests.processes.background import stop_all

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

#: Tests that fail for a known fault, one line each: the test, the command
#: with the seed, what was seen and the issue, separated by `|`.
KNOWN_RED = Path(__file__).resolve().parents[1] / 'KNOWN-RED.txt'

#: Seed of what the code under test draws at random, beside the tests' own.
SEED = 1

# CI must give the same verdict each time, whatever the machine's speed.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the seed of the failure tests.

    :param parser: of the command line.
    """
    parser.addoption(
        '--seed',
        type=int,
        default=1,
        help='seed of the faults in tests with real processes',
    )


@pytest.fixture(autouse=True)
def fixed_random() -> None:
    """Let jitter and random choices in this process be the same each time."""
    random.seed(SEED)


@pytest.fixture(autouse=True)
def background() -> Iterator[None]:
    """End the threads of a test that has failed."""
    yield
    stop_all()


def read_known_red(text: str) -> dict[str, str]:
    """Return the line of each listed test by its id.

    :param text: of the list; empty lines and those with `#` do not count.
    """
    lines = [line.strip() for line in text.splitlines()]
    return {
        line.split('|')[0].strip(): line
        for line in lines
        if line and not line.startswith('#')
    }


def pytest_collection_modifyitems(items: Sequence[pytest.Item]) -> None:
    """Expect the listed tests, and no others, to fail.

    :param items: the collected tests.
    """
    if not KNOWN_RED.exists():
        return
    listed = read_known_red(KNOWN_RED.read_text())
    for item in items:
        line = listed.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Name a failed test at once: a run that is broken off has no summary.

    :param report: of one phase of a test.
    """
    if report.failed and sys.__stderr__ is not None:
        sys.__stderr__.write(f'\nFAILED {report.nodeid} ({report.when})\n')
        sys.__stderr__.flush()


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print what became of the listed tests.

    :param terminalreporter: writes to the terminal.
    """
    for outcome in ('xfailed', 'xpassed'):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(
                f'KNOWN RED, {outcome}: {report.nodeid}'
            )
