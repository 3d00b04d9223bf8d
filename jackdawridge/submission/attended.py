"""Jobs whose callers wait for the outcome and don't ask for it later."""

from __future__ import annotations

import enum
from collections import Counter
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

#: Time in seconds after which a caller should retry if no better estimate is
#: known.
RETRY_AFTER = 1.0
#: Time in seconds without any side after which an entry considers itself
#: isolated. Links that were reset are re-established sooner.
ISOLATION_TIMEOUT = 0.5
#: Fraction of the drain time during which jobs are accepted at most, so that
#: the accepted jobs can still finish.
MAX_DRAIN_ACCEPT_FRACTION = 0.6
#: Time in seconds before the end of the drain at which all open jobs are
#: answered.
FINAL_ANSWER_TIME = 0.2
#: Time in seconds after its start within which an entry expects its first side.
#: When all processes start at once, sides learn of their targets by heartbeats
#: that are sent every 1.5 s.
SIDE_STARTUP_TIME = 2.0
#: Age in seconds up to which the numbers of waiting jobs are used again.
MAX_COUNT_AGE = 0.25
#: Time in seconds after a stop signal during which jobs are still accepted,
#: since callers with open connections don't know of it yet.
DRAIN_ACCEPT_TIME = 3.0


class Verdict(enum.Enum):
    """Outcome of an attended job."""

    #: All tasks succeeded.
    completed = 'completed'
    #: A task can never succeed.
    failed = 'failed'
    #: No task has run, and none will.
    refused = 'refused'
    #: Some tasks may have run. The job may be sent again.
    given_up = 'given up'
    #: No task has run, since this entry has no side. Another entry may have
    #: some.
    isolated = 'isolated'


class Outcome(NamedTuple):
    """Answer to a caller."""

    verdict: Verdict
    reason: str = ''
    #: Time in seconds after which to retry, 0 if retrying is of no use.
    retry_after: float = 0


#: Outcome of jobs that don't finish within the drain time of their entry.
ENTRY_LEFT = Outcome(Verdict.refused, 'entry has left', RETRY_AFTER)
#: Outcome of jobs at an entry that has no side.
ISOLATED = Outcome(Verdict.isolated, 'no side is in touch', RETRY_AFTER)


class AttendedJob(NamedTuple):
    """An open job with the callers that wait for it."""

    ticket: str
    spec: JobSpec
    waiters: list[Deferred[Outcome]]
    #: Fails the job when the time for which the caller waits is over.
    timer: DelayedCall
    #: Local time of the submission, in seconds.
    submitted_at: float


class AttendedJobs:
    """Runs jobs whose callers choose the ids and wait; a component.

    A job belongs to the entry that received it. A caller without an answer may
    send the job again, to this entry or another. By then the first run has been
    stopped: by this entry, or by the sides if they have lost this entry.

    :param application: the process.
    :param engine: owns the jobs.
    :param address: peer address of this entry.
    """

    def __init__(
        self, application: Application, engine: JobEngine, address: str
    ) -> None:
        """Start without jobs and register the event handlers."""
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.address = address
        self.open_jobs: dict[str, AttendedJob] = {}
        #: Numbers of open jobs that have started no task, by kind.
        self.waiting: Counter[str] = Counter()
        #: Local time in seconds from which these numbers are too old.
        self.recount_at = float('-inf')
        #: Local time in seconds until which jobs are accepted.
        self.accepts_until = float('inf')
        #: Whether this entry has had no side for `ISOLATION_TIMEOUT`.
        self.is_isolated = False
        self.clock.callLater(SIDE_STARTUP_TIME, self.check_isolation)
        application.events.connect('draining', self.drain)
        application.events.connect('side_admitted', self.side_admitted)
        application.events.connect('sides_lost', self.sides_lost)

    def start(self) -> None:
        """Do nothing: jobs are accepted from the beginning."""

    def stop(self) -> Deferred[None]:
        """Return a `Deferred` that fires when no more jobs are accepted.

        Callers keep using open connections, and an entry that stopped as soon
        as it was idle would cut off their next requests.
        """
        rest = max(self.accepts_until - self.clock.seconds(), 0)
        return pause(self.clock, rest)

    def drain(self) -> None:
        """Accept jobs for a limited time and schedule the end of the drain."""
        limit = self.application.settings.number('drain')
        accept_time = min(DRAIN_ACCEPT_TIME, MAX_DRAIN_ACCEPT_FRACTION * limit)
        self.accepts_until = self.clock.seconds() + accept_time
        self.clock.callLater(
            max(limit - FINAL_ANSWER_TIME, 0), self.abandon_all, ENTRY_LEFT
        )

    def side_admitted(self) -> None:
        """Accept jobs again."""
        self.is_isolated = False

    def sides_lost(self) -> None:
        """Schedule a check for isolation, after a time for sides to return."""
        self.clock.callLater(ISOLATION_TIMEOUT, self.check_isolation)

    def check_isolation(self) -> None:
        """Answer all callers if this entry has no side.

        They retry at another entry. The sides stop the tasks that are running
        before the callers retry.
        """
        if self.engine.placer.sides or self.is_isolated:
            return
        self.is_isolated = True
        logger.warning(
            'no side is in touch', step='isolation', jobs=len(self.open_jobs)
        )
        self.abandon_all(ISOLATED)

    def abandon_all(self, outcome: Outcome) -> None:
        """Answer all callers at once and fail their jobs.

        :param outcome: outcome for the callers of jobs that have started no
            task.
        """
        for job_id, attended in tuple(self.open_jobs.items()):
            actual = outcome
            if self.has_begun(attended.ticket):
                actual = Outcome(Verdict.given_up, outcome.reason)
            self.answer_callers(attended, actual)
            self.abandon(job_id, outcome.reason)

    def answer_callers(self, attended: AttendedJob, outcome: Outcome) -> None:
        """Answer all callers that wait for a job.

        :param attended: the job.
        :param outcome: outcome for its callers.
        """
        waiters = tuple(attended.waiters)
        attended.waiters.clear()
        took = self.clock.seconds() - attended.submitted_at
        for waiter in waiters:
            self.application.events.emit(
                'attended_job_ended', outcome.verdict.value, took
            )
            waiter.callback(outcome)

    def submit(
        self, job_id: str, spec: JobSpec, digest: bytes, patience: float
    ) -> Deferred[Outcome]:
        """Run a job, or wait for it if it is already open at this entry.

        Cancel the returned `Deferred` when the caller disconnects.

        :param job_id: id that the caller has chosen.
        :param spec: job as the caller has declared it.
        :param digest: digest of the request body.
        :param patience: time for which the caller waits, in seconds.
        """
        if self.is_isolated:
            return succeed(ISOLATED)
        attended = self.open_jobs.get(job_id)
        if attended is not None:
            return self.join(job_id, attended)
        ticket = self.ticket(job_id)
        now = self.clock.seconds()
        kept = self.engine.answers.find(ticket, now)
        if kept is not None and kept.state == 'complete':
            return succeed(to_outcome(kept))
        reason = refusal_reason(self.accepts_until - now, patience)
        if reason:
            refusal = Overload(RETRY_AFTER, reason)
            return succeed(refusal_outcome(ticket, refusal))
        objective = spec.objective._replace(patience=patience)
        if spec.objective != NO_OBJECTIVE:
            spec = spec._replace(objective=objective)
        queued = self.engine.submit(ticket, spec, digest)
        if isinstance(queued, Err):
            return succeed(refusal_outcome(ticket, queued.err_value))
        return self.join(job_id, self.add_job(job_id, spec, patience))

    def ticket(self, job_id: str) -> str:
        """Return the ticket of a job at this entry.

        :param job_id: id that the caller has chosen.
        """
        return write_caller_ticket(
            self.address, self.application.incarnation, job_id
        )

    def add_job(
        self, job_id: str, spec: JobSpec, patience: float
    ) -> AttendedJob:
        """Wait for the answer of a job that has just been queued.

        :param job_id: id that the caller has chosen.
        :param spec: job as the caller has declared it.
        :param patience: time for which the caller waits, in seconds.
        """
        ticket = self.ticket(job_id)
        timer = self.clock.callLater(
            patience, self.abandon, job_id, 'caller waits no longer'
        )
        now = self.clock.seconds()
        attended = AttendedJob(ticket, spec, [], timer, now)
        self.open_jobs[job_id] = attended
        self.engine.wait(ticket).addCallback(self.job_answered, job_id)
        return attended

    def join(self, job_id: str, attended: AttendedJob) -> Deferred[Outcome]:
        """Add a caller that waits for an open job.

        :param job_id: id of the job.
        :param attended: the job.
        """

        def caller_gone(_: Deferred[Outcome]) -> None:  # noqa: WPS430
            attended.waiters.remove(waiter)
            if not attended.waiters:
                self.abandon(job_id, 'caller has gone')

        waiter: Deferred[Outcome] = Deferred(caller_gone)
        attended.waiters.append(waiter)
        return waiter

    def abandon(self, job_id: str, reason: str) -> None:
        """Fail a job that no caller waits for any more.

        :param job_id: id of the job.
        :param reason: written to the log and to the answer of the job.
        """
        attended = self.open_jobs.get(job_id)
        if attended is not None:
            logger.info('job abandoned', job=job_id, reason=reason)
            self.engine.fail(attended.ticket, reason)

    def job_answered(self, answer: KeptAnswer, job_id: str) -> None:
        """Answer the callers of a job that has finished.

        :param answer: answer from the engine.
        :param job_id: id of the job.
        """
        attended = self.open_jobs.pop(job_id)
        if attended.timer.active():
            attended.timer.cancel()
        self.answer_callers(attended, to_outcome(answer))

    def is_open(self, job_id: str) -> bool:
        """Return whether a job is open at this entry.

        :param job_id: id of the job.
        """
        return job_id in self.open_jobs

    def count_waiting(self, kind: str) -> int:
        """Return the number of open jobs of a kind that have started no task.

        It is up to `MAX_COUNT_AGE` old: there may be many jobs to examine, and
        many callers that ask.

        :param kind: kind of the tasks.
        """
        now = self.clock.seconds()
        if now >= self.recount_at:
            self.recount_at = now + MAX_COUNT_AGE
            self.waiting = Counter(
                attended.spec.tasks[0].kind
                for attended in self.open_jobs.values()
                if not self.has_begun(attended.ticket)
            )
        return self.waiting[kind]

    def has_begun(self, ticket: str) -> bool:
        """Return whether a task of an open job has been sent to a side.

        :param ticket: ticket of the job.
        """
        job = self.engine.jobs.get(ticket)
        if job is None:
            return True
        return (
            bool(job.unresolved or job.answers)
            or job.started != Started.nothing
        )


def refusal_reason(accepting_time: float, patience: float) -> str:
    """Return why a new job is refused, or an empty string.

    :param accepting_time: time for which jobs are still accepted, in seconds.
    :param patience: time for which the caller waits, in seconds.
    """
    if accepting_time <= 0:
        return 'entry is leaving'
    return '' if patience > 0 else 'caller may have left'


def refusal_outcome(ticket: str, overload: Overload) -> Outcome:
    """Return the outcome of a job that was not queued, and log it.

    :param ticket: ticket of the job.
    :param overload: reason, and the time after which to retry.
    """
    logger.info('job refused', ticket=ticket, reason=overload.reason)
    return Outcome(Verdict.refused, overload.reason, overload.retry_after)


def to_outcome(answer: KeptAnswer) -> Outcome:
    """Return the outcome that a caller gets for an answer of the engine.

    :param answer: answer from the engine.
    """
    if answer.state == 'complete':
        return Outcome(Verdict.completed)
    if answer.is_final:
        return Outcome(Verdict.failed, answer.reason)
    if answer.started is Started.nothing:
        return Outcome(Verdict.refused, answer.reason, RETRY_AFTER)
    return Outcome(Verdict.given_up, answer.reason)
