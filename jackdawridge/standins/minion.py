"""A minion of a service, in small: slots, connections and a record."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.http import INTERNAL_SERVER_ERROR

from jackdawridge.standins.faults import MinionFaults
from jackdawridge.standins.messages import Behaviour, Record
from jackdawridge.standins.web import (
    StandIn,
    act_anyway,
    read_body,
    refuse,
    reply,
)

if TYPE_CHECKING:
    from collections.abc import Callable


#: Requests that are handled at a time.
SLOTS = 8
#: Connections that are accepted at a time.
CONNECTIONS = 64

_BEHAVIOUR = msgspec.json.Decoder(Behaviour)
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class Minion(StandIn):
    """Answers any request after the time that the request says.

    Requests over the number of slots wait; connections over the limit are
    dropped. A start is recorded when a request gets its slot, with the
    request's `X-Request-Id`.

    :param reactor: Twisted's reactor.
    :param failure_domain: written into its record.
    :param node: its name in the record.
    :param seed: makes faults that occur at random repeatable.
    :param clock: time of the record, the same in all processes.
    """

    app = Klein()
    fault_type = MinionFaults
    connection_limit = CONNECTIONS

    def __init__(
        self,
        reactor: Any,
        *,
        failure_domain: str = '',
        node: str = '',
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare without listening."""
        super().__init__(reactor, seed)
        self.clock = clock
        self.record: Record = {
            'node': node,
            'failure_domain': failure_domain,
            'starts': [],
            'ends': [],
        }
        self.free = SLOTS
        self.queue: deque[Deferred[None]] = deque()

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid."""
        return refuse(request, failure)

    @app.route('/record', methods=['GET'])
    def give_record(self, request: Any) -> bytes:
        """Give the record."""
        return reply(request, self.record)

    @app.route('/faults', methods=['POST'])
    def take_faults(self, request: Any) -> bytes:
        """Change the faults."""
        return reply(request, self.change_faults(request))

    @app.route('/', methods=_METHODS, branch=True)
    @act_anyway
    async def serve(self, request: Any) -> bytes:
        """Handle a request in a slot."""
        behaviour = read_behaviour(request)
        request_id = request.getHeader('X-Request-Id') or ''
        await self.before()
        await self.take_slot()
        try:
            state = await self.handle(request_id, behaviour)
        finally:
            self.free_slot()
        await self.after(request)
        request.setHeader('X-Request-Id', request_id)
        if state == 'failed':
            request.setResponseCode(INTERNAL_SERVER_ERROR)
        return form_answer(behaviour)

    async def handle(self, request_id: str, behaviour: Behaviour) -> str:
        """Record a request and spend its time; return how it ended.

        :param request_id: for the record.
        :param behaviour: what to do.
        """
        start = self.clock()
        self.record['starts'].append({'id': request_id, 'time': start})
        fails = self.random.random() < self.faults.get('fail', 0)
        state = 'failed' if fails or behaviour.get('fail') else 'succeeded'
        slowdown = self.faults.get('slowdown', 1)
        seconds = behaviour.get('seconds', 0) * slowdown
        try:
            await deferLater(self.reactor, seconds, _nothing)
        except BaseException:
            self.record_end(request_id, 'lost')
            raise
        self.record_end(request_id, state)
        return state

    def record_end(self, request_id: str, state: str) -> None:
        """Record that a request was handled.

        :param request_id: as in its start.
        :param state: `succeeded`, `failed` or `lost`.
        """
        self.record['ends'].append(
            {
                'id': request_id,
                'time': self.clock(),
                'state': state,
                'reason': '',
            }
        )

    async def take_slot(self) -> None:
        """Wait for a slot and take it."""
        while self.free == 0:
            freed: Deferred[None] = Deferred(self.queue.remove)
            self.queue.append(freed)
            await freed
        self.free -= 1

    def free_slot(self) -> None:
        """Give a slot back."""
        self.free += 1
        if self.queue:
            self.queue.popleft().callback(None)


def read_behaviour(request: Any) -> Behaviour:
    """Return what a request asks of the minion, in its query or its body.

    :param request: any.
    """
    body = read_body(request)
    if body.startswith(b'{'):
        return _BEHAVIOUR.decode(body)
    query = {
        name.decode(): texts[0].decode() for name, texts in request.args.items()
    }
    return msgspec.convert(query, Behaviour, strict=False)


def form_answer(behaviour: Behaviour) -> bytes:
    """Return the body of the answer.

    :param behaviour: has the answer and the length it is repeated to.
    """
    answer = behaviour.get('answer', '').encode()
    size = behaviour.get('size', 0)
    if size <= len(answer):
        return answer
    answer = answer or b'.'
    return (answer * (size // len(answer) + 1))[:size]


def _nothing() -> None:
    """Return after a delay."""
