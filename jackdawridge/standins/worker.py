"""A simplified worker of the platform, without admission control."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred

from jackdawridge.standins.faults import WorkerFaults
from jackdawridge.standins.messages import (
    ForgetRequest,
    Order,
    Record,
    RenewRequest,
    StartRequest,
    StartResult,
    TaskIds,
    ThrottleRequest,
)
from jackdawridge.standins.runner import DEFAULT_USAGE_LAG, Runner, encode_line
from jackdawridge.standins.start_stream import start_batch
from jackdawridge.standins.web import (
    StandIn,
    read_json,
    read_number,
    reply,
    reply_bad_request,
    run_to_completion,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from jackdawridge.standins.shared_processors import Resources

_START = msgspec.json.Decoder(StartRequest)
_TASK_IDS = msgspec.json.Decoder(TaskIds)
_THROTTLE = msgspec.json.Decoder(ThrottleRequest)
_RENEW = msgspec.json.Decoder(RenewRequest)
_FORGET = msgspec.json.Decoder(ForgetRequest)


class Worker(StandIn):
    """Serves the HTTP interface of a worker and records every start.

    :param reactor: the Twisted reactor.
    :param resources: the resources of the worker.
    :param failure_domain: the failure domain written to the record.
    :param node: the node name written to the record.
    :param seed: the seed of the random faults.
    :param clock: returns the time for the record in seconds, from a clock
        that all processes of the machine share.
    """

    app = Klein()
    fault_type = WorkerFaults

    def __init__(
        self,
        reactor: Any,
        resources: Resources,
        *,
        failure_domain: str = '',
        node: str = '',
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise without listening."""
        super().__init__(reactor, seed)
        self.record: Record = {
            'node': node,
            'failure_domain': failure_domain,
            'starts': [],
            'ends': [],
        }
        self.runner = Runner(reactor, resources, self.record, clock)

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Start listening and return the bound address as `ip:port`.

        :param address: the address to listen on; port 0 for any free port.
        """
        self.runner.start()
        return super().start(address)

    def stop(self) -> Deferred[None]:
        """Stop listening, abort all connections and discard all tasks."""
        self.runner.stop()
        return super().stop()

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: the request, whose body is a `WorkerFaults`.
        :raises msgspec.ValidationError: if a fault is unknown or of wrong
            type.
        """
        faults = super().change_faults(request)
        runner = self.runner
        runner.state.fail_all = faults.get('fail_all', False)
        slowdown = faults.get('slowdown', 1)
        runner.publish(runner.state.slow_down(slowdown, runner.clock()))
        runner.set_usage_lag(faults.get('usage_lag', DEFAULT_USAGE_LAG))
        if self.is_dead:
            runner.discard_tasks()
        return faults

    @app.handle_errors(msgspec.DecodeError)
    def handle_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid with status 400."""
        return reply_bad_request(request, failure)

    @app.route('/v1/tasks', methods=['POST'])
    @run_to_completion
    async def start_tasks(self, request: Any) -> bytes:
        """Start tasks, whether or not the worker has room for them."""
        body = read_json(request, _START)
        await self.delay_request()
        results = [self.start_task(order) for order in body['tasks']]
        return await self.answer(request, {'results': results})

    @app.route('/v1/tasks/stream', methods=['POST'])
    def end_stream(self, request: Any) -> bytes:
        """Answer a stream of starts after the client has ended its body."""
        return reply(request, {})

    def handle_line(self, line: bytes) -> None:
        """Start the batch of tasks in a line of a stream.

        :param line: the JSON text, or empty for a keep-alive.
        """
        if line.strip():
            ensureDeferred(start_batch(self, line))

    @app.route('/v1/tasks', methods=['GET'])
    @run_to_completion
    async def list_tasks(self, request: Any) -> bytes:
        """List the running tasks and the retained events of ended ones."""
        await self.delay_request()
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
    @run_to_completion
    async def stop_tasks(self, request: Any) -> bytes:
        """Stop the given tasks."""
        ids = read_json(request, _TASK_IDS)['ids']
        await self.delay_request()
        self.runner.publish(
            self.runner.state.stop(ids, self.runner.clock(), 'stop requested')
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/throttle', methods=['POST'])
    @run_to_completion
    async def throttle_tasks(self, request: Any) -> bytes:
        """Limit the given tasks to a share of their full speed."""
        body = read_json(request, _THROTTLE)
        await self.delay_request()
        self.runner.publish(
            self.runner.state.throttle(
                body['ids'], body['share'], self.runner.clock()
            )
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/checkpoint', methods=['POST'])
    @run_to_completion
    async def checkpoint_tasks(self, request: Any) -> bytes:
        """Suspend the given tasks and release their memory."""
        ids = read_json(request, _TASK_IDS)['ids']
        await self.delay_request()
        self.runner.publish(
            self.runner.state.checkpoint(ids, self.runner.clock())
        )
        return await self.answer(request, {})

    @app.route('/v1/tasks/renew', methods=['POST'])
    @run_to_completion
    async def renew_tasks(self, request: Any) -> bytes:
        """Renew the leases of the given tasks or of all running ones."""
        body = read_json(request, _RENEW)
        await self.delay_request()
        ids: Iterable[str] = body.get('ids', [])
        if body.get('all', False):
            ids = self.runner.state.running
        self.runner.state.renew(ids, body.get('lease', 0), self.runner.clock())
        return await self.answer(request, {})

    @app.route('/v1/tasks/forget', methods=['POST'])
    @run_to_completion
    async def forget_tasks(self, request: Any) -> bytes:
        """Drop the events up to and including a number."""
        through = read_json(request, _FORGET)['through']
        await self.delay_request()
        self.runner.state.forget(through)
        return await self.answer(request, {})

    @app.route('/v1/events', methods=['GET'])
    def stream_events(self, request: Any) -> Deferred[bytes]:
        """Send the retained events after a number, then each new one."""
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
    def send_record(self, request: Any) -> bytes:
        """Return the record of starts and ends."""
        return reply(request, self.record)

    @app.route('/faults', methods=['POST'])
    def update_faults(self, request: Any) -> bytes:
        """Add faults to the present ones and return all."""
        return reply(request, self.change_faults(request))

    def start_task(self, order: Order) -> StartResult:
        """Start a task unless the fault `refuse_all` is set.

        :param order: the task to start.
        """
        if self.faults.get('refuse_all', False):
            return {
                'id': order['id'],
                'state': 'refused',
                'reason': 'worker refuses all',
            }
        self.runner.start_task(order)
        return {'id': order['id'], 'state': 'running', 'reason': ''}
