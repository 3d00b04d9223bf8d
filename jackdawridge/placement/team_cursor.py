"""The order in which one team's tasks are placed in a pass."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.queued_jobs import Group, Job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.queues import Team
    from jackdawridge.placement.tracking import AssignmentTracker
    from jackdawridge.placement.view import Side

#: Jobs of a team that are looked at in one pass if some do not fit.
LOOKAHEAD_JOBS = 16

#: Groups of a job that are tried in vain before the next job is tried.
MAX_MISSES = 4

#: After all deadlines.
NO_DEADLINE = (float('inf'), 0)


class ConsecutiveTasks(NamedTuple):
    """The tasks of a job that were placed at one side one after another."""

    ticket: str
    side: Side
    tasks: int


class TeamCursor:
    """Goes through the groups of one team's tasks.

    Room only shrinks during a pass, so that a group that did not fit is not
    tried again.

    :param team: whose tasks are placed.
    :param placer: estimates what they need.
    :param admits: returns whether a job is looked at in this pass.
    """

    def __init__(
        self,
        team: Team,
        placer: AssignmentTracker,
        admits: Callable[[Job], bool],
    ) -> None:
        """Begin at the most urgent group."""
        self.team = team
        self.placer = placer
        self.admits = admits
        self.skipped = 0
        #: Groups of the current job that did not fit.
        self.misses = 0
        self.candidates = self.make_candidates()
        self.current: Candidate | None = None
        self.last: ConsecutiveTasks | None = None
        self.advance()

    def make_candidates(self) -> Iterator[tuple[Job, Group]]:
        """Return the groups of the team as they stand now."""
        return self.team.candidates(
            self.placer.learner, LOOKAHEAD_JOBS, self.admits
        )

    def placed(self, ticket: str, side: Side) -> None:
        """Note where a task went.

        :param ticket: of its job.
        :param side: that it was placed at.
        """
        last = self.last
        count = 1
        if last is not None and (last.ticket, last.side) == (ticket, side):
            count += last.tasks
        self.last = ConsecutiveTasks(ticket, side, count)

    def deadline(self) -> tuple[float, int]:
        """Return how urgent the current group is."""
        if self.current is None:
            return NO_DEADLINE
        return self.current.job.order()

    def advance(self) -> None:
        """Go on to the next group that has tasks."""
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
        """Leave a group that does not fit, and its job after a few of them.

        A job whose tasks are all declared differently would otherwise keep
        others from being tried.
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
        """Return whether the current group is of a job.

        :param job: of the team.
        """
        return self.current is not None and self.current.job is job


class Candidate(NamedTuple):
    """Tasks that are alike and may be placed next."""

    job: Job
    group: Group
    need: Need
