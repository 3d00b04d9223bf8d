"""HTTP resource for requests of callers to services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from jackdawridge.forwarding.answers import (
    CallerAnswer,
    write_answer,
    write_refusal,
)
from jackdawridge.forwarding.caller_requests import (
    CallReader,
    RequestError,
    read_target,
)
from jackdawridge.forwarding.entry_effects import Outcome
from jackdawridge.forwarding.policy import ServicePolicy

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.forwarding.entry import EntryForwarding
    from jackdawridge.forwarding.exchange import Call
    from jackdawridge.forwarding.ticket_answers import FinalAnswer
    from jackdawridge.forwarding.ticketed import TicketedRequests

_UNAVAILABLE = 503
_LEAVING = RequestError(_UNAVAILABLE, 'this entry is leaving')


class ServiceResource(Resource):
    """Handles `ANY /v1/services/{service}/{path...}`.

    :param application: application of the process.
    :param forwarding: forwards the requests to sides.
    :param tickets: runs ticketed requests.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(
        self,
        application: Application,
        forwarding: EntryForwarding,
        tickets: TicketedRequests,
    ) -> None:
        """Initialise the component."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.application = application
        self.forwarding = forwarding
        self.tickets = tickets
        self.request_count = 0

    def render(self, request: Any) -> Any:
        """Forward a request; its answer is written later.

        :param request: Twisted request with its whole body.
        """
        ticket = request.getHeader('x-ticket')
        if self.application.draining and ticket is None:
            self.refuse(request, _LEAVING, retry_after=1)
            return NOT_DONE_YET
        target = read_target(request.uri)
        if isinstance(target, Err):
            self.refuse(request, target.err_value)
            return NOT_DONE_YET
        reader = CallReader(
            self.policy(target.ok_value.service),
            self.make_request_id(),
            self.application.clock.seconds(),
        )
        call = reader.read(request, target.ok_value)
        if isinstance(call, Err):
            self.refuse(request, call.err_value)
            return NOT_DONE_YET
        if ticket is not None:
            self.submit_ticketed(request, ticket, call.ok_value)
            return NOT_DONE_YET
        answer = CallerAnswer(request, call.ok_value.request_id)
        key = self.forwarding.submit(call.ok_value, answer)
        finished = request.notifyFinish()
        finished.addErrback(lambda _: self.abandon(key, answer))
        return NOT_DONE_YET

    def submit_ticketed(self, request: Any, ticket: str, call: Call) -> None:
        """Submit a ticketed request.

        :param request: Twisted request.
        :param ticket: ticket from the `X-Ticket` header.
        :param call: request of the caller.
        """
        disconnected: list[object] = []
        request.notifyFinish().addErrback(disconnected.append)

        def reply(final: FinalAnswer) -> None:  # noqa: WPS430
            if not disconnected:
                write_answer(request, final)

        self.tickets.submit(ticket, call, reply)

    def policy(self, service: str) -> ServicePolicy:
        """Return the policy of a service.

        :param service: name of the service.
        """
        rules = self.forwarding.rules
        record = None if rules is None else rules.service_record(service)
        return ServicePolicy.from_record(record)

    def make_request_id(self) -> str:
        """Return an id for a request without an `X-Request-Id` header."""
        self.request_count += 1
        return f'{self.application.incarnation}-{self.request_count}'

    def abandon(self, key: int, answer: CallerAnswer) -> None:
        """Abandon a request whose caller has disconnected.

        :param key: key of the request.
        :param answer: writer of the answer, which writes nothing more.
        """
        answer.disconnected = True
        self.forwarding.abandon(key)

    def refuse(
        self, request: Any, request_error: RequestError, retry_after: float = 0
    ) -> None:
        """Answer a request that is rejected before it is forwarded.

        :param request: Twisted request.
        :param request_error: error for the caller.
        :param retry_after: delay in seconds after which the caller may retry,
            or 0 to send no `Retry-After` header.
        """
        write_refusal(
            request,
            request_error.status,
            Outcome.not_run.value,
            request_error.message,
            retry_after,
        )
