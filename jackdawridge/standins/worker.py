"""A worker of the platform, in small: it starts what it is given."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred

from jackdawridge.standins.faults import WorkerFaults
from jackdawridge.standins.messages import (
    Forget,
    Ids,
    Order,
    Record,
    Renewal,
    StartRequest,
    StartResult,
    Throttle,
)
from jackdawridge.standins.runner import USAGE_LAG, Runner, encode_line
from jackdawridge.standins.start_stream import start_batch
from jackdawridge.standins.web import (
    StandIn,
    act_anyway,
    read_json,
    read_number,
    refuse,
    reply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from jackdawridge.standins.sharing import Size

_START = msgspec.json.Decoder(StartRequest)
_IDS = msgspec.json.Decoder(Ids)
_THROTTLE = msgspec.json.Decoder(Throttle)
_RENEWAL = msgspec.json.Decoder(Renewal)
_FORGET = msgspec.json.Decoder(Forget)


class Worker(StandIn):
    """Serves the interface of a worker and records every start.

    :param reactor: Twisted's reactor.
    :param size: what the worker has.
    :param failure_domain: written into its record.
    :param node: its name in the record.
    :param seed: makes faults that occur at random repeatable.
    :param clock: time of the record, the same in all processes.
    """

    app = Klein()
    fault_type = WorkerFaults

    def __init__(
        self,
        reactor: Any,
        size: Size,
        *,
        failure_domain: str = '',
        node: str = '',
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare without listening."""
        super().__init__(reactor, seed)
        self.record: Record = {
            'node': node,
            'failure_domain': failure_domain,
            'starts': [],
            'ends': [],
        }
        self.runner = Runner(reactor, size, self.record, clock)

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Listen and return the address as `ip:port`.

        :param address: port 0 for any free one.
        """
        self.runner.start()
        return super().start(address)

    def stop(self) -> Deferred[None]:
        """Stop listening, drop all connections and all tasks."""
        self.runner.stop()
        return super().stop()

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: whose body has `WorkerFaults`.
        """
        faults = super().change_faults(request)
        runner = self.runner
        runner.state.fail_all = faults.get('fail_all', False)
        slowdown = faults.get('slowdown', 1)
        runner.publish(runner.state.slow_down(slowdown, runner.clock()))
        runner.choose_usage_lag(faults.get('usage_lag', USAGE_LAG))
        if self.is_dead:
            runner.lose_tasks()
        return faults

    @app.handle_errors(msgspec.DecodeError)
    def invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid."""
        return refuse(request, failure)

    @app.route('/v1/tasks', methods=['POST'])
    @act_anyway
    async def start_tasks(self, request: Any) -> bytes:
        """Start tasks whether they fit or not."""
        body = read_json(request, _START)
        await self.before()
        results = [self.start_task(order) for order in body['tasks']]
        return await self.answer(request, {'results': results})

    @app.route('/v1/tasks/stream', methods=['POST'])
    def end_stream(self, request: Any) -> bytes:
        """Answer a stream of starts that its client has ended."""
        return reply(request, {})

    def take_line(self, line: bytes) -> None:
        """Act on a line of a stream of starts.

        :param line: of JSON, empty to keep the stream open.
        """
        if line.strip():
            ensureDeferred(start_batch(self, line))

    @app.route('/v1/tasks', methods=['GET'])
    @act_anyway
    async def list_tasks(self, request: Any) -> bytes:
        """List the tasks that run, and those ended and not forgotten."""
        await self.before()
        now = self.runner.clock()
        self.runner.publish(self.runner.state.advance(now))
        tasks = [
            task.report(now, 'running', '')
            for task in self.runner.state.running.values()
        ]
        tasks.extend(self.runner.state.events.values())
        body = {'event': self.runner.state.last_event, 'tasks': tasks}
        return await self.answer(request, body)

    @app.route('/v1/tasks/stop', methods=['POST'])
    @act_anyway
    async def stop_tasks(self, request: Any) -> bytes:
        """Stop tasks."""
        ids = read_json(request, _IDS)['ids']
        await self.before()
        self.runner.publish(
            self.runner.state.stop(ids, self.runner.clock(), 'stop requested')
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/throttle', methods=['POST'])
    @act_anyway
    async def throttle_tasks(self, request: Any) -> bytes:
        """Limit tasks to a share of their speed."""
        body = read_json(request, _THROTTLE)
        await self.before()
        self.runner.publish(
            self.runner.state.throttle(
                body['ids'], body['share'], self.runner.clock()
            )
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/checkpoint', methods=['POST'])
    @act_anyway
    async def checkpoint_tasks(self, request: Any) -> bytes:
        """Suspend tasks and release their memory."""
        ids = read_json(request, _IDS)['ids']
        await self.before()
        self.runner.publish(
            self.runner.state.checkpoint(ids, self.runner.clock())
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/renew', methods=['POST'])
    @act_anyway
    async def renew_tasks(self, request: Any) -> bytes:
        """Renew the leases of some tasks or of all."""
        body = read_json(request, _RENEWAL)
        await self.before()
        ids: Iterable[str] = body.get('ids', [])
        if body.get('all', False):
            ids = self.runner.state.running
        self.runner.state.renew(ids, body.get('lease', 0), self.runner.clock())
        return await self.answer(request, {})

    @app.route('/v1/tasks/forget', methods=['POST'])
    @act_anyway
    async def forget_tasks(self, request: Any) -> bytes:
        """Drop the reports of ended tasks."""
        through = read_json(request, _FORGET)['through']
        await self.before()
        self.runner.state.forget(through)
        return await self.answer(request, {})

    @app.route('/v1/events', methods=['GET'])
    def stream_events(self, request: Any) -> Deferred[bytes]:
        """Send each event after a number, and those to come."""
        after = read_number(request, 'after', 0)
        request.setHeader('Content-Type', 'application/x-ndjson')
        events = [
            event
            for number, event in self.runner.state.events.items()
            if number > after
        ]
        request.write(b''.join([encode_line(event) for event in events]))
        request.write(b'\n')
        self.runner.streams.add(request)
        request.notifyFinish().addBoth(
            lambda _: self.runner.streams.discard(request)
        )
        return Deferred()

    @app.route('/record', methods=['GET'])
    def give_record(self, request: Any) -> bytes:
        """Give the record."""
        return reply(request, self.record)

    @app.route('/faults', methods=['POST'])
    def take_faults(self, request: Any) -> bytes:
        """Change the faults."""
        return reply(request, self.change_faults(request))

    def start_task(self, order: Order) -> StartResult:
        """Start one task, unless a fault refuses all.

        :param order: the task.
        """
        if self.faults.get('refuse_all', False):
            return {
                'id': order['id'],
                'state': 'refused',
                'reason': 'worker refuses all',
            }
        self.runner.start_task(order)
        return {'id': order['id'], 'state': 'running', 'reason': ''}
