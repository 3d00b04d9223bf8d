"""Detection of members that do not answer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

#: Entries that are asked to probe one that did not answer.
INDIRECT_PROBES = 3
#: A watched peer is silent after this many periods.
SILENT_PERIODS = 3
#: Most probes on behalf of others that are under way.
MAX_RELAYS = 256

_NUMBER_RANGE = 4294967296


class Relay(NamedTuple):
    """A probe on behalf of another entry."""

    #: Node of the entry that asked.
    origin: str
    #: The number under which it asked.
    number: int


class Round(NamedTuple):
    """What one period asks for."""

    #: Whom to probe, or an empty string.
    target: str
    number: int
    #: Nodes that did not answer directly, with the number to ask under.
    indirect: tuple[tuple[str, int], ...]
    #: Nodes that answered neither directly nor through others.
    failed: tuple[str, ...]


class Prober:
    """Probes one entry each period, each once in a round in random order.

    :param seed: of the order.
    """

    def __init__(self, seed: str) -> None:
        """Start without probes under way."""
        self.random = random.Random(seed)
        self.number = self.random.randrange(_NUMBER_RANGE)
        self.order: list[str] = []
        #: Nodes whose direct answer is awaited, by number.
        self.direct: dict[int, str] = {}
        #: Nodes that did not answer within their period, by number.
        self.late: dict[int, str] = {}
        #: Nodes whose answer through others is awaited, by number.
        self.indirect: dict[int, str] = {}
        self.relays: dict[int, Relay] = {}

    def next_number(self) -> int:
        """Return a number for a probe."""
        self.number = (self.number + 1) % _NUMBER_RANGE
        return self.number

    def advance(self, candidates: Collection[str]) -> Round:
        """End a period and begin the next.

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
        return Round(target, number, asked, failed)

    def next_target(self, known: set[str]) -> str:
        """Return the next entry of the round, or an empty string.

        :param known: nodes of the entries.
        """
        self.order = [node for node in self.order if node in known]
        if not self.order:
            self.order = sorted(known)
            self.random.shuffle(self.order)
        return self.order.pop() if self.order else ''

    def helpers(self, target: str, linked: Collection[str]) -> list[str]:
        """Return entries that are asked to probe another.

        :param target: node that did not answer.
        :param linked: nodes of the linked entries.
        """
        others = sorted(node for node in linked if node != target)
        return self.random.sample(others, min(INDIRECT_PROBES, len(others)))

    def relay(self, origin: str, number: int) -> int:
        """Return the number of a probe on behalf of another entry.

        :param origin: node of the entry that asked.
        :param number: the number under which it asked.
        """
        if len(self.relays) >= MAX_RELAYS:
            self.relays.pop(next(iter(self.relays)))
        own = self.next_number()
        self.relays[own] = Relay(origin, number)
        return own

    def answered(self, number: int) -> Relay | None:
        """Take an answer; return whom to pass it to, if anyone.

        :param number: of the probe.
        """
        self.direct.pop(number, None)
        node = self.late.pop(number, '') or self.indirect.get(number, '')
        self.indirect = {
            key: target
            for key, target in self.indirect.items()
            if target != node
        }
        return self.relays.pop(number, None)

    def forget(self, node: str) -> None:
        """Drop the probes of an entry to which there is a new link.

        They were lost with the link before. Were they to count, the new link
        would be closed for them, and so would the one after it.

        :param node: of the entry.
        """
        self.direct = _without(self.direct, node)
        self.late = _without(self.late, node)
        self.indirect = _without(self.indirect, node)


class Watch:
    """Notes when something was last received from each linked peer.

    :param bound: time without a word after which a peer is silent, in
        seconds.
    """

    def __init__(self, bound: float) -> None:
        """Start without peers."""
        self.bound = bound
        #: Bytes received and the time at which they last grew.
        self.heard: dict[str, tuple[int, float]] = {}
        self.checked: float | None = None

    def check(self, received: Mapping[str, int], now: float) -> list[str]:
        """Return the peers that are silent.

        The time that this process itself was paused does not count. While
        hardly anyone is heard, this process is taken to be cut off, and
        nobody is reported.

        :param received: bytes received so far from each linked peer.
        :param now: the time in seconds.
        """
        paused = self.paused(now)
        heard: dict[str, tuple[int, float]] = {}
        for node, total in received.items():
            before = self.heard.get(node)
            if before is None or before[0] != total:
                heard[node] = (total, now)
            else:
                heard[node] = (total, before[1] + paused)
        self.heard = heard
        return [
            silent
            for silent, (_, at) in heard.items()
            if now - at >= self.bound
        ]

    def paused(self, now: float) -> float:
        """Return for how long this process did not check.

        :param now: the time in seconds.
        """
        before = self.checked
        self.checked = now
        if before is None or now - before < self.bound / 2:
            return 0
        return now - before


def _without(probes: Mapping[int, str], node: str) -> dict[int, str]:
    """Return the probes of other nodes."""
    return {number: name for number, name in probes.items() if name != node}


def is_cut_off(silent: int, watched: int) -> bool:
    """Return whether silence says more about this process than of peers.

    :param silent: the number of silent peers.
    :param watched: the number of watched peers.
    """
    return watched > 2 and silent * 4 > watched * 3
