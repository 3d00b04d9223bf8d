"""Waits until the gossip about joining processes has ended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.task import deferLater

from benchmarks.control.deployment import HEARTBEAT

if TYPE_CHECKING:
    from benchmarks.control.fleet import Fleet

#: Messages that carry news of members.
GOSSIP = ('Gossip', 'TablePart', 'SyncRequest')
#: Gossip is over at this rate, in messages a second.
QUIET_RATE = 0.2
#: Time over which the rate is taken, in seconds.
WINDOW = 2 * HEARTBEAT
#: Longest wait, in seconds.
LIMIT = 180.0


class Quiet(NamedTuple):
    """How the wait for the end of gossip went."""

    #: Time from the first link on, in seconds.
    waited: float
    #: Gossip at the end of the wait, in messages a second.
    rate: float


async def wait_until_quiet(fleet: Fleet, started: float) -> Quiet:
    """Wait until gossip is over, for a limited time.

    :param fleet: the peers of the process under measurement.
    :param started: monotonic time at which the first link was dialled.
    """
    while True:
        before = _count(fleet)
        await deferLater(fleet.reactor, WINDOW)
        rate = (_count(fleet) - before) / WINDOW
        waited = time.monotonic() - started
        if rate <= QUIET_RATE or waited > LIMIT:
            return Quiet(waited, rate)


def _count(fleet: Fleet) -> int:
    """Return the messages of gossip so far."""
    return sum(fleet.messages[name] for name in GOSSIP)
