"""Load balancing and outlier ejection among the minions of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Load

#: Number of requests in flight to a minion beyond its slots. It hides the
#: round trip between a response and the next request.
OVERCOMMIT = 1
#: Half-life of the reported load of other entries, in seconds.
REPORT_HALF_LIFE = 0.2
#: Highest number of minions compared for one request.
MAX_CANDIDATES = 16
#: Consecutive failures after which a minion is ejected.
EJECTION_FAILURES = 5
#: Time of the first ejection, in seconds; it doubles with each further one.
MIN_EJECTION_TIME = 1.0
#: Longest time of an ejection, in seconds.
MAX_EJECTION_TIME = 30.0
#: Fraction of a service's minions that may be ejected at a time.
MAX_EJECTED_FRACTION = 0.34
#: Weight of the newest latency in the moving average of a minion.
LATENCY_WEIGHT = 0.1
#: Factor over the median latency of the service above which a minion is slow
#: and chosen less often.
SLOW_FACTOR = 1.5
#: Fraction of slots in use below which requests are hedged also if their
#: minion is not slow.
HEDGE_LOAD_FRACTION = 0.7
#: Highest factor by which slowness raises the cost of a minion.
MAX_SLOW_FACTOR = 8.0

_HALF = 0.5


class Minion:
    """Minion of a side, as an entry sees it.

    :param side: identity of the side.
    :param domain: failure domain of the side.
    :param slots: highest number of requests running at the minion.
    """

    def __init__(self, side: SideId, domain: str, slots: int) -> None:
        """Initialise as idle."""
        self.side = side
        self.domain = domain
        self.slots = max(slots, 1)
        #: Numbers of the attempts of this entry that are in flight.
        self.in_flight: set[int] = set()
        #: Number of requests of other entries in the latest report.
        self.other_load = 0
        self.reported_at: float = 0
        #: Whether the side accepts requests.
        self.accepting = True
        #: Whether the side is linked.
        self.linked = True
        #: Number of consecutive failures.
        self.failures = 0
        #: Number of ejections since the last success.
        self.ejections = 0
        self.ejected_until: float = 0
        #: Moving average in seconds, 0 before the first response.
        self.latency: float = 0

    def update_load(self, load: Load, now: float) -> None:
        """Update the load from a reply or load report of the side.

        :param load: load that the side reports.
        :param now: local time in seconds.
        """
        total = load.in_use + load.waiting
        self.other_load = max(total - len(self.in_flight), 0)
        self.reported_at = now
        self.accepting = load.accepting

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the minion.

        The reported load of other entries decays with its age.

        :param now: local time in seconds.
        """
        age = max(now - self.reported_at, 0)
        decay: float = _HALF ** (age / REPORT_HALF_LIFE)
        return len(self.in_flight) + self.other_load * decay

    def has_room(self, now: float) -> bool:
        """Return whether the minion can be sent another request.

        :param now: local time in seconds.
        """
        return self.load(now) < self.slots + OVERCOMMIT

    def record_latency(self, latency: float) -> None:
        """Record a successful response and reset the failure counts.

        :param latency: latency in seconds.
        """
        self.failures = 0
        self.ejections = 0
        weight = LATENCY_WEIGHT if self.latency else 1
        self.latency += (latency - self.latency) * weight


class MinionSet:
    """Minions of one service.

    :param domain: failure domain of the entry, preferred at equal cost.
    :param rng: source of randomness for sampling and ties.
    :param out_of_service: failure domains that operators have taken out of
        service.
    """

    def __init__(
        self, domain: str, rng: random.Random, out_of_service: set[str]
    ) -> None:
        """Initialise without minions."""
        self.domain = domain
        self.rng = rng
        self.by_side: dict[SideId, Minion] = {}
        self.out_of_service = out_of_service

    def choose(
        self, now: float, excluded: Collection[SideId] = ()
    ) -> Minion | None:
        """Return the minion of the lowest cost that has room, None if none has.

        :param now: local time in seconds.
        :param excluded: sides whose minions are not chosen.
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
        """Return the sort key of a minion; the lowest is chosen.

        The key is the fraction of slots in use, raised for a slow minion, then
        the distance, then a random number.

        :param minion: candidate.
        :param median: median latency of the service in seconds.
        :param now: local time in seconds.
        """
        share = (minion.load(now) + 1) / minion.slots
        if median and minion.latency > SLOW_FACTOR * median:
            share *= min(minion.latency / median, MAX_SLOW_FACTOR)
        far = minion.domain != self.domain
        return (round(share, 1), far, self.rng.random())

    def has_spare_capacity(self, now: float) -> bool:
        """Return whether load is low enough for speculative requests.

        :param now: local time in seconds.
        """
        usable = self.usable(now)
        slots = sum(minion.slots for minion in usable)
        return (
            sum(minion.load(now) for minion in usable)
            < HEDGE_LOAD_FRACTION * slots
        )

    def is_slow(self, minion: Minion) -> bool:
        """Return whether a minion is far slower than the median.

        :param minion: minion of this service.
        """
        median = self.median_latency()
        return median > 0 and minion.latency > SLOW_FACTOR * median

    def usable(self, now: float) -> list[Minion]:
        """Return the minions that can be sent requests.

        :param now: local time in seconds.
        """
        return [
            minion
            for minion in self.by_side.values()
            if minion.linked
            and minion.accepting
            and minion.ejected_until <= now
            and minion.domain not in self.out_of_service
        ]

    def median_latency(self) -> float:
        """Return the median latency in seconds, 0 if unknown."""
        known = sorted(_known_latencies(self.by_side.values()))
        return known[len(known) // 2] if known else 0

    def record_failure(self, minion: Minion, now: float) -> bool:
        """Record a failed request and return whether the minion is ejected.

        :param minion: minion of the request.
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
        """Return whether another minion may be ejected.

        :param now: local time in seconds.
        """
        ejected = [
            minion
            for minion in self.by_side.values()
            if minion.ejected_until > now
        ]
        return len(ejected) < int(len(self.by_side) * MAX_EJECTED_FRACTION)


def _known_latencies(minions: Iterable[Minion]) -> list[float]:
    """Return the average latencies of the minions that have responded."""
    return [minion.latency for minion in minions if minion.latency]
