"""What an entry knows of the minions of a service, and the choice of one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Load

#: Requests that may be under way to a minion beyond its slots, which hides
#: the round trip between a response and the next request.
OVERCOMMIT = 1
#: Time after which half of a report about other entries counts, in seconds.
REPORT_HALF_LIFE = 0.2
#: Minions that are compared for one request.
MAX_CANDIDATES = 16
#: Failures in a row after which a minion is ejected.
EJECTION_FAILURES = 5
#: Time for which a minion is ejected at first and at most, in seconds.
MIN_EJECTION_TIME = 1.0
MAX_EJECTION_TIME = 30.0
#: Share of a service's minions that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.34
#: Weight of the newest latency in a minion's average.
LATENCY_WEIGHT = 0.1
#: A minion slower than its service by this factor is chosen less often.
SLOW_FACTOR = 1.5
#: Share of the slots in use up to which any request may be hedged.
HEDGE_LOAD_FRACTION = 0.7
#: The most that slowness counts for.
MAX_SLOW_FACTOR = 8.0

_HALF = 0.5


class Minion:
    """One minion as an entry sees it through its side.

    :param side: the side beside it.
    :param domain: its failure domain.
    :param slots: requests that it takes at a time.
    """

    def __init__(self, side: SideId, domain: str, slots: int) -> None:
        """Start with an idle minion."""
        self.side = side
        self.domain = domain
        self.slots = max(slots, 1)
        #: Requests of this entry that are under way.
        self.in_flight: set[int] = set()
        #: Requests of other entries at the time of the last report.
        self.other_load = 0
        self.reported_at: float = 0
        #: Whether the side takes requests.
        self.accepting = True
        #: Whether there is a link to the side.
        self.connected = True
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float = 0
        self.latency: float = 0

    def update_load(self, load: Load, now: float) -> None:
        """Learn from the load that a reply carries.

        :param load: as the side knows it.
        :param now: local time in seconds.
        """
        total = load.in_use + load.waiting
        self.other_load = max(total - len(self.in_flight), 0)
        self.reported_at = now
        self.accepting = load.accepting

    def load(self, now: float) -> float:
        """Return the requests that the minion is thought to have.

        :param now: local time in seconds.
        """
        age = max(now - self.reported_at, 0)
        fading: float = _HALF ** (age / REPORT_HALF_LIFE)
        return len(self.in_flight) + self.other_load * fading

    def has_room(self, now: float) -> bool:
        """Return whether another request is worth sending.

        :param now: local time in seconds.
        """
        return self.load(now) < self.slots + OVERCOMMIT

    def record_latency(self, latency: float) -> None:
        """Count an answer.

        :param latency: in seconds.
        """
        self.failures = 0
        self.ejections = 0
        weight = LATENCY_WEIGHT if self.latency else 1
        self.latency += (latency - self.latency) * weight


class MinionSet:
    """The minions of one service.

    :param domain: failure domain of the entry, preferred among equals.
    :param rng: draws the minions that are compared.
    :param out_of_service: failure domains that operators have taken out.
    """

    def __init__(
        self, domain: str, rng: random.Random, out_of_service: set[str]
    ) -> None:
        """Start without minions."""
        self.domain = domain
        self.rng = rng
        self.by_side: dict[SideId, Minion] = {}
        self.out_of_service = out_of_service

    def choose(
        self, now: float, excluded: Collection[SideId] = ()
    ) -> Minion | None:
        """Return the minion with the shortest expected wait, if any has room.

        :param now: local time in seconds.
        :param excluded: sides that are not to be chosen.
        """
        fitting = [
            minion
            for minion in self.usable(now)
            if minion.side not in excluded and minion.has_room(now)
        ]
        if len(fitting) > MAX_CANDIDATES:
            fitting = self.rng.sample(fitting, MAX_CANDIDATES)
        if not fitting:
            return None
        median = self.median_latency()
        return min(fitting, key=lambda minion: self.cost(minion, median, now))

    def cost(
        self, minion: Minion, median: float, now: float
    ) -> tuple[float, bool, float]:
        """Return what a minion is compared by; the lowest is chosen.

        :param minion: a candidate.
        :param median: the median latency of the service.
        :param now: local time in seconds.
        """
        share = (minion.load(now) + 1) / minion.slots
        if median and minion.latency > SLOW_FACTOR * median:
            share *= min(minion.latency / median, MAX_SLOW_FACTOR)
        far = minion.domain != self.domain
        return (round(share, 1), far, self.rng.random())

    def has_spare_capacity(self, now: float) -> bool:
        """Return whether there is room for requests that may be in vain.

        :param now: local time in seconds.
        """
        usable = self.usable(now)
        slots = sum(minion.slots for minion in usable)
        return (
            sum(minion.load(now) for minion in usable)
            < HEDGE_LOAD_FRACTION * slots
        )

    def is_slow(self, minion: Minion) -> bool:
        """Return whether a minion takes far longer than the other_load.

        :param minion: of this service.
        """
        median = self.median_latency()
        return median > 0 and minion.latency > SLOW_FACTOR * median

    def usable(self, now: float) -> list[Minion]:
        """Return the minions that may be sent requests.

        :param now: local time in seconds.
        """
        return [
            minion
            for minion in self.by_side.values()
            if minion.connected
            and minion.accepting
            and minion.ejected_until <= now
            and minion.domain not in self.out_of_service
        ]

    def median_latency(self) -> float:
        """Return the median of the minions' average latencies."""
        known = sorted(_known_latencies(self.by_side.values()))
        return known[len(known) // 2] if known else 0

    def record_failure(self, minion: Minion, now: float) -> bool:
        """Count a failed request and return whether the minion is ejected.

        :param minion: where it failed.
        :param now: local time in seconds.
        """
        minion.failures += 1
        if minion.failures < EJECTION_FAILURES or not self.may_eject(now):
            return False
        minion.failures = 0
        wait = MIN_EJECTION_TIME * 2**minion.ejections
        minion.ejected_until = now + min(wait, MAX_EJECTION_TIME)
        minion.ejections = min(minion.ejections + 1, EJECTION_FAILURES)
        return True

    def may_eject(self, now: float) -> bool:
        """Return whether one more minion may be ejected.

        :param now: local time in seconds.
        """
        ejected = [
            minion
            for minion in self.by_side.values()
            if minion.ejected_until > now
        ]
        return len(ejected) < int(len(self.by_side) * MAX_EJECTED_FRACTION)


def _known_latencies(minions: Iterable[Minion]) -> list[float]:
    """Return the latencies of the minions that have answered."""
    return [minion.latency for minion in minions if minion.latency]
