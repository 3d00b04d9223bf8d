"""Tracking of entry runs that have ended for good."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.membership.messages import Member

#: Time after which a dead or unknown run counts as ended, in seconds.
RUN_END_TIMEOUT = 60.0
#: The same for an unknown run while another run is alive at its address, in
#: seconds.
REPLACED_RUN_TIMEOUT = 10.0
#: Maximum number of runs in each of the indexes below.
MAX_RUNS = 4096

_Key = TypeVar('_Key')


class Run(NamedTuple):
    """One run of an entry, as tickets refer to it."""

    address: str
    incarnation: str


class EndedRuns:
    """Tracks runs of entries that were replaced, left, or stayed dead.

    :param run_end_timeout: time after which a dead or unknown run counts as
        ended, in seconds.
    """

    def __init__(self, run_end_timeout: float) -> None:
        """Start without runs."""
        self.run_end_timeout = run_end_timeout
        #: Time at which a run was replaced or left.
        self.ended_at: dict[Run, float] = {}
        #: Time since which a run has been dead.
        self.dead_since: dict[Run, float] = {}
        #: Time at which a dead run exceeded the timeout; it may still come
        #: back.
        self.long_dead_since: dict[Run, float] = {}
        #: Time of the first query for a run that is not known.
        self.unknown_since: dict[Run, float] = {}
        #: Ended runs that have not been reported yet.
        self.unreported: list[Run] = []

    def record(self, known: Member | None, member: Member, now: float) -> None:
        """Update the indexes for a record that replaces another of its node.

        :param known: the previous record, if any.
        :param member: the new record.
        :param now: the time in seconds.
        """
        if member.role != 'entry':
            return
        run = Run(member.address, member.incarnation)
        self.unknown_since.pop(run, None)
        self.dead_since.pop(run, None)
        self.long_dead_since.pop(run, None)
        if known and known.incarnation != member.incarnation:
            self.mark_ended(Run(known.address, known.incarnation), now)
        if member.state == State.left:
            self.mark_ended(run, now)
        elif member.state == State.dead:
            self.dead_since[run] = now

    def mark_ended(self, run: Run, now: float) -> None:
        """Record and report that a run has ended, unless it is known to have.

        :param run: the run.
        :param now: the time in seconds.
        """
        self.dead_since.pop(run, None)
        if run not in self.ended_at:
            self.ended_at[run] = now
            self.unreported.append(run)

    def expire(self, now: float, horizon: float) -> None:
        """Report runs that stayed dead for the timeout and drop old records.

        :param now: the time in seconds.
        :param horizon: time up to which records are dropped, in seconds.
        """
        for run in pop_expired(
            self.dead_since, now - self.run_end_timeout, MAX_RUNS
        ):
            self.long_dead_since[run] = now
            self.unreported.append(run)
        pop_expired(self.long_dead_since, horizon, MAX_RUNS)
        pop_expired(self.ended_at, horizon, MAX_RUNS)
        pop_expired(self.unknown_since, horizon, MAX_RUNS)

    def is_gone(
        self,
        address: str,
        incarnation: str,
        members: Iterable[Member],
        now: float,
    ) -> bool:
        """Return whether a run has ended for good.

        A run that is not known may be one that this process hasn't heard of
        yet, so it counts as ended only after a timeout.

        :param address: the peer address of the entry.
        :param incarnation: the id of the run.
        :param members: the known members at that address.
        :param now: the time in seconds.
        """
        run = Run(address, incarnation)
        if run in self.ended_at or run in self.long_dead_since:
            return True
        is_replaced = False
        for member in members:
            if member.incarnation != incarnation:
                is_replaced = is_replaced or member.state == State.alive
            elif member.is_present():
                return False
        since = self.dead_since.get(run)
        if since is None:
            since = self.unknown_since.setdefault(run, now)
        timeout = REPLACED_RUN_TIMEOUT if is_replaced else self.run_end_timeout
        return now - since >= min(timeout, self.run_end_timeout)


def pop_expired(
    times: dict[_Key, float], horizon: float, limit: int
) -> list[_Key]:
    """Remove old keys and the oldest ones above a limit, and return them.

    :param times: the time of each key, oldest first; modified in place.
    :param horizon: keys with this time or an earlier one are removed.
    :param limit: the maximum number of keys that stay.
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
