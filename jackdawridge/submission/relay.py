"""Forwarding of requests about a ticket to the entry that issued it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Err
from twisted.internet.defer import Deferred, succeed

from jackdawridge.logs import get_logger, log_decision
from jackdawridge.submission.interface import (
    Reply,
    invalid_ticket_reply,
    issuer_gone_reply,
    issuer_unreachable_reply,
    running_reply,
)
from jackdawridge.submission.messages import JobCall, JobReply
from jackdawridge.wire.open_calls import OpenCalls

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.submission.interface import JobInterface
    from jackdawridge.submission.tickets import Ticket
    from jackdawridge.wire.peers import Peer, Peers

decisions = get_logger('routing')

#: Longest time in seconds that a caller may ask to wait for an answer.
MAX_WAIT_TIME = 300.0
#: Time in seconds beyond the caller's wait within which the issuer has to
#: reply.
REPLY_GRACE_TIME = 2.0
#: Highest number of requests to other entries that may be open at a time.
MAX_OPEN_CALLS = 4096


class EntryDirectory(Protocol):
    """Tells which runs of other entries have ended."""

    def is_gone(self, address: str, incarnation: str) -> bool:
        """Return whether a run of an entry has ended for good."""


class TicketRequest(NamedTuple):
    """A caller's request about a ticket."""

    #: `PUT`, `GET` or `DELETE`.
    method: str
    ticket: str
    #: Time in seconds for which the caller waits for the answer.
    wait: float
    body: bytes


class TicketRelay:
    """Handles requests about tickets here or forwards them to the issuer.

    :param application: the process.
    :param interface: handles requests about tickets of this incarnation.
    :param peers: peers that the process is linked to.
    """

    def __init__(
        self, application: Application, interface: JobInterface, peers: Peers
    ) -> None:
        """Register the message handlers."""
        self.application = application
        self.clock = application.clock
        self.interface = interface
        self.peers = peers
        #: Set by the entry; None means that no run is known to have ended.
        self.entries: EntryDirectory | None = None
        self.calls = OpenCalls(application, MAX_OPEN_CALLS)
        application.on_message(JobCall, self.call_received)
        application.on_message(JobReply, self.reply_received)

    def ask(self, request: TicketRequest) -> Deferred[Reply]:
        """Return a `Deferred` that fires with the reply to a caller.

        Cancel it when the caller disconnects.

        :param request: request of a caller.
        """
        if request.ticket in self.interface.register.unused:
            # The ticket was issued here, so that its code need not be checked.
            return self.answer(request)
        read = self.interface.register.format.read(request.ticket)
        if isinstance(read, Err):
            return succeed(invalid_ticket_reply(read.err_value))
        ticket = read.ok_value
        if ticket.incarnation == self.application.incarnation:
            return self.answer(request)
        return self.forward(ticket, request)

    def answer(self, request: TicketRequest) -> Deferred[Reply]:
        """Handle a request about a ticket of this incarnation.

        :param request: request of a caller.
        """
        reply = self.interface.handle(
            request.method, request.ticket, request.body
        )
        if reply is not None:
            return succeed(reply)
        if request.wait <= 0:
            return succeed(running_reply(request.ticket))
        return self.await_answer(request)

    def await_answer(self, request: TicketRequest) -> Deferred[Reply]:
        """Wait for the answer of a running job.

        :param request: request of a caller.
        """
        answered: Deferred[Reply] = Deferred(lambda _: waiter.cancel())

        def pass_reply(reply: Reply) -> None:  # noqa: WPS430
            if not answered.called:
                answered.callback(reply)

        wait = min(request.wait, MAX_WAIT_TIME)
        waiter = self.interface.wait(request.ticket, wait, pass_reply)
        return answered

    def forward(
        self, ticket: Ticket, request: TicketRequest
    ) -> Deferred[Reply]:
        """Forward a request to the issuer of its ticket if it is linked.

        :param ticket: ticket of another incarnation.
        :param request: request of a caller.
        """
        peer = self.find(ticket)
        if peer is None:
            return succeed(self.missing_issuer_reply(ticket))
        number: int | None = None
        reply: Deferred[Reply] = Deferred(lambda _: self.forget(number))

        def finish(answer: Reply | None) -> None:  # noqa: WPS430
            if not reply.called:
                reply.callback(answer or issuer_unreachable_reply(ticket.text))

        timeout = min(request.wait, MAX_WAIT_TIME) + REPLY_GRACE_TIME
        call = JobCall(0, *request)
        number = self.calls.ask(peer, call, timeout, finish)
        if number is None:
            return succeed(issuer_unreachable_reply(ticket.text))
        log_decision(
            decisions,
            'pass on',
            peer.name,
            'issuer of the ticket',
            {'ticket': ticket.text},
        )
        return reply

    def find(self, ticket: Ticket) -> Peer | None:
        """Return the link to the issuer of a ticket, None if it isn't linked.

        :param ticket: ticket of another incarnation.
        """
        for peer in self.peers.of_role('entry'):
            if peer.introduction.incarnation == ticket.incarnation:
                return peer
        return None

    def missing_issuer_reply(self, ticket: Ticket) -> Reply:
        """Return the reply for a ticket whose issuer isn't linked.

        :param ticket: ticket of another incarnation.
        """
        if self.is_gone(ticket):
            return issuer_gone_reply(ticket.text)
        return issuer_unreachable_reply(ticket.text)

    def is_gone(self, ticket: Ticket) -> bool:
        """Return whether the issuer of a ticket has ended for good.

        This includes earlier runs at the address of this entry: it could not
        listen there if one of them was still running.

        :param ticket: ticket of another incarnation.
        """
        if ticket.address == self.interface.register.address:
            return True
        return self.entries is not None and self.entries.is_gone(
            ticket.address, ticket.incarnation
        )

    def call_received(self, peer: Peer, call: JobCall) -> None:
        """Handle a request that another entry has forwarded.

        :param peer: sender.
        :param call: forwarded request.
        """
        request = TicketRequest(call.method, call.ticket, call.wait, call.body)
        read = self.interface.register.format.read(call.ticket)
        is_own = read.is_ok() and (
            read.unwrap().incarnation == self.application.incarnation
        )
        if is_own:
            replied = self.answer(request)
        else:
            replied = succeed(issuer_gone_reply(call.ticket))
        replied.addCallback(
            lambda reply: peer.send(
                JobReply(
                    call.number,
                    reply.status,
                    reply.outcome,
                    reply.retry_after,
                    reply.body,
                )
            )
        )

    def reply_received(self, peer: Peer, reply: JobReply) -> None:
        """Pass a reply on to the caller that waits for it.

        :param peer: sender.
        :param reply: reply to a forwarded request.
        """
        answer = Reply(
            reply.status, reply.body, reply.outcome, reply.retry_after
        )
        self.calls.handle_answer(peer, reply.number, answer)

    def forget(self, number: int | None) -> None:
        """Drop a forwarded request whose caller has disconnected.

        :param number: number of the request, None if it wasn't sent.
        """
        if number is not None:
            self.calls.cancel(number)
