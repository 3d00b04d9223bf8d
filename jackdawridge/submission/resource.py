"""HTTP for callers with tickets and jobs."""

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
    refuse,
)
from jackdawridge.submission.relay import MAX_WAIT, Question
from jackdawridge.submission.replies import write_reply
from jackdawridge.util.web import write_later

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
    :param relay: answers questions about tickets.
    """

    app = Klein()

    def __init__(
        self,
        application: Application,
        interface: JobInterface,
        relay: TicketRelay,
    ) -> None:
        """Keep the parts."""
        self.application = application
        self.interface = interface
        self.relay = relay

    @app.route('/v1/tickets', methods=['POST'])
    def issue(self, request: WebRequest) -> bytes:
        """Issue a ticket; this has no other effect.

        :param request: of a caller.
        """
        reply = self.interface.full()
        if reply is None:
            body = msgspec.json.encode(
                {'ticket': self.interface.register.issue()}
            )
            reply = Reply(_CREATED, body)
        return write_reply(request, reply)

    @app.route('/v1/jobs', methods=['POST'])
    def submit(self, request: WebRequest) -> Deferred[bytes] | bytes:
        """Submit a job under a ticket that is issued for it.

        :param request: of a caller.
        """
        reply = self.interface.full()
        if reply is not None:
            return write_reply(request, reply)
        ticket = self.interface.register.issue()
        request.setHeader('X-Ticket', ticket)
        return self.ask(request, 'PUT', ticket)

    @app.route('/v1/jobs/<path:ticket>', methods=['PUT', 'GET', 'DELETE'])
    def job(self, request: WebRequest, ticket: str) -> Deferred[bytes] | bytes:
        """Submit or join a job, return its state, or cancel it.

        :param request: of a caller.
        :param ticket: of the job.
        """
        return self.ask(request, request.method.decode(), ticket)

    def ask(
        self, request: WebRequest, method: str, ticket: str
    ) -> Deferred[bytes] | bytes:
        """Have a question answered.

        :param request: of a caller.
        :param method: `PUT`, `GET` or `DELETE`.
        :param ticket: of the job.
        """
        wait = read_wait(request, 0 if method == 'GET' else MAX_WAIT)
        if isinstance(wait, Err):
            return write_reply(request, refuse(_BAD_REQUEST, wait.err_value))
        question = Question(
            method, ticket, wait.ok_value, request.content.read()
        )
        replied = self.relay.ask(question)
        body = error_body('internal error')
        return write_later(
            logger,
            request,
            replied,
            lambda reply: write_reply(request, reply),
            lambda: write_reply(request, Reply(_INTERNAL, body, 'unknown')),
        )


def read_wait(request: WebRequest, default: float) -> Result[float, str]:
    """Return the time for which a caller waits for an answer, in seconds.

    :param request: with the parameter `wait`, if any.
    :param default: used without the parameter.
    """
    text = request.args.get(b'wait', [b''])[0]
    if not text:
        return Ok(default)
    try:
        wait = float(text)
    except ValueError:
        wait = math.nan
    if 0 <= wait <= MAX_WAIT:
        return Ok(wait)
    return Err(
        f'wait={text.decode(errors="replace")!r} is not valid;'
        f' allowed: 0 to {MAX_WAIT:g} seconds'
    )
