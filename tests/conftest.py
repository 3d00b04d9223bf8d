"""Hooks and fixtures for all tests."""

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

#: File of the tests that are expected to fail, one a line: test id, command
#: with the seed, observed failure and issue, separated by `|`.
KNOWN_RED = Path(__file__).resolve().parents[1] / 'KNOWN-RED.txt'

#: Seed of the random choices of the code under test.
SEED = 1

# Results must be the same in each run and must not depend on the speed of the
# machine.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option `--seed`.

    :param parser: parser of the command line of pytest.
    """
    parser.addoption(
        '--seed',
        type=int,
        default=1,
        help='seed of the faults in tests with real processes',
    )


@pytest.fixture(autouse=True)
def fixed_random() -> None:
    """Make jitter and random choices in this process reproducible."""
    random.seed(SEED)


@pytest.fixture(autouse=True)
def stop_background() -> Iterator[None]:
    """Stop the background threads that a failed test has left running."""
    yield
    stop_all()


def parse_known_red(text: str) -> dict[str, str]:
    """Return the lines of a list of known failures by test id.

    :param text: content of the list; empty lines and comments that start
        with `#` are ignored.
    """
    lines = [line.strip() for line in text.splitlines()]
    return {
        line.split('|')[0].strip(): line
        for line in lines
        if line and not line.startswith('#')
    }


def pytest_collection_modifyitems(items: Sequence[pytest.Item]) -> None:
    """Mark the tests in `KNOWN_RED`, and only these, as expected to fail.

    :param items: collected tests.
    """
    if not KNOWN_RED.exists():
        return
    known_red = parse_known_red(KNOWN_RED.read_text())
    for item in items:
        line = known_red.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Print the id of a failed test at once.

    A run that is aborted prints no summary.

    :param report: report of one phase of a test.
    """
    if report.failed and sys.__stderr__ is not None:
        sys.__stderr__.write(f'\nFAILED {report.nodeid} ({report.when})\n')
        sys.__stderr__.flush()


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the outcome of the tests in `KNOWN_RED`.

    :param terminalreporter: reporter that writes to the terminal.
    """
    for outcome in ('xfailed', 'xpassed'):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.write_line(
                f'KNOWN RED, {outcome}: {report.nodeid}'
            )
