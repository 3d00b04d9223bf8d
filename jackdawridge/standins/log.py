"""A simplified log service of the platform."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater
from twisted.web.http import SERVICE_UNAVAILABLE

from jackdawridge.standins.faults import LogFaults
from jackdawridge.standins.log_state import (
    DEFAULT_APPEND_RATE,
    LogState,
    Stream,
)
from jackdawridge.standins.messages import TrimRequest
from jackdawridge.standins.web import (
    StandIn,
    read_body,
    read_json,
    read_number,
    reply,
    reply_bad_request,
    run_to_completion,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Longest time that a read waits for a record, in seconds.
MAX_WAIT_TIME = 60.0
#: Highest number of records that a read returns.
MAX_RECORD_COUNT = 1000

_TRIM = msgspec.json.Decoder(TrimRequest)


class LogService(StandIn):
    """Serves the HTTP interface of the log service.

    Its record holds the time of each append by stream and offset, including
    records that were trimmed or have expired.

    :param reactor: the Twisted reactor.
    :param seed: the seed of the random faults.
    :param clock: returns the time for the record in seconds, from a clock
        that all processes of the machine share.
    """

    app = Klein()
    fault_type = LogFaults

    def __init__(
        self,
        reactor: Any,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise without listening."""
        super().__init__(reactor, seed)
        self.clock = clock
        self.state = LogState(clock())
        self.waiting_reads: list[Deferred[None]] = []

    @property
    def has_outage(self) -> bool:
        """Whether the fault `outage` is set."""
        return bool(self.faults.get('outage', False))

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: the request, whose body is a `LogFaults`.
        :raises msgspec.ValidationError: if a fault is unknown or of wrong
            type.
        """
        faults = super().change_faults(request)
        self.state.append_rate = faults.get('append_rate', DEFAULT_APPEND_RATE)
        self.state.retention_records = faults.get('retention_records')
        self.state.retention_seconds = faults.get(
            'retention_seconds', float('inf')
        )
        self.state.expire(self.clock())
        self.wake_readers()
        return faults

    @app.handle_errors(msgspec.DecodeError, ValueError)
    def handle_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid with status 400."""
        return reply_bad_request(request, failure)

    @app.route('/v1/streams/<stream>/records', methods=['POST'])
    @run_to_completion
    async def append(self, request: Any, stream: str) -> bytes:
        """Append a record to a stream and return its offset."""
        body = msgspec.json.encode(msgspec.json.decode(read_body(request)))
        await self.delay_request()
        if self.has_outage:
            return _reply_unavailable(request, 'outage')
        offset = self.state.append(stream, body, self.clock())
        if offset is None:
            return _reply_unavailable(request, 'over the append rate')
        self.wake_readers()
        return await self.answer(request, {'offset': offset})

    @app.route('/v1/streams/<stream>/records', methods=['GET'])
    async def read(self, request: Any, stream: str) -> bytes:
        """Return records from an offset on, waiting for the first if needed."""
        start = int(read_number(request, 'from', 0))
        limit = int(read_number(request, 'limit', MAX_RECORD_COUNT))
        wait = min(read_number(request, 'wait', 0), MAX_WAIT_TIME)
        deadline = self.clock() + wait
        await self.delay_request()
        records = self.state.streams[stream]
        while records.next <= start and not self.has_outage:
            remaining = deadline - self.clock()
            if remaining <= 0:
                break
            await self.wait_for_append(remaining)
        if self.has_outage:
            return _reply_unavailable(request, 'outage')
        self.state.expire(self.clock())
        body = _build_read_response(
            records, start, min(limit, MAX_RECORD_COUNT)
        )
        return await self.answer(request, body)

    @app.route('/v1/streams/<stream>/trim', methods=['POST'])
    @run_to_completion
    async def trim(self, request: Any, stream: str) -> bytes:
        """Drop the records of a stream before an offset."""
        before = read_json(request, _TRIM)['before']
        await self.delay_request()
        if self.has_outage or self.faults.get('refuse_trim', False):
            return _reply_unavailable(request, 'trim refused')
        records = self.state.streams[stream]
        records.trim(before)
        return await self.answer(request, {'first': records.first})

    @app.route('/record', methods=['GET'])
    def send_record(self, request: Any) -> bytes:
        """Return the times of all appends by stream, in order of offset."""
        times = {
            name: stream.times for name, stream in self.state.streams.items()
        }
        return reply(request, {'times': times})

    @app.route('/faults', methods=['POST'])
    def update_faults(self, request: Any) -> bytes:
        """Add faults to the present ones and return all."""
        return reply(request, self.change_faults(request))

    def wait_for_append(self, timeout: float) -> Deferred[Any]:
        """Return a Deferred that fires at the next append or timeout.

        :param timeout: the longest wait, in seconds.
        """
        appended: Deferred[None] = Deferred()
        self.waiting_reads.append(appended)
        timer = deferLater(self.reactor, timeout, _do_nothing)
        waited = DeferredList(
            [appended, timer],
            fireOnOneCallback=True,
            consumeErrors=True,
        )
        return waited.addBoth(self.end_wait, appended, timer)

    def end_wait(
        self, result: Any, appended: Deferred[None], timer: Deferred[None]
    ) -> Any:
        """Remove a waiting read, cancel its timer and return the result."""
        if appended in self.waiting_reads:
            self.waiting_reads.remove(appended)
        timer.cancel()
        return result

    def wake_readers(self) -> None:
        """Wake all waiting reads so that they check for records again."""
        woken_reads = self.waiting_reads
        self.waiting_reads = []
        for appended in woken_reads:
            appended.callback(None)


def _build_read_response(
    stream: Stream, start: int, limit: int
) -> dict[str, Any]:
    """Return the body of the response to a read."""
    records = [
        {'offset': record.offset, 'record': msgspec.Raw(record.body)}
        for record in stream.read(start, limit)
    ]
    return {'first': stream.first, 'next': stream.next, 'records': records}


def _reply_unavailable(request: Any, reason: str) -> bytes:
    """Answer a request with status 503 and a reason."""
    return reply(request, {'error': reason}, SERVICE_UNAVAILABLE)


def _do_nothing() -> None:
    """Do nothing, as the target of a delayed call."""
