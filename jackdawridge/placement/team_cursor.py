"""Cursor over the tasks of one team, in the order of placement."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.queued_jobs import Group, Job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.queues import Team
    from jackdawridge.placement.side_view import Side
    from jackdawridge.placement.tracking import AssignmentTracker

#: Number of jobs of a team that are tried in one pass if some do not fit.
LOOKAHEAD_JOBS = 16

#: Number of groups of a job that may fail to fit before the next job is tried.
MAX_MISSES = 4

#: Sorts after the order of any job.
NO_DEADLINE = (float('inf'), 0)


class ConsecutiveTasks(NamedTuple):
    """Tasks of one job that were placed consecutively at one side."""

    ticket: str
    side: Side
    tasks: int


class TeamCursor:
    """Iterates over the task groups of one team during a placement pass.

    Room only shrinks during a pass, so that a group that did not fit is not
    tried again.

    :param team: team whose tasks are placed.
    :param placer: estimates the needs of tasks.
    :param admits: returns whether a job takes part in this pass.
    """

    def __init__(
        self,
        team: Team,
        placer: AssignmentTracker,
        admits: Callable[[Job], bool],
    ) -> None:
        """Start at the most urgent group."""
        self.team = team
        self.placer = placer
        self.admits = admits
        self.skipped = 0
        #: Number of groups of the current job that did not fit.
        self.misses = 0
        self.candidates = self.make_candidates()
        self.current: Candidate | None = None
        self.last_placed: ConsecutiveTasks | None = None
        self.advance()

    def make_candidates(self) -> Iterator[tuple[Job, Group]]:
        """Return an iterator over the groups of the team as of now."""
        return self.team.candidates(
            self.placer.learner, LOOKAHEAD_JOBS, self.admits
        )

    def placed(self, ticket: str, side: Side) -> None:
        """Record the side of the task placed last.

        :param ticket: ticket of the job.
        :param side: side at which the task was placed.
        """
        last = self.last_placed
        count = 1
        if last is not None and (last.ticket, last.side) == (ticket, side):
            count += last.tasks
        self.last_placed = ConsecutiveTasks(ticket, side, count)

    def deadline(self) -> tuple[float, int]:
        """Return the sort key of the current job, the most urgent first."""
        if self.current is None:
            return NO_DEADLINE
        return self.current.job.order()

    def advance(self) -> None:
        """Move to the next group with waiting tasks."""
        following = next(self.candidates, None)
        if following is None and not self.skipped and self.team.queued:
            self.candidates = self.make_candidates()
            following = next(self.candidates, None)
        if following is None:
            self.current = None
        else:
            job, group = following
            self.current = Candidate(job, group, self.placer.need(group.sample))

    def skip(self) -> None:
        """Skip a group that does not fit, and its job after `MAX_MISSES`.

        Otherwise a job whose tasks all declare different needs would keep
        other jobs from being tried.
        """
        if self.current is None:
            return
        job = self.current.job
        self.skipped += 1
        self.misses += 1
        self.advance()
        while self.misses >= MAX_MISSES and self.is_current_job(job):
            self.advance()
        if not self.is_current_job(job):
            self.misses = 0

    def is_current_job(self, job: Job) -> bool:
        """Return whether the current group belongs to a job.

        :param job: job of the team.
        """
        return self.current is not None and self.current.job is job


class Candidate(NamedTuple):
    """A group of equal tasks that may be placed next, with their need."""

    job: Job
    group: Group
    need: Need
