"""Memory limit for the payloads of open jobs, whose size callers choose."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.admission import MAX_TEAM_FRACTION

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import JobSpec


class JobPayloads(NamedTuple):
    """The payloads of one open job."""

    team: str
    #: Total length in bytes.
    size: int


class PayloadMemory:
    """Counts the payload bytes of open jobs against a limit.

    The payloads of a job are kept until it has finished. A single team may use
    only a fraction of the limit, so that its large jobs leave memory for those
    of other teams.

    :param limit: limit for all payloads together, in bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start without jobs."""
        self.limit = limit
        #: Length of all payloads together, in bytes.
        self.used = 0
        #: Length of the payloads of each team, in bytes.
        self.by_team: Counter[str] = Counter()
        #: Payloads by the ticket of their job.
        self.by_ticket: dict[str, JobPayloads] = {}

    def reserve(self, ticket: str, spec: JobSpec) -> str:
        """Count the payloads of a job, or return why they exceed a limit.

        :param ticket: ticket of the job.
        :param spec: job as the caller has declared it.
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
        self.by_ticket[ticket] = JobPayloads(spec.team, size)
        self.used += size
        self.by_team[spec.team] += size
        return ''

    def release(self, ticket: str) -> None:
        """Stop counting the payloads of a job that has finished or was refused.

        :param ticket: ticket of the job.
        """
        payloads = self.by_ticket.pop(ticket, None)
        if payloads is None:
            return
        self.used -= payloads.size
        self.by_team[payloads.team] -= payloads.size
        if not self.by_team[payloads.team]:
            self.by_team.pop(payloads.team)
