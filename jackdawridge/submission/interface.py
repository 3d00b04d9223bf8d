"""Answers what callers ask about tickets, here or at the issuer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec
from result import Err

from jackdawridge.logs import get_logger, log_decision
from jackdawridge.submission.documents import (
    digest_of,
    read_job,
    write_state,
)
from jackdawridge.submission.jobs import Started

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result
    from twisted.internet.defer import Deferred

    from jackdawridge.application import Application
    from jackdawridge.submission.answers import KeptAnswer
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.submission.jobs import JobSpec
    from jackdawridge.submission.tickets import TicketRegister

decisions = get_logger('routing')

#: Time after which a caller should ask a leaving or full entry again.
RETRY_AFTER = 1.0

NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
RAN = 'ran'

_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_FAILED = 502
_UNAVAILABLE = 503

_OUTCOMES = {  # noqa: WPS407
    Started.nothing: NOT_RUN,
    Started.some: RAN,
    Started.unknown: UNKNOWN,
}


class Reply(NamedTuple):
    """What a caller is answered."""

    #: Status of HTTP.
    status: int
    body: bytes
    #: `not-run`, `ran` or `unknown`; empty where it does not apply.
    outcome: str = ''
    #: Time after which to ask again in seconds, 0 if it is of no use.
    retry_after: float = 0


class AgreementPinning(Protocol):
    """Pins the agreement version that a job is counted under."""

    def pin(self, spec: JobSpec) -> Result[JobSpec, str]:
        """Return the job with its version, or why it is refused."""

    def release(self, spec: JobSpec) -> None:
        """Note that a job under a version has ended."""


class JobInterface:
    """Takes what callers ask about tickets of this incarnation.

    :param application: the process.
    :param engine: owns the jobs.
    :param register: of unused tickets.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        register: TicketRegister,
    ) -> None:
        """Keep the parts."""
        settings = application.settings
        self.application = application
        self.engine = engine
        self.register = register
        self.job_limit = settings.integer('job_limit')
        self.most_tasks = settings.integer('job_tasks')
        #: Set by the component that knows the agreements.
        self.agreements: AgreementPinning | None = None

    def put(self, ticket: str, body: bytes) -> Reply | None:
        """Submit or join a job; None if its answer has to be waited for.

        :param ticket: of this incarnation.
        :param body: of the caller.
        """
        digest = digest_of(body)
        known = self.find(ticket, digest)
        if known is not None:
            return known
        if ticket in self.engine.jobs:
            return None
        return self.begin(ticket, body, digest)

    def find(self, ticket: str, digest: bytes) -> Reply | None:
        """Return the answer to a resubmission, None if there is none yet.

        :param ticket: of this incarnation.
        :param digest: of the caller's body.
        """
        kept = self.engine.answers.kept.get(ticket)
        job = self.engine.jobs.get(ticket)
        earlier = kept or job
        if earlier is None:
            return None
        if earlier.digest != digest:
            return refuse(
                _CONFLICT, f'ticket {ticket!r} was used for another job'
            )
        return answer_reply(kept) if kept else None

    def begin(self, ticket: str, body: bytes, digest: bytes) -> Reply | None:
        """Submit a job under an unused ticket.

        :param ticket: of this incarnation.
        :param body: of the caller.
        :param digest: of the body.
        """
        if ticket not in self.register.unused:
            return forgotten(ticket)
        reply = self.full()
        if reply is not None:
            return reply
        read = read_job(body, self.most_tasks)
        if read.is_ok() and self.agreements is not None:
            read = read.and_then(self.agreements.pin)
        if isinstance(read, Err):
            return refuse(_BAD_REQUEST, read.err_value)
        self.register.use(ticket)
        return self.queue(ticket, read.ok_value, digest)

    def queue(self, ticket: str, spec: JobSpec, digest: bytes) -> Reply | None:
        """Queue a job, or keep the refusal as its answer.

        :param ticket: of this incarnation.
        :param spec: what the caller has declared.
        :param digest: of the caller's body.
        """
        queued = self.engine.submit(ticket, spec, digest)
        if queued.is_ok():
            return None
        overload = queued.unwrap_err()
        if self.agreements is not None:
            self.agreements.release(spec)
        # The ticket stays usable: nothing was started under it.
        self.register.restore(ticket)
        log_decision(
            decisions, 'refuse', '', overload.reason, {'ticket': ticket}
        )
        return refuse(
            _UNAVAILABLE, overload.reason, retry_after=overload.retry_after
        )

    def full(self) -> Reply | None:
        """Return a refusal if no job is taken now."""
        if self.application.draining:
            reason = 'entry is leaving'
        elif len(self.engine.jobs) >= self.job_limit:
            reason = f'entry has {self.job_limit} open jobs'
        else:
            return None
        return refuse(_UNAVAILABLE, reason, retry_after=RETRY_AFTER)

    def get(self, ticket: str) -> Reply | None:
        """Return the state of a job; None if it is running.

        :param ticket: of this incarnation.
        """
        kept: KeptAnswer | None = self.engine.answers.kept.get(ticket)
        if kept is not None:
            return answer_reply(kept)
        if ticket in self.engine.jobs:
            return None
        if ticket in self.register.unused:
            return Reply(_OK, write_state(ticket, 'unused'), NOT_RUN)
        return forgotten(ticket)

    def delete(self, ticket: str) -> Reply | None:
        """Cancel a job; None if its answer has to be waited for.

        :param ticket: of this incarnation.
        """
        if self.register.use(ticket):
            return Reply(_OK, write_state(ticket, 'cancelled'), NOT_RUN)
        self.engine.fail(ticket, 'cancelled by the caller')
        return self.get(ticket)

    def handle(self, method: str, ticket: str, body: bytes) -> Reply | None:
        """Return the reply to a request; None if it has to be waited for.

        :param method: `PUT`, `GET` or `DELETE`.
        :param ticket: of this incarnation.
        :param body: of the caller.
        """
        if method == 'PUT':
            return self.put(ticket, body)
        return self.delete(ticket) if method == 'DELETE' else self.get(ticket)

    def wait(
        self, ticket: str, seconds: float, then: Callable[[Reply], None]
    ) -> Deferred[KeptAnswer]:
        """Reply once a running job has its answer or the time is over.

        :param ticket: of a running job.
        :param seconds: most time to wait.
        :param then: called with the reply, once.
        :returns: a `Deferred` to cancel if the caller has gone.
        """
        waiter = self.engine.wait(ticket)
        clock: Any = self.application.clock
        waiter.addTimeout(seconds, clock)
        waiter.addCallbacks(
            lambda answer: then(answer_reply(answer)),
            lambda _: then(running(ticket)),
        )
        return waiter


def answer_reply(answer: KeptAnswer) -> Reply:
    """Return the reply that carries a job's answer.

    :param answer: of a job.
    """
    if answer.state == 'complete':
        return Reply(_OK, answer.body)
    return Reply(_FAILED, answer.body, _OUTCOMES[answer.started])


def running(ticket: str) -> Reply:
    """Return the reply for a job without an answer yet.

    :param ticket: of the job.
    """
    return Reply(_ACCEPTED, write_state(ticket, 'running'))


def refuse(status: int, reason: str, *, retry_after: float = 0) -> Reply:
    """Return a refusal under which nothing was or will be run.

    :param status: of HTTP.
    :param reason: for the caller.
    :param retry_after: time after which to ask again in seconds.
    """
    return Reply(status, error_body(reason), NOT_RUN, retry_after)


def forgotten(ticket: str) -> Reply:
    """Return the reply for a ticket whose answer is not kept any more.

    :param ticket: of this incarnation.
    """
    reason = f'ticket {ticket!r} was used or has expired; outcome unknown'
    return Reply(_GONE, error_body(reason), UNKNOWN)


def issuer_gone(ticket: str) -> Reply:
    """Return the reply for a ticket whose issuer is gone for good.

    :param ticket: of another incarnation.
    """
    reason = f'issuer of ticket {ticket!r} is gone; outcome unknown'
    return Reply(_GONE, error_body(reason), UNKNOWN)


def issuer_unreachable(ticket: str) -> Reply:
    """Return the reply for a ticket whose issuer cannot be asked now.

    :param ticket: of another incarnation.
    """
    reason = f'issuer of ticket {ticket!r} is unreachable; ask again'
    return Reply(_UNAVAILABLE, error_body(reason), UNKNOWN, RETRY_AFTER)


def no_ticket(reason: str) -> Reply:
    """Return the reply to a text that is not a ticket.

    :param reason: for the caller.
    """
    return Reply(_NOT_FOUND, error_body(reason), NOT_RUN)


def error_body(reason: str) -> bytes:
    """Return the JSON of an error.

    :param reason: for the caller.
    """
    return msgspec.json.encode({'error': reason})
