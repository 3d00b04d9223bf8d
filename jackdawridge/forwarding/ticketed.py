"""Ticketed requests, which run at most once however often they are sent."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from result import Err

from jackdawridge.forwarding.exchange import Call
from jackdawridge.forwarding.messages import TicketedAnswer, TicketedRequest
from jackdawridge.forwarding.ticket_answers import (
    AnswerCollector,
    FinalAnswer,
    KeptAnswers,
    error_answer,
)
from jackdawridge.util.retained import RetentionBounds
from jackdawridge.wire.open_calls import OpenCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from jackdawridge.application import Application
    from jackdawridge.forwarding.entry import EntryForwarding
    from jackdawridge.wire.peers import Peer

#: Time beyond the deadline to wait for the answer of the issuer, in seconds.
ANSWER_GRACE_TIME = 2.0
#: Highest number of requests forwarded to other entries at a time.
MAX_FORWARDED = 4096

_DIGEST_BYTES = 16
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503


class TicketFormat(Protocol):
    """Parses tickets."""

    def read(self, text: str) -> Result[Any, str]:
        """Return a ticket with its `incarnation`, or why it is invalid."""


class Register(Protocol):
    """Register of the unused tickets of this incarnation."""

    @property
    def format(self) -> TicketFormat:
        """Format of the tickets."""

    def use(self, text: str) -> bool:
        """Mark a ticket as used and return whether it was unused."""

    def restore(self, text: str) -> None:
        """Mark a ticket as unused again after a request that was not run."""


class Issuers(Protocol):
    """Finds the entries that issued tickets."""

    def find(self, ticket: Any) -> Peer | None:
        """Return the issuer if it is linked, else None."""

    def missing_issuer_reply(self, ticket: Any) -> Any:
        """Return the reply for a ticket whose issuer is not linked."""


class OpenRequest(NamedTuple):
    """Ticketed request without an answer, and the callbacks waiting for it."""

    digest: bytes
    replies: list[Callable[[FinalAnswer], object]]


class TicketedRequests:
    """Runs ticketed requests, or forwards them to the issuer of the ticket.

    :param application: application of the process.
    :param forwarding: forwards the requests to sides.
    :param register: register of the tickets of this incarnation.
    :param issuers: finds the entries that issued tickets.
    """

    def __init__(
        self,
        application: Application,
        forwarding: EntryForwarding,
        register: Register,
        issuers: Issuers,
    ) -> None:
        """Initialise and register for messages and events."""
        settings = application.settings
        self.application = application
        self.clock = application.clock
        self.forwarding = forwarding
        self.register = register
        self.issuers = issuers
        self.open: dict[str, OpenRequest] = {}
        self.retained = KeptAnswers(
            RetentionBounds(
                settings.integer('answer_limit'),
                settings.number('answer_retention'),
                settings.memory_bytes('request_answer_memory'),
            )
        )
        self.forwarded = OpenCalls(application, MAX_FORWARDED)
        application.on_message(TicketedRequest, self.receive_request)
        application.on_message(TicketedAnswer, self.receive_answer)

    def submit(
        self, text: str, call: Call, reply: Callable[[FinalAnswer], object]
    ) -> None:
        """Answer a ticketed request, here or at the issuer of the ticket.

        :param text: ticket of the caller.
        :param call: request of the caller.
        :param reply: function called once with the answer.
        """
        read = self.register.format.read(text)
        if isinstance(read, Err):
            reply(error_answer(_NOT_FOUND, 'not-run', read.err_value))
            return
        ticket = read.ok_value
        if ticket.incarnation == self.application.incarnation:
            self.answer_own_ticket(text, call, reply)
            return
        peer = self.issuers.find(ticket)
        if peer is None:
            answer = self.issuers.missing_issuer_reply(ticket)
            final = FinalAnswer(answer.status, (), answer.body, answer.outcome)
            reply(final._replace(retry_after=answer.retry_after))
        else:
            self.forward_to_issuer(peer, text, call, reply)

    def answer_own_ticket(
        self, ticket: str, call: Call, reply: Callable[[FinalAnswer], object]
    ) -> None:
        """Run a request, wait for the open one or return the retained answer.

        A ticket that was used for a different request is a conflict.

        :param ticket: ticket of this incarnation.
        :param call: request of the caller.
        :param reply: function called once with the answer.
        """
        digest = request_digest(call)
        retained = self.retained.find(ticket, self.clock.seconds())
        current = self.open.get(ticket)
        earlier = retained or current
        if earlier is None:
            self.start(ticket, call, OpenRequest(digest, [reply]))
        elif earlier.digest != digest:
            reason = f'ticket {ticket!r} was used for another request'
            reply(error_answer(_CONFLICT, 'not-run', reason))
        elif retained is not None:
            reply(retained.final)
        elif current is not None:
            current.replies.append(reply)

    def start(self, ticket: str, call: Call, current: OpenRequest) -> None:
        """Run a request if its ticket is unused.

        :param ticket: ticket of this incarnation without a known request.
        :param call: request of the caller.
        :param current: open request with the callback of the caller.
        """
        if self.application.draining:
            reason = 'this entry is leaving'
            current.replies[0](error_answer(_UNAVAILABLE, 'unknown', reason, 1))
        elif self.register.use(ticket):
            self.run(ticket, call, current)
        else:
            reason = f'ticket {ticket!r} was used or has expired'
            current.replies[0](error_answer(_GONE, 'unknown', reason))

    def run(self, ticket: str, call: Call, current: OpenRequest) -> None:
        """Run a request without repeats and hedges.

        :param ticket: ticket that was unused until now.
        :param call: request of the caller.
        :param current: open request with the callback of the caller.
        """
        self.open[ticket] = current
        collector = AnswerCollector(lambda final: self.finish(ticket, final))
        once = call._replace(repeatable=False, hedging=False)
        self.forwarding.submit(once, collector)

    def finish(self, ticket: str, final: FinalAnswer) -> None:
        """Retain an answer and pass it to all callbacks that wait for it.

        The ticket of a request that was not run becomes unused again.

        :param ticket: ticket of the request.
        :param final: complete answer.
        """
        current = self.open.pop(ticket)
        if final.outcome == 'not-run':
            self.register.restore(ticket)
        else:
            now = self.clock.seconds()
            self.retained.keep(ticket, current.digest, final, now)
        for reply in current.replies:
            reply(final)

    def forward_to_issuer(
        self,
        peer: Peer,
        ticket: str,
        call: Call,
        reply: Callable[[FinalAnswer], object],
    ) -> None:
        """Forward a request to the issuer of its ticket.

        :param peer: issuer of the ticket.
        :param ticket: ticket of the issuer.
        :param call: request of the caller.
        :param reply: function called once with the answer.
        """
        remaining = call.deadline - self.clock.seconds()
        message = TicketedRequest(
            0,
            ticket,
            call.request_id,
            call.service,
            call.team,
            call.method,
            call.path,
            call.headers,
            call.body,
            remaining,
        )

        def finish(answer: FinalAnswer | None) -> None:  # noqa: WPS430
            reply(answer or unreachable())

        timeout = remaining + ANSWER_GRACE_TIME
        if self.forwarded.ask(peer, message, timeout, finish) is None:
            reply(unreachable())

    def receive_request(self, peer: Peer, message: TicketedRequest) -> None:
        """Answer a request that another entry has forwarded.

        :param peer: entry that forwarded the request.
        :param message: forwarded request.
        """
        call = Call(
            request_id=message.request_id,
            service=message.service,
            team=message.team,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=message.body,
            repeatable=False,
            hedging=False,
            deadline=self.clock.seconds() + message.remaining,
        )

        def reply(final: FinalAnswer) -> None:  # noqa: WPS430
            peer.send(TicketedAnswer(message.number, *final))

        read = self.register.format.read(message.ticket)
        ours = read.is_ok() and (
            read.unwrap().incarnation == self.application.incarnation
        )
        if ours:
            self.answer_own_ticket(message.ticket, call, reply)
        else:
            reply(
                error_answer(_GONE, 'unknown', 'issuer of the ticket is gone')
            )

    def receive_answer(self, peer: Peer, message: TicketedAnswer) -> None:
        """Pass the answer of an issuer to the caller that waits for it.

        :param peer: issuer of the ticket.
        :param message: answer of the issuer.
        """
        self.forwarded.handle_answer(
            peer, message.number, FinalAnswer(*message[1:])
        )


def unreachable() -> FinalAnswer:
    """Return the answer for a ticket whose issuer cannot be reached."""
    reason = 'issuer of the ticket is unreachable; ask again'
    return error_answer(_UNAVAILABLE, 'unknown', reason, 1)


def request_digest(call: Call) -> bytes:
    """Return the digest that identifies a request under its ticket.

    :param call: request of the caller.
    """
    head = '\n'.join((call.service, call.method, call.path))
    digest = hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b'\n')
    digest.update(call.body)
    return digest.digest()
