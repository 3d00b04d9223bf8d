"""Failure detection by probes and by silence on links."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: Number of entries asked to probe one that did not answer directly.
INDIRECT_PROBES = 3
#: Heartbeat periods without received data after which a peer is silent.
SILENCE_PERIODS = 3
#: Maximum number of probes in flight on behalf of other entries.
MAX_RELAYS = 256

_PROBE_NUMBER_RANGE = 4294967296


class Relay(NamedTuple):
    """A probe sent on behalf of another entry."""

    #: Node of the entry that requested the probe.
    origin: str
    #: Number of the origin's request, which the reply has to carry.
    number: int


class ProbePlan(NamedTuple):
    """The probes to send in one period, and the failures it found."""

    #: Node to probe directly; empty if there is none.
    target: str
    number: int
    #: Nodes that did not answer directly, each with the number of its indirect
    #: probe.
    indirect: tuple[tuple[str, int], ...]
    #: Nodes that answered neither direct nor indirect probes.
    failed: tuple[str, ...]


class Prober:
    """Selects the entry to probe in each period and tracks the replies.

    Each entry is probed once per round; the order of each round is random.

    :param seed: the seed of the random order.
    """

    def __init__(self, seed: str) -> None:
        """Start without probes in flight."""
        self.random = random.Random(seed)
        self.number = self.random.randrange(_PROBE_NUMBER_RANGE)
        #: Nodes still to be probed in this round.
        self.pending: list[str] = []
        #: Nodes with a direct probe in flight, by probe number.
        self.direct: dict[int, str] = {}
        #: Nodes that missed the reply deadline of their direct probe, by its
        #: number.
        self.late: dict[int, str] = {}
        #: Nodes with an indirect probe in flight, by probe number.
        self.indirect: dict[int, str] = {}
        #: Probes in flight on behalf of other entries, by probe number.
        self.relays: dict[int, Relay] = {}

    def next_number(self) -> int:
        """Return the next probe number; numbers wrap around at 32 bits."""
        self.number = (self.number + 1) % _PROBE_NUMBER_RANGE
        return self.number

    def advance(self, candidates: Collection[str]) -> ProbePlan:
        """End the current period and return the plan for the next one.

        :param candidates: nodes of the entries, without this process.
        """
        known = set(candidates)
        failed = tuple(node for node in self.indirect.values() if node in known)
        self.late = {
            number: node
            for number, node in self.direct.items()
            if node in known
        }
        self.indirect = {
            self.next_number(): node for node in self.late.values()
        }
        target = self.next_target(known)
        number = self.next_number()
        self.direct = {number: target} if target else {}
        asked = tuple((node, key) for key, node in self.indirect.items())
        return ProbePlan(target, number, asked, failed)

    def next_target(self, known: set[str]) -> str:
        """Return the next entry of the round, or an empty string.

        A new round with a new random order starts when the last one is
        complete.

        :param known: nodes of the entries.
        """
        self.pending = [node for node in self.pending if node in known]
        if not self.pending:
            self.pending = sorted(known)
            self.random.shuffle(self.pending)
        return self.pending.pop() if self.pending else ''

    def choose_helpers(self, target: str, linked: Collection[str]) -> list[str]:
        """Return random entries to send an indirect probe through.

        :param target: node that did not answer.
        :param linked: nodes of the linked entries.
        """
        others = sorted(node for node in linked if node != target)
        return self.random.sample(others, min(INDIRECT_PROBES, len(others)))

    def add_relay(self, origin: str, number: int) -> int:
        """Track a probe on behalf of another entry and return its number.

        Above `MAX_RELAYS` the oldest such probe is dropped.

        :param origin: node of the entry that requested the probe.
        :param number: number of the origin's request.
        """
        if len(self.relays) >= MAX_RELAYS:
            self.relays.pop(next(iter(self.relays)))
        own = self.next_number()
        self.relays[own] = Relay(origin, number)
        return own

    def record_reply(self, number: int) -> Relay | None:
        """Clear the probe that a reply answers.

        :param number: the probe number in the reply.
        :returns: the entry to relay the reply to, or None.
        """
        self.direct.pop(number, None)
        node = self.late.pop(number, '') or self.indirect.get(number, '')
        self.indirect = {
            key: target
            for key, target in self.indirect.items()
            if target != node
        }
        return self.relays.pop(number, None)

    def discard_probes(self, node: str) -> None:
        """Discard the probes in flight to an entry that has a new link.

        They were lost with the previous link. If they counted as failures, the
        new link would be closed because of them, and so would the one after it.

        :param node: node of the entry.
        """
        self.direct = _without_node(self.direct, node)
        self.late = _without_node(self.late, node)
        self.indirect = _without_node(self.indirect, node)


class SilenceDetector:
    """Tracks when data was last received from each linked peer.

    :param timeout: time without received data after which a peer is silent, in
        seconds.
    """

    def __init__(self, timeout: float) -> None:
        """Start without peers."""
        self.timeout = timeout
        #: Bytes received from each peer, and the time at which they last
        #: increased.
        self.last_received: dict[str, tuple[int, float]] = {}
        self.last_check: float | None = None

    def find_silent(self, received: Mapping[str, int], now: float) -> list[str]:
        """Return the peers that have been silent for the timeout.

        Time for which this process itself was paused doesn't count as silence.

        :param received: total bytes received from each linked peer.
        :param now: the time in seconds.
        """
        paused = self.pause_time(now)
        last_received: dict[str, tuple[int, float]] = {}
        for node, total in received.items():
            before = self.last_received.get(node)
            if before is None or before[0] != total:
                last_received[node] = (total, now)
            else:
                last_received[node] = (total, before[1] + paused)
        self.last_received = last_received
        return [
            silent
            for silent, (_, at) in last_received.items()
            if now - at >= self.timeout
        ]

    def pause_time(self, now: float) -> float:
        """Return for how long this process was paused before this check.

        A gap of at least half the timeout between two checks counts as a pause.

        :param now: the time in seconds.
        """
        before = self.last_check
        self.last_check = now
        if before is None or now - before < self.timeout / 2:
            return 0
        return now - before


def _without_node(probes: Mapping[int, str], node: str) -> dict[int, str]:
    """Return the probes that are not to the given node."""
    return {number: name for number, name in probes.items() if name != node}


def is_partitioned(silent: int, watched: int) -> bool:
    """Return whether silence suggests that this process itself is partitioned.

    This is the case if more than three quarters of at least three watched peers
    are silent; the caller then suspects none of them.

    :param silent: the number of silent peers.
    :param watched: the number of watched peers.
    """
    return watched > 2 and silent * 4 > watched * 3
