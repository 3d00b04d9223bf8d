"""The log service of the platform, in small."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater
from twisted.web.http import SERVICE_UNAVAILABLE

from jackdawridge.standins.faults import LogFaults
from jackdawridge.standins.log_state import APPEND_RATE, LogState, Stream
from jackdawridge.standins.messages import Trim
from jackdawridge.standins.web import (
    StandIn,
    act_anyway,
    read_body,
    read_json,
    read_number,
    refuse,
    reply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Longest time for which a read waits for a record, in seconds.
MAX_WAIT = 60.0
#: Most records that a read returns.
MAX_LIMIT = 1000

_TRIM = msgspec.json.Decoder(Trim)


class LogService(StandIn):
    """Serves the interface of the log service.

    Its record has the time of each append by stream and offset, also of
    records that are no longer kept.

    :param reactor: Twisted's reactor.
    :param seed: makes faults that occur at random repeatable.
    :param clock: time of the record, the same in all processes.
    """

    app = Klein()
    fault_type = LogFaults

    def __init__(
        self,
        reactor: Any,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare without listening."""
        super().__init__(reactor, seed)
        self.clock = clock
        self.state = LogState(clock())
        self.waiting: list[Deferred[None]] = []

    @property
    def is_out(self) -> bool:
        """Whether the service is in an outage."""
        return bool(self.faults.get('outage', False))

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: whose body has `LogFaults`.
        """
        faults = super().change_faults(request)
        self.state.rate = faults.get('append_rate', APPEND_RATE)
        self.state.retention_records = faults.get('retention_records')
        self.state.retention_seconds = faults.get(
            'retention_seconds', float('inf')
        )
        self.state.expire(self.clock())
        self.wake_readers()
        return faults

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid."""
        return refuse(request, failure)

    @app.route('/v1/streams/<stream>/records', methods=['POST'])
    @act_anyway
    async def append(self, request: Any, stream: str) -> bytes:
        """Append a record."""
        body = msgspec.json.encode(msgspec.json.decode(read_body(request)))
        await self.before()
        if self.is_out:
            return _unavailable(request, 'outage')
        offset = self.state.append(stream, body, self.clock())
        if offset is None:
            return _unavailable(request, 'over the append rate')
        self.wake_readers()
        return await self.answer(request, {'offset': offset})

    @app.route('/v1/streams/<stream>/records', methods=['GET'])
    async def read(self, request: Any, stream: str) -> bytes:
        """Read records, and wait for one if there is none yet."""
        start = int(read_number(request, 'from', 0))
        limit = int(read_number(request, 'limit', MAX_LIMIT))
        wait = min(read_number(request, 'wait', 0), MAX_WAIT)
        deadline = self.clock() + wait
        await self.before()
        records = self.state.streams[stream]
        while records.next <= start and not self.is_out:
            left = deadline - self.clock()
            if left <= 0:
                break
            await self.wait_for_append(left)
        if self.is_out:
            return _unavailable(request, 'outage')
        self.state.expire(self.clock())
        body = _describe(records, start, min(limit, MAX_LIMIT))
        return await self.answer(request, body)

    @app.route('/v1/streams/<stream>/trim', methods=['POST'])
    @act_anyway
    async def trim(self, request: Any, stream: str) -> bytes:
        """Drop the first records of a stream."""
        before = read_json(request, _TRIM)['before']
        await self.before()
        if self.is_out or self.faults.get('refuse_trim', False):
            return _unavailable(request, 'trim refused')
        records = self.state.streams[stream]
        records.trim(before)
        return await self.answer(request, {'first': records.first})

    @app.route('/record', methods=['GET'])
    def give_record(self, request: Any) -> bytes:
        """Give the time of each append by stream and offset."""
        times = {
            name: stream.times for name, stream in self.state.streams.items()
        }
        return reply(request, {'times': times})

    @app.route('/faults', methods=['POST'])
    def take_faults(self, request: Any) -> bytes:
        """Change the faults."""
        return reply(request, self.change_faults(request))

    def wait_for_append(self, delay: float) -> Deferred[Any]:
        """Wait for any append, for a time at most.

        :param delay: in seconds.
        """
        appended: Deferred[None] = Deferred()
        self.waiting.append(appended)
        late = deferLater(self.reactor, delay, _nothing)
        waited = DeferredList(
            [appended, late],
            fireOnOneCallback=True,
            consumeErrors=True,
        )
        return waited.addBoth(self.end_wait, appended, late)

    def end_wait(
        self, result: Any, appended: Deferred[None], late: Deferred[None]
    ) -> Any:
        """Drop what a read waited for; the result is passed on."""
        if appended in self.waiting:
            self.waiting.remove(appended)
        late.cancel()
        return result

    def wake_readers(self) -> None:
        """Let the reads that wait look again."""
        waiting = self.waiting
        self.waiting = []
        for appended in waiting:
            appended.callback(None)


def _describe(stream: Stream, start: int, limit: int) -> dict[str, Any]:
    """Return the body of the answer to a read."""
    records = [
        {'offset': record.offset, 'record': msgspec.Raw(record.body)}
        for record in stream.read(start, limit)
    ]
    return {'first': stream.first, 'next': stream.next, 'records': records}


def _unavailable(request: Any, reason: str) -> bytes:
    """Refuse a request for now."""
    return reply(request, {'error': reason}, SERVICE_UNAVAILABLE)


def _nothing() -> None:
    """Return after a delay."""
