"""Handling of requests about tickets that this entry has issued."""

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

#: Time in seconds after which a caller should retry at an entry that is leaving
#: or full.
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
    """Reply to a caller."""

    #: HTTP status code.
    status: int
    body: bytes
    #: `not-run`, `ran` or `unknown`; empty where it does not apply.
    outcome: str = ''
    #: Time in seconds after which to retry, 0 if retrying is of no use.
    retry_after: float = 0


class AgreementPinning(Protocol):
    """Pins jobs to the agreement version that they are counted under."""

    def pin(self, spec: JobSpec) -> Result[JobSpec, str]:
        """Return the job with its version, or why it is refused."""

    def release(self, spec: JobSpec) -> None:
        """Stop counting a job under its version."""


class JobInterface:
    """Handles requests about tickets of this incarnation.

    :param application: the process.
    :param engine: owns the jobs.
    :param register: issues tickets and knows the unused ones.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        register: TicketRegister,
    ) -> None:
        """Read the limits from the settings."""
        settings = application.settings
        self.application = application
        self.engine = engine
        self.register = register
        self.job_limit = settings.integer('job_limit')
        self.max_tasks = settings.integer('job_tasks')
        #: Set by the entry if it follows a configuration with agreements.
        self.agreements: AgreementPinning | None = None

    def put(self, ticket: str, body: bytes) -> Reply | None:
        """Submit a job or join an open one; None if the answer isn't known yet.

        :param ticket: ticket of this incarnation.
        :param body: request body.
        """
        digest = digest_of(body)
        known = self.find_reply(ticket, digest)
        if known is not None:
            return known
        if ticket in self.engine.jobs:
            return None
        return self.submit(ticket, body, digest)

    def find_reply(self, ticket: str, digest: bytes) -> Reply | None:
        """Return the reply to a resubmission, None if there is none yet.

        :param ticket: ticket of this incarnation.
        :param digest: digest of the request body.
        """
        kept = self.engine.answers.kept.get(ticket)
        job = self.engine.jobs.get(ticket)
        earlier = kept or job
        if earlier is None:
            return None
        if earlier.digest != digest:
            return refusal_reply(
                _CONFLICT, f'ticket {ticket!r} was used for another job'
            )
        return answer_reply(kept) if kept else None

    def submit(self, ticket: str, body: bytes, digest: bytes) -> Reply | None:
        """Submit a job under an unused ticket; None if it was queued.

        :param ticket: ticket of this incarnation.
        :param body: request body.
        :param digest: digest of the body.
        """
        if ticket not in self.register.unused:
            return expired_reply(ticket)
        reply = self.admission_refusal()
        if reply is not None:
            return reply
        read = read_job(body, self.max_tasks)
        if read.is_ok() and self.agreements is not None:
            read = read.and_then(self.agreements.pin)
        if isinstance(read, Err):
            return refusal_reply(_BAD_REQUEST, read.err_value)
        self.register.use(ticket)
        return self.enqueue(ticket, read.ok_value, digest)

    def enqueue(
        self, ticket: str, spec: JobSpec, digest: bytes
    ) -> Reply | None:
        """Queue a job; return a reply if it is refused for overload.

        :param ticket: ticket of this incarnation.
        :param spec: job as the caller has declared it.
        :param digest: digest of the request body.
        """
        queued = self.engine.submit(ticket, spec, digest)
        if queued.is_ok():
            return None
        overload = queued.unwrap_err()
        if self.agreements is not None:
            self.agreements.release(spec)
        # No task was started under the ticket, so that it remains usable.
        self.register.restore(ticket)
        log_decision(
            decisions, 'refuse', '', overload.reason, {'ticket': ticket}
        )
        return refusal_reply(
            _UNAVAILABLE, overload.reason, retry_after=overload.retry_after
        )

    def admission_refusal(self) -> Reply | None:
        """Return a refusal if this entry accepts no job now."""
        if self.application.draining:
            reason = 'entry is leaving'
        elif len(self.engine.jobs) >= self.job_limit:
            reason = f'entry has {self.job_limit} open jobs'
        else:
            return None
        return refusal_reply(_UNAVAILABLE, reason, retry_after=RETRY_AFTER)

    def get(self, ticket: str) -> Reply | None:
        """Return the reply with the state of a job; None if it is running.

        :param ticket: ticket of this incarnation.
        """
        kept: KeptAnswer | None = self.engine.answers.kept.get(ticket)
        if kept is not None:
            return answer_reply(kept)
        if ticket in self.engine.jobs:
            return None
        if ticket in self.register.unused:
            return Reply(_OK, write_state(ticket, 'unused'), NOT_RUN)
        return expired_reply(ticket)

    def delete(self, ticket: str) -> Reply | None:
        """Cancel a job; None if its answer isn't known yet.

        :param ticket: ticket of this incarnation.
        """
        if self.register.use(ticket):
            return Reply(_OK, write_state(ticket, 'cancelled'), NOT_RUN)
        self.engine.fail(ticket, 'cancelled by the caller')
        return self.get(ticket)

    def handle(self, method: str, ticket: str, body: bytes) -> Reply | None:
        """Return the reply to a request; None if the answer isn't known yet.

        :param method: `PUT`, `GET` or `DELETE`.
        :param ticket: ticket of this incarnation.
        :param body: request body.
        """
        if method == 'PUT':
            return self.put(ticket, body)
        return self.delete(ticket) if method == 'DELETE' else self.get(ticket)

    def wait(
        self, ticket: str, seconds: float, on_reply: Callable[[Reply], None]
    ) -> Deferred[KeptAnswer]:
        """Reply as soon as a running job has its answer, or after a timeout.

        :param ticket: ticket of a running job.
        :param seconds: timeout in seconds.
        :param on_reply: called once with the reply.
        :returns: a `Deferred` to cancel if the caller disconnects.
        """
        waiter = self.engine.wait(ticket)
        clock: Any = self.application.clock
        waiter.addTimeout(seconds, clock)
        waiter.addCallbacks(
            lambda answer: on_reply(answer_reply(answer)),
            lambda _: on_reply(running_reply(ticket)),
        )
        return waiter


def answer_reply(answer: KeptAnswer) -> Reply:
    """Return the reply that contains the answer of a job.

    :param answer: retained answer.
    """
    if answer.state == 'complete':
        return Reply(_OK, answer.body)
    return Reply(_FAILED, answer.body, _OUTCOMES[answer.started])


def running_reply(ticket: str) -> Reply:
    """Return the reply for a job that has no answer yet.

    :param ticket: ticket of the job.
    """
    return Reply(_ACCEPTED, write_state(ticket, 'running'))


def refusal_reply(status: int, reason: str, *, retry_after: float = 0) -> Reply:
    """Return a refusal, which states that no task has run or will run.

    :param status: HTTP status code.
    :param reason: reason for the caller.
    :param retry_after: time after which to retry, in seconds; 0 if retrying is
        of no use.
    """
    return Reply(status, error_body(reason), NOT_RUN, retry_after)


def expired_reply(ticket: str) -> Reply:
    """Return the reply for a ticket whose answer is no longer retained.

    :param ticket: ticket of this incarnation.
    """
    reason = f'ticket {ticket!r} was used or has expired; outcome unknown'
    return Reply(_GONE, error_body(reason), UNKNOWN)


def issuer_gone_reply(ticket: str) -> Reply:
    """Return the reply for a ticket whose issuer has ended for good.

    :param ticket: ticket of another incarnation.
    """
    reason = f'issuer of ticket {ticket!r} is gone; outcome unknown'
    return Reply(_GONE, error_body(reason), UNKNOWN)


def issuer_unreachable_reply(ticket: str) -> Reply:
    """Return the reply for a ticket whose issuer can't be reached now.

    :param ticket: ticket of another incarnation.
    """
    reason = f'issuer of ticket {ticket!r} is unreachable; ask again'
    return Reply(_UNAVAILABLE, error_body(reason), UNKNOWN, RETRY_AFTER)


def invalid_ticket_reply(reason: str) -> Reply:
    """Return the reply to a text that isn't a valid ticket.

    :param reason: reason for the caller.
    """
    return Reply(_NOT_FOUND, error_body(reason), NOT_RUN)


def error_body(reason: str) -> bytes:
    """Return the JSON of an error.

    :param reason: reason for the caller.
    """
    return msgspec.json.encode({'error': reason})
