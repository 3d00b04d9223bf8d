"""Which entry decides for all that it is linked to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Time for which an entry that did not answer is not asked again, in seconds.
DISTRUST_TIME = 0.5


class Candidate(NamedTuple):
    """An entry that may decide; the least one is chosen.

    The one that runs longest has learned most, and a newcomer displaces
    nobody.
    """

    #: Orders entries by their start.
    generation: int
    incarnation: str


class LeadChoice:
    """Chooses the same lead at all entries that know of the same ones.

    Where they do not, an entry that does not decide says so, and who asked
    decides alone: two that decide at a time lose some order, since each start
    is admitted by its side.
    """

    def __init__(self) -> None:
        """Trust everybody."""
        #: Until when an entry is passed over, by incarnation.
        self.distrusted: dict[str, float] = {}
        #: Time before which this entry has no lead, in seconds.
        self.alone_until = float('-inf')

    def distrust(
        self, incarnation: str, now: float, duration: float = DISTRUST_TIME
    ) -> None:
        """Pass over an entry for a while.

        :param incarnation: of an entry that did not answer or decide.
        :param now: the time in seconds.
        :param duration: of the while, in seconds.
        """
        self.distrusted[incarnation] = now + duration

    def choose(
        self, candidates: Iterable[Candidate], now: float
    ) -> Candidate | None:
        """Return the entry that should decide.

        :param candidates: entries that are alive and linked, or this one.
        :param now: the time in seconds.
        """
        if now < self.alone_until:
            return None
        self.distrusted = {
            incarnation: until
            for incarnation, until in self.distrusted.items()
            if until > now
        }
        usable = [
            candidate
            for candidate in candidates
            if candidate.incarnation not in self.distrusted
        ]
        return min(usable, default=None)
