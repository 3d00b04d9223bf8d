"""Jobs whose callers wait for the end; nobody asks for them later."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from result import Err
from twisted.internet.defer import Deferred, succeed

from jackdawridge.logs import get_logger
from jackdawridge.placement.request import NO_OBJECTIVE, Overload
from jackdawridge.submission.jobs import Started
from jackdawridge.submission.tickets import write_caller_ticket
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.submission.answers import KeptAnswer
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.submission.jobs import JobSpec
    from jackdawridge.util.clock import DelayedCall

logger = get_logger('submission')

#: Time after which a caller should ask again where nothing better is known,
#: in seconds.
RETRY_AFTER = 1.0
#: Time without any side after which an entry takes itself for cut off, in
#: seconds; links that were reset are back sooner.
ISOLATED_AFTER = 0.5
#: Part of the drain that this takes at most, so that what is taken can end.
FAREWELL_PART = 0.6
#: Time before the end of its drain at which a leaving entry answers whatever
#: is open, in seconds.
LAST_WORD = 0.2
#: Time after the start of an entry within which sides are expected, in
#: seconds: when everything starts at once, sides hear of their targets by
#: heartbeats that come each 1.5 s.
SIDES_EXPECTED = 2.0
#: Time after a signal to stop in which jobs are still taken, in seconds: the
#: callers of open connections have not heard of it yet.
FAREWELL = 3.0


class Verdict(enum.Enum):
    """What became of a job."""

    #: All tasks have succeeded.
    completed = 'completed'
    #: A task can never succeed.
    failed = 'failed'
    #: Nothing of the job has run, and nothing will.
    refused = 'refused'
    #: Some of the job may have run; it may be sent again.
    given_up = 'given up'
    #: Nothing has run, since this entry reaches no side; another may.
    isolated = 'isolated'


class Outcome(NamedTuple):
    """What a caller is answered."""

    verdict: Verdict
    reason: str = ''
    #: Time after which to ask again in seconds, 0 if it is of no use.
    retry_after: float = 0


#: The outcome of jobs that do not end within the drain of their entry.
ENTRY_LEFT = Outcome(Verdict.refused, 'entry has left', RETRY_AFTER)
#: The outcome of jobs at an entry that reaches no side.
ISOLATED = Outcome(Verdict.isolated, 'no side is in touch', RETRY_AFTER)


class Attendance(NamedTuple):
    """An open job with the callers who wait for it."""

    ticket: str
    spec: JobSpec
    waiters: list[Deferred[Outcome]]
    #: Ends the job when the callers stop waiting.
    timer: DelayedCall
    #: Local time of its arrival, in seconds.
    since: float


class AttendedJobs:
    """Runs jobs for callers that choose their ids and wait; a component.

    A job belongs to the entry that its caller has reached. The caller may
    send it again, here or elsewhere, once it has given up on the answer; by
    then this entry has stopped the job, or the sides have, to whom this entry
    is lost.

    :param application: the process.
    :param engine: owns the jobs.
    :param address: peer address of this entry.
    """

    def __init__(
        self, application: Application, engine: JobEngine, address: str
    ) -> None:
        """Begin without jobs."""
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.address = address
        self.open: dict[str, Attendance] = {}
        #: Time from which a leaving entry takes no more jobs.
        self.closes_at = float('inf')
        #: Whether no side has been in touch for a while.
        self.is_isolated = False
        self.clock.callLater(SIDES_EXPECTED, self.check_isolation)
        application.events.connect('draining', self.drain)
        application.events.connect('side_admitted', self.side_admitted)
        application.events.connect('sides_lost', self.sides_lost)

    def start(self) -> None:
        """Do nothing: jobs are taken from the beginning."""

    def stop(self) -> Deferred[None]:
        """Return a `Deferred` that fires when no more jobs are taken.

        Callers go on using open connections, so that an entry that ended as
        soon as it had nothing to do would cut off what comes next.
        """
        rest = max(self.closes_at - self.clock.seconds(), 0)
        return pause(self.clock, rest)

    def drain(self) -> None:
        """Take jobs for a last while."""
        limit = self.application.settings.number('drain')
        last = min(FAREWELL, FAREWELL_PART * limit)
        self.closes_at = self.clock.seconds() + last
        self.clock.callLater(
            max(limit - LAST_WORD, 0), self.abandon, ENTRY_LEFT
        )

    def side_admitted(self) -> None:
        """Take jobs again."""
        self.is_isolated = False

    def sides_lost(self) -> None:
        """Look a little later whether a side is back."""
        self.clock.callLater(ISOLATED_AFTER, self.check_isolation)

    def check_isolation(self) -> None:
        """Send the callers elsewhere if no side is in touch.

        Where something has run, the sides stop it before the callers send
        the job again.
        """
        if self.engine.placer.sides or self.is_isolated:
            return
        self.is_isolated = True
        logger.warning(
            'no side is in touch', step='isolation', jobs=len(self.open)
        )
        self.abandon(ISOLATED)

    def abandon(self, outcome: Outcome) -> None:
        """Answer all callers at once and end their jobs.

        :param outcome: for the callers of jobs that have not begun.
        """
        for job_id, attendance in tuple(self.open.items()):
            told = outcome
            if self.has_begun(attendance.ticket):
                told = Outcome(Verdict.given_up, outcome.reason)
            self.tell(attendance, told)
            self.give_up(job_id, outcome.reason)

    def tell(self, attendance: Attendance, outcome: Outcome) -> None:
        """Answer all who wait for a job.

        :param attendance: of the job.
        :param outcome: for the callers.
        """
        waiters = tuple(attendance.waiters)
        attendance.waiters.clear()
        took = self.clock.seconds() - attendance.since
        for waiter in waiters:
            self.application.events.emit(
                'attended_job_ended', outcome.verdict.value, took
            )
            waiter.callback(outcome)

    def submit(
        self, job_id: str, spec: JobSpec, digest: bytes, patience: float
    ) -> Deferred[Outcome]:
        """Run a job, or wait for it if it runs here already.

        Cancel the returned `Deferred` when the caller has gone.

        :param job_id: chosen by the caller.
        :param spec: what the caller has declared.
        :param digest: of the caller's body.
        :param patience: time for which the caller waits, in seconds.
        """
        if self.is_isolated:
            return succeed(ISOLATED)
        attendance = self.open.get(job_id)
        if attendance is not None:
            return self.join(job_id, attendance)
        ticket = self.ticket(job_id)
        now = self.clock.seconds()
        kept = self.engine.answers.find(ticket, now)
        if kept is not None and kept.state == 'complete':
            return succeed(judge(kept))
        if now >= self.closes_at:
            refusal = Overload(RETRY_AFTER, 'entry is leaving')
            return succeed(refused(ticket, refusal))
        objective = spec.objective._replace(patience=patience)
        if spec.objective != NO_OBJECTIVE:
            spec = spec._replace(objective=objective)
        queued = self.engine.submit(ticket, spec, digest)
        if isinstance(queued, Err):
            return succeed(refused(ticket, queued.err_value))
        return self.join(job_id, self.attend(job_id, spec, patience))

    def ticket(self, job_id: str) -> str:
        """Return the ticket of a job at this entry.

        :param job_id: chosen by the caller.
        """
        return write_caller_ticket(
            self.address, self.application.incarnation, job_id
        )

    def attend(self, job_id: str, spec: JobSpec, patience: float) -> Attendance:
        """Wait for the answer of a job that has just been queued.

        :param job_id: chosen by the caller.
        :param spec: what the caller has declared.
        :param patience: time for which the caller waits, in seconds.
        """
        ticket = self.ticket(job_id)
        timer = self.clock.callLater(
            patience, self.give_up, job_id, 'caller waits no longer'
        )
        now = self.clock.seconds()
        attendance = Attendance(ticket, spec, [], timer, now)
        self.open[job_id] = attendance
        self.engine.wait(ticket).addCallback(self.answered, job_id)
        return attendance

    def join(self, job_id: str, attendance: Attendance) -> Deferred[Outcome]:
        """Let a caller wait for a job.

        :param job_id: of the job.
        :param attendance: of the job.
        """

        def leave(_: Deferred[Outcome]) -> None:  # noqa: WPS430
            attendance.waiters.remove(waiter)
            if not attendance.waiters:
                self.give_up(job_id, 'caller has gone')

        waiter: Deferred[Outcome] = Deferred(leave)
        attendance.waiters.append(waiter)
        return waiter

    def give_up(self, job_id: str, reason: str) -> None:
        """End a job for which nobody waits any more.

        :param job_id: of the job.
        :param reason: for the log.
        """
        attendance = self.open.get(job_id)
        if attendance is not None:
            logger.info('job is given up', job=job_id, reason=reason)
            self.engine.fail(attendance.ticket, reason)

    def answered(self, answer: KeptAnswer, job_id: str) -> None:
        """Tell those who wait what became of a job.

        :param answer: of the engine.
        :param job_id: of the job.
        """
        attendance = self.open.pop(job_id)
        if attendance.timer.active():
            attendance.timer.cancel()
        self.tell(attendance, judge(answer))

    def is_open(self, job_id: str) -> bool:
        """Return whether a job runs here.

        :param job_id: of the job.
        """
        return job_id in self.open

    def waiting(self, kind: str) -> int:
        """Return how many jobs of a kind have begun nothing.

        :param kind: of the tasks.
        """
        return sum(
            attendance.spec.tasks[0].kind == kind
            and not self.has_begun(attendance.ticket)
            for attendance in self.open.values()
        )

    def has_begun(self, ticket: str) -> bool:
        """Return whether a task of an open job was sent to a side.

        :param ticket: of the job.
        """
        job = self.engine.jobs.get(ticket)
        if job is None:
            return True
        return bool(job.sent or job.answers) or job.started != Started.nothing


def refused(ticket: str, overload: Overload) -> Outcome:
    """Return the outcome of a job that was not queued.

    :param ticket: of the job.
    :param overload: why.
    """
    logger.info('job refused', ticket=ticket, reason=overload.reason)
    return Outcome(Verdict.refused, overload.reason, overload.retry_after)


def judge(answer: KeptAnswer) -> Outcome:
    """Return what a caller is told about the end of a job.

    :param answer: of the engine.
    """
    if answer.state == 'complete':
        return Outcome(Verdict.completed)
    if answer.is_final:
        return Outcome(Verdict.failed, answer.reason)
    if answer.started is Started.nothing:
        return Outcome(Verdict.refused, answer.reason, RETRY_AFTER)
    return Outcome(Verdict.given_up, answer.reason)
