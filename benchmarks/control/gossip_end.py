"""Waits until the gossip about joining processes has ended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.task import deferLater

from benchmarks.control.deployment import HEARTBEAT_INTERVAL

if TYPE_CHECKING:
    from benchmarks.control.fleet import Fleet

#: Names of the message types that carry updates of member records.
GOSSIP_TYPES = ('Gossip', 'TablePart', 'SyncRequest')
#: Rate at or below which gossip has ended, in messages per second.
QUIET_RATE = 0.2
#: Time over which the gossip rate is measured, in seconds.
RATE_WINDOW_TIME = 2 * HEARTBEAT_INTERVAL
#: Time after which the wait is given up, in seconds.
MAX_WAIT_TIME = 180.0


class GossipEnd(NamedTuple):
    """Result of a wait for the end of gossip."""

    #: Time from the first link to the end of the wait, in seconds.
    waited: float
    #: Gossip rate at the end of the wait, in messages per second.
    rate: float


async def await_gossip_end(fleet: Fleet, started: float) -> GossipEnd:
    """Wait until gossip has ended or the longest wait is over.

    :param fleet: stand-in peers of the process under measurement.
    :param started: monotonic time at which the first link was dialled.
    """
    while True:
        before = _count_gossip(fleet)
        await deferLater(fleet.reactor, RATE_WINDOW_TIME)
        rate = (_count_gossip(fleet) - before) / RATE_WINDOW_TIME
        waited = time.monotonic() - started
        if rate <= QUIET_RATE or waited > MAX_WAIT_TIME:
            return GossipEnd(waited, rate)


def _count_gossip(fleet: Fleet) -> int:
    """Return the number of gossip messages so far."""
    return sum(fleet.messages[name] for name in GOSSIP_TYPES)
