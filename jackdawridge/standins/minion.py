"""A simplified minion with slots and a connection limit."""

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
    read_body,
    reply,
    reply_bad_request,
    run_to_completion,
)

if TYPE_CHECKING:
    from collections.abc import Callable


#: Number of requests that are handled at a time.
SLOT_COUNT = 8
#: Highest number of open connections.
MAX_CONNECTIONS = 64

_BEHAVIOUR = msgspec.json.Decoder(Behaviour)
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class Minion(StandIn):
    """Answers each request after the run time that the request gives.

    Requests wait for a free slot; connections over the limit are refused. The
    start of a request is recorded with its `X-Request-Id` when the request
    gets a slot.

    :param reactor: the Twisted reactor.
    :param failure_domain: the failure domain written to the record.
    :param node: the node name written to the record.
    :param seed: the seed of the random faults.
    :param clock: returns the time for the record in seconds, from a clock
        that all processes of the machine share.
    """

    app = Klein()
    fault_type = MinionFaults
    connection_limit = MAX_CONNECTIONS

    def __init__(
        self,
        reactor: Any,
        *,
        failure_domain: str = '',
        node: str = '',
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise without listening."""
        super().__init__(reactor, seed)
        self.clock = clock
        self.record: Record = {
            'node': node,
            'failure_domain': failure_domain,
            'starts': [],
            'ends': [],
        }
        self.free_slots = SLOT_COUNT
        self.slot_queue: deque[Deferred[None]] = deque()

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def handle_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid with status 400."""
        return reply_bad_request(request, failure)

    @app.route('/record', methods=['GET'])
    def send_record(self, request: Any) -> bytes:
        """Return the record of starts and ends."""
        return reply(request, self.record)

    @app.route('/faults', methods=['POST'])
    def update_faults(self, request: Any) -> bytes:
        """Add faults to the present ones and return all."""
        return reply(request, self.change_faults(request))

    @app.route('/', methods=_METHODS, branch=True)
    @run_to_completion
    async def serve(self, request: Any) -> bytes:
        """Handle a request in a slot and return the answer."""
        behaviour = read_behaviour(request)
        request_id = request.getHeader('X-Request-Id') or ''
        await self.delay_request()
        await self.acquire_slot()
        try:
            state = await self.handle(request_id, behaviour)
        finally:
            self.release_slot()
        await self.apply_answer_faults(request)
        request.setHeader('X-Request-Id', request_id)
        if state == 'failed':
            request.setResponseCode(INTERNAL_SERVER_ERROR)
        return build_answer(behaviour)

    async def handle(self, request_id: str, behaviour: Behaviour) -> str:
        """Record a request, wait for its run time and return its state.

        :param request_id: the `X-Request-Id`, for the record.
        :param behaviour: the run time and outcome of the request.
        """
        start = self.clock()
        self.record['starts'].append({'id': request_id, 'time': start})
        fails = self.random.random() < self.faults.get('fail', 0)
        state = 'failed' if fails or behaviour.get('fail') else 'succeeded'
        slowdown = self.faults.get('slowdown', 1)
        seconds = behaviour.get('seconds', 0) * slowdown
        try:
            await deferLater(self.reactor, seconds, _do_nothing)
        except BaseException:
            self.record_end(request_id, 'lost')
            raise
        self.record_end(request_id, state)
        return state

    def record_end(self, request_id: str, state: str) -> None:
        """Record the end of a request.

        :param request_id: the id under which its start was recorded.
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

    async def acquire_slot(self) -> None:
        """Wait for a free slot and occupy it."""
        while self.free_slots == 0:
            slot_freed: Deferred[None] = Deferred(self.slot_queue.remove)
            self.slot_queue.append(slot_freed)
            await slot_freed
        self.free_slots -= 1

    def release_slot(self) -> None:
        """Release a slot and wake the first waiting request."""
        self.free_slots += 1
        if self.slot_queue:
            self.slot_queue.popleft().callback(None)


def read_behaviour(request: Any) -> Behaviour:
    """Decode the behaviour from the JSON body of a request or its query.

    :param request: the request, with its whole body received.
    :raises msgspec.DecodeError: if the body or the query is not valid.
    """
    body = read_body(request)
    if body.startswith(b'{'):
        return _BEHAVIOUR.decode(body)
    query = {
        name.decode(): values[0].decode()
        for name, values in request.args.items()
    }
    return msgspec.convert(query, Behaviour, strict=False)


def build_answer(behaviour: Behaviour) -> bytes:
    """Return the body of the answer to a request.

    :param behaviour: the answer, and the length in bytes to which it is
        repeated.
    """
    answer = behaviour.get('answer', '').encode()
    size = behaviour.get('size', 0)
    if size <= len(answer):
        return answer
    answer = answer or b'.'
    return (answer * (size // len(answer) + 1))[:size]


def _do_nothing() -> None:
    """Do nothing, as the target of a delayed call."""
