"""Passes what callers ask about a ticket to the entry that issued it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from result import Err
from twisted.internet.defer import Deferred, succeed

from jackdawridge.logs import get_logger, log_decision
from jackdawridge.submission.interface import (
    Reply,
    issuer_gone,
    issuer_unreachable,
    no_ticket,
    running,
)
from jackdawridge.submission.messages import JobCall, JobReply
from jackdawridge.wire.open_calls import OpenCalls

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.submission.interface import JobInterface
    from jackdawridge.submission.tickets import Ticket
    from jackdawridge.wire.peers import Peer, Peers

decisions = get_logger('routing')

#: Longest time that a caller may ask to wait for an answer, in seconds.
MAX_WAIT = 300.0
#: Time beyond the caller's wait for the issuer's reply, in seconds.
REPLY_ALLOWANCE = 2.0
#: Questions to other entries that may be open at a time.
MAX_CALLS = 4096


class EntryView(Protocol):
    """What is known of other entries."""

    def is_gone(self, address: str, incarnation: str) -> bool:
        """Return whether a run of an entry has ended for good."""


class Question(NamedTuple):
    """What a caller asks about a ticket."""

    #: `PUT`, `GET` or `DELETE`.
    method: str
    ticket: str
    #: Time for which the caller waits for the answer, in seconds.
    wait: float
    body: bytes


class TicketRelay:
    """Answers questions here or has the issuer answer them.

    :param application: the process.
    :param interface: answers for the tickets of this incarnation.
    :param peers: of the process.
    """

    def __init__(
        self, application: Application, interface: JobInterface, peers: Peers
    ) -> None:
        """Register for messages and events."""
        self.application = application
        self.clock = application.clock
        self.interface = interface
        self.peers = peers
        #: Set by the component that knows the entries.
        self.entries: EntryView | None = None
        self.calls = OpenCalls(application, MAX_CALLS)
        application.on_message(JobCall, self.call_received)
        application.on_message(JobReply, self.reply_received)

    def ask(self, question: Question) -> Deferred[Reply]:
        """Return a `Deferred` that fires with the reply to a caller.

        Cancel it when the caller has gone.

        :param question: of a caller.
        """
        if question.ticket in self.interface.register.unused:
            # Issued here, so that its code need not be checked.
            return self.answer(question)
        read = self.interface.register.format.read(question.ticket)
        if isinstance(read, Err):
            return succeed(no_ticket(read.err_value))
        ticket = read.ok_value
        if ticket.incarnation == self.application.incarnation:
            return self.answer(question)
        return self.pass_on(ticket, question)

    def answer(self, question: Question) -> Deferred[Reply]:
        """Answer a question about a ticket of this incarnation.

        :param question: of a caller.
        """
        reply = self.interface.handle(
            question.method, question.ticket, question.body
        )
        if reply is not None:
            return succeed(reply)
        if question.wait <= 0:
            return succeed(running(question.ticket))
        return self.await_answer(question)

    def await_answer(self, question: Question) -> Deferred[Reply]:
        """Wait for the answer of a job that runs.

        :param question: of a caller.
        """
        answered: Deferred[Reply] = Deferred(lambda _: waiter.cancel())

        def fire(reply: Reply) -> None:  # noqa: WPS430
            if not answered.called:
                answered.callback(reply)

        wait = min(question.wait, MAX_WAIT)
        waiter = self.interface.wait(question.ticket, wait, fire)
        return answered

    def pass_on(self, ticket: Ticket, question: Question) -> Deferred[Reply]:
        """Have the issuer answer, if it is there.

        :param ticket: of another incarnation.
        :param question: of a caller.
        """
        peer = self.find(ticket)
        if peer is None:
            return succeed(self.without_issuer(ticket))
        number: int | None = None
        reply: Deferred[Reply] = Deferred(lambda _: self.forget(number))

        def finish(answer: Reply | None) -> None:  # noqa: WPS430
            if not reply.called:
                reply.callback(answer or issuer_unreachable(ticket.text))

        patience = min(question.wait, MAX_WAIT) + REPLY_ALLOWANCE
        call = JobCall(0, *question)
        number = self.calls.ask(peer, call, patience, finish)
        if number is None:
            return succeed(issuer_unreachable(ticket.text))
        log_decision(
            decisions,
            'pass on',
            peer.name,
            'issuer of the ticket',
            {'ticket': ticket.text},
        )
        return reply

    def find(self, ticket: Ticket) -> Peer | None:
        """Return the link to the issuer of a ticket, None if there is none.

        :param ticket: of another incarnation.
        """
        for peer in self.peers.of_role('entry'):
            if peer.introduction.incarnation == ticket.incarnation:
                return peer
        return None

    def without_issuer(self, ticket: Ticket) -> Reply:
        """Return the reply for a ticket whose issuer is not linked.

        :param ticket: of another incarnation.
        """
        if self.is_gone(ticket):
            return issuer_gone(ticket.text)
        return issuer_unreachable(ticket.text)

    def is_gone(self, ticket: Ticket) -> bool:
        """Return whether the issuer of a ticket has ended for good.

        This run could not listen at its address if an earlier one still did.

        :param ticket: of another incarnation.
        """
        if ticket.address == self.interface.register.address:
            return True
        return self.entries is not None and self.entries.is_gone(
            ticket.address, ticket.incarnation
        )

    def call_received(self, peer: Peer, call: JobCall) -> None:
        """Answer a question that another entry has passed on.

        :param peer: the entry.
        :param call: from it.
        """
        question = Question(call.method, call.ticket, call.wait, call.body)
        read = self.interface.register.format.read(call.ticket)
        ours = read.is_ok() and (
            read.unwrap().incarnation == self.application.incarnation
        )
        if ours:
            replied = self.answer(question)
        else:
            replied = succeed(issuer_gone(call.ticket))
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
        """Give a reply to the caller that waits for it.

        :param peer: the issuer.
        :param reply: from it.
        """
        answer = Reply(
            reply.status, reply.body, reply.outcome, reply.retry_after
        )
        self.calls.answered(peer, reply.number, answer)

    def forget(self, number: int | None) -> None:
        """Drop a question whose caller has gone.

        :param number: of the question, None if it was not asked.
        """
        if number is not None:
            self.calls.forget(number)
