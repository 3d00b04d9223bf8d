"""Knowledge about runs of entries that have ended for good."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.membership.messages import Member

#: Time after which a dead or unknown run counts as ended, in seconds.
GONE_AFTER = 60.0
#: The same for an unknown run while another lives at its address, in seconds.
REPLACED_AFTER = 10.0
#: Most runs of which anything is kept.
MAX_RUNS = 4096

_Key = TypeVar('_Key')


class Run(NamedTuple):
    """One run of an entry, as its tickets name it."""

    address: str
    incarnation: str


class EndedRuns:
    """Runs of entries that were replaced, left, or have been dead for long.

    :param gone_after: time after which a dead or unknown run counts as
        ended, in seconds.
    """

    def __init__(self, gone_after: float) -> None:
        """Start without runs."""
        self.gone_after = gone_after
        #: When a run was seen to be replaced or to leave.
        self.ended: dict[Run, float] = {}
        #: Since when a run is dead.
        self.dead: dict[Run, float] = {}
        #: Since when a run has been dead for long; it may still come back.
        self.long_dead: dict[Run, float] = {}
        #: Since when a run was asked about that is not known.
        self.unknown: dict[Run, float] = {}
        #: Runs that ended and were not reported yet.
        self.reports: list[Run] = []

    def note(self, known: Member | None, member: Member, now: float) -> None:
        """Take a record that replaces another of its node.

        :param known: the record before, if any.
        :param member: the new record.
        :param now: the time in seconds.
        """
        if member.role != 'entry':
            return
        run = Run(member.address, member.incarnation)
        self.unknown.pop(run, None)
        self.dead.pop(run, None)
        self.long_dead.pop(run, None)
        if known and known.incarnation != member.incarnation:
            self.end(Run(known.address, known.incarnation), now)
        if member.state == State.left:
            self.end(run, now)
        elif member.state == State.dead:
            self.dead[run] = now

    def end(self, run: Run, now: float) -> None:
        """Keep that a run has ended.

        :param run: the run.
        :param now: the time in seconds.
        """
        self.dead.pop(run, None)
        if run not in self.ended:
            self.ended[run] = now
            self.reports.append(run)

    def expire(self, now: float, horizon: float) -> None:
        """Report runs that have been dead for long and drop old knowledge.

        :param now: the time in seconds.
        :param horizon: knowledge from before this time is dropped.
        """
        for run in drop_oldest(self.dead, now - self.gone_after, MAX_RUNS):
            self.long_dead[run] = now
            self.reports.append(run)
        drop_oldest(self.long_dead, horizon, MAX_RUNS)
        drop_oldest(self.ended, horizon, MAX_RUNS)
        drop_oldest(self.unknown, horizon, MAX_RUNS)

    def is_gone(
        self,
        address: str,
        incarnation: str,
        members: Iterable[Member],
        now: float,
    ) -> bool:
        """Return whether a run has ended for good.

        :param address: the peer address of an entry.
        :param incarnation: the id of the run.
        :param members: what is known about members at that address.
        :param now: the time in seconds.
        """
        run = Run(address, incarnation)
        if run in self.ended or run in self.long_dead:
            return True
        others = False
        for member in members:
            if member.incarnation != incarnation:
                others = others or member.state == State.alive
            elif member.is_present():
                return False
        since = self.dead.get(run)
        if since is None:
            since = self.unknown.setdefault(run, now)
        bound = REPLACED_AFTER if others else self.gone_after
        return now - since >= min(bound, self.gone_after)


def drop_oldest(
    times: dict[_Key, float], horizon: float, limit: int
) -> list[_Key]:
    """Remove and return the keys before a time, and the first over a bound.

    :param times: the time of each key, oldest first.
    :param horizon: keys from before this time are removed.
    :param limit: most keys that stay.
    """
    excess = len(times) - limit
    dropped = [
        key
        for position, (key, at) in enumerate(times.items())
        if at <= horizon or position < excess
    ]
    for key in dropped:
        times.pop(key)
    return dropped
