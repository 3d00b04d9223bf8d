"""The bound on the payloads of open jobs, which callers choose the size of."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.admission import MAX_TEAM_FRACTION

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import JobSpec


class Held(NamedTuple):
    """The payloads of one open job."""

    team: str
    #: In bytes.
    size: int


class PayloadMemory:
    """Counts the bytes of the payloads that an entry holds.

    An entry holds the payloads of a job until the job has ended. One team may
    take a part of the bound only, so that its large jobs leave room for those
    of others.

    :param limit: of all payloads together, in bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start without jobs."""
        self.limit = limit
        #: Bytes of all payloads together.
        self.used = 0
        self.by_team: Counter[str] = Counter()
        #: By the ticket of the job.
        self.held: dict[str, Held] = {}

    def take(self, ticket: str, spec: JobSpec) -> str:
        """Count a job in, or return why its payloads cannot be held.

        :param ticket: of the job.
        :param spec: what the caller has declared.
        """
        size = sum(len(task.payload) for task in spec.tasks)
        team_limit = int(self.limit * MAX_TEAM_FRACTION)
        if self.used + size > self.limit:
            return (
                f'{size} bytes of payloads do not fit; {self.used} of'
                f' {self.limit} are in use'
            )
        if self.by_team[spec.team] + size > team_limit:
            return (
                f'{size} bytes of payloads do not fit; team {spec.team!r} uses'
                f' {self.by_team[spec.team]} of {team_limit}'
            )
        self.held[ticket] = Held(spec.team, size)
        self.used += size
        self.by_team[spec.team] += size
        return ''

    def release(self, ticket: str) -> None:
        """Count a job out that has ended or was not queued.

        :param ticket: of the job.
        """
        held = self.held.pop(ticket, None)
        if held is None:
            return
        self.used -= held.size
        self.by_team[held.team] -= held.size
        if not self.by_team[held.team]:
            self.by_team.pop(held.team)
