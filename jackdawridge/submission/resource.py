"""HTTP routes for tickets and jobs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from jackdawridge.logs import get_logger
from jackdawridge.submission.interface import (
    Reply,
    error_body,
    refusal_reply,
)
from jackdawridge.submission.relay import MAX_WAIT_TIME, TicketRequest
from jackdawridge.submission.replies import write_reply
from jackdawridge.util.web import write_deferred

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.submission.interface import JobInterface
    from jackdawridge.submission.relay import TicketRelay
    from jackdawridge.util.web import WebRequest

logger = get_logger('submission')

_CREATED = 201
_BAD_REQUEST = 400
_INTERNAL = 500
_UNAVAILABLE = 503


class JobResource:
    """Routes for tickets and jobs.

    :param application: the process.
    :param interface: issues tickets.
    :param relay: handles requests about tickets.
    """

    app = Klein()

    def __init__(
        self,
        application: Application,
        interface: JobInterface,
        relay: TicketRelay,
    ) -> None:
        """Keep the interface and the relay for the routes."""
        self.application = application
        self.interface = interface
        self.relay = relay

    @app.route('/v1/tickets', methods=['POST'])
    def issue(self, request: WebRequest) -> bytes:
        """Issue a ticket, which has no other effect.

        :param request: request of the caller.
        """
        reply = self.interface.admission_refusal()
        if reply is None:
            body = msgspec.json.encode(
                {'ticket': self.interface.register.issue()}
            )
            reply = Reply(_CREATED, body)
        return write_reply(request, reply)

    @app.route('/v1/jobs', methods=['POST'])
    def submit(self, request: WebRequest) -> Deferred[bytes] | bytes:
        """Submit a job under a ticket that is issued with it.

        :param request: request of the caller.
        """
        reply = self.interface.admission_refusal()
        if reply is not None:
            return write_reply(request, reply)
        ticket = self.interface.register.issue()
        request.setHeader('X-Ticket', ticket)
        return self.relay_request(request, 'PUT', ticket)

    @app.route('/v1/jobs/<path:ticket>', methods=['PUT', 'GET', 'DELETE'])
    def job(self, request: WebRequest, ticket: str) -> Deferred[bytes] | bytes:
        """Submit a job or join an open one, return its state, or cancel it.

        :param request: request of the caller.
        :param ticket: ticket of the job.
        """
        return self.relay_request(request, request.method.decode(), ticket)

    def relay_request(
        self, request: WebRequest, method: str, ticket: str
    ) -> Deferred[bytes] | bytes:
        """Have the relay handle a request and write its reply.

        :param request: request of the caller.
        :param method: `PUT`, `GET` or `DELETE`.
        :param ticket: ticket of the job.
        """
        wait = read_wait(request, 0 if method == 'GET' else MAX_WAIT_TIME)
        if isinstance(wait, Err):
            return write_reply(
                request, refusal_reply(_BAD_REQUEST, wait.err_value)
            )
        ticket_request = TicketRequest(
            method, ticket, wait.ok_value, request.content.read()
        )
        replied = self.relay.ask(ticket_request)
        body = error_body('internal error')
        return write_deferred(
            logger,
            request,
            replied,
            lambda reply: write_reply(request, reply),
            lambda: write_reply(request, Reply(_INTERNAL, body, 'unknown')),
        )


def read_wait(request: WebRequest, default: float) -> Result[float, str]:
    """Return the time for which a caller waits in seconds, or an error.

    :param request: request with the parameter `wait`, if any.
    :param default: returned if there is no such parameter.
    """
    text = request.args.get(b'wait', [b''])[0]
    if not text:
        return Ok(default)
    try:
        wait = float(text)
    except ValueError:
        wait = math.nan
    if 0 <= wait <= MAX_WAIT_TIME:
        return Ok(wait)
    return Err(
        f'wait={text.decode(errors="replace")!r} is not valid;'
        f' allowed: 0 to {MAX_WAIT_TIME:g} seconds'
    )
