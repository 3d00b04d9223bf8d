"""Runs the model of a worker in real time and records its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.task import LoopingCall

from jackdawridge.standins.messages import Order, Record, TaskEvent, Usage
from jackdawridge.standins.worker_state import WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.standins.shared_processors import Resources

_ENCODER = msgspec.json.Encoder()

#: Interval of the check for lapsed leases, in seconds.
LEASE_CHECK_INTERVAL = 0.1
#: Lag of usage reports unless the fault `usage_lag` is set, in seconds.
DEFAULT_USAGE_LAG = 0.5
#: Longest time without a line on an event stream, in seconds.
KEEP_ALIVE_INTERVAL = 1


class Runner:
    """Drives the state of a worker with timers of the reactor.

    :param reactor: the Twisted reactor.
    :param resources: the resources of the worker.
    :param record: the record to which starts and ends are appended.
    :param clock: returns the time for the record, in seconds.
    """

    def __init__(
        self,
        reactor: Any,
        resources: Resources,
        record: Record,
        clock: Callable[[], float],
    ) -> None:
        """Initialise without starting the timers."""
        self.reactor = reactor
        self.clock = clock
        self.state = WorkerState(resources, clock())
        self.record = record
        #: Open requests to which events are written.
        self.streams: set[Any] = set()
        self.usage: list[Usage] = []
        self.last_written = clock()
        self.end_timer: Any = None
        self.lease_check = LoopingCall(self.check_leases)
        self.usage_report = LoopingCall(self.report_usage)
        self.lease_check.clock = reactor
        self.usage_report.clock = reactor

    def start(self) -> None:
        """Start the lease check and the usage reports."""
        self.lease_check.start(LEASE_CHECK_INTERVAL, now=False)
        self.usage_report.start(DEFAULT_USAGE_LAG, now=False)

    def stop(self) -> None:
        """Stop all timers and discard all tasks."""
        self.discard_tasks()
        self.lease_check.stop()
        self.usage_report.stop()
        if self.end_timer is not None and self.end_timer.active():
            self.end_timer.cancel()

    def set_usage_lag(self, lag: float) -> None:
        """Set the lag and the interval of usage reports.

        :param lag: the lag, in seconds.
        """
        self.usage_report.stop()
        self.usage_report.start(lag, now=False)

    def start_task(self, order: Order) -> None:
        """Record the start of a task and start it.

        :param order: the task to start.
        """
        now = self.clock()
        self.record['starts'].append({'id': order['id'], 'time': now})
        self.publish(self.state.start(order, now))

    def publish(self, events: list[TaskEvent]) -> None:
        """Record ends, write them to the streams and reset the timer.

        :param events: the new events.
        """
        if events:
            self.record['ends'].extend(
                {
                    'id': event['id'],
                    'time': self.state.processors.now,
                    'state': event['state'],
                    'reason': event['reason'],
                }
                for event in events
            )
            self.write(b''.join([encode_line(event) for event in events]))
        self.reset_timer()

    def reset_timer(self) -> None:
        """Set the timer to the end of the next task."""
        next_end = self.state.next_end()
        if next_end is None:
            return
        delay = max(0, next_end - self.clock())
        if self.end_timer is not None and self.end_timer.active():
            self.end_timer.reset(delay)
        else:
            self.end_timer = self.reactor.callLater(delay, self.end_due_tasks)

    def end_due_tasks(self) -> None:
        """End the tasks that are due and publish their events."""
        self.publish(self.state.advance(self.clock()))

    def check_leases(self) -> None:
        """Stop the tasks whose lease has lapsed and send keep-alives."""
        now = self.clock()
        self.publish(self.state.stop_lapsed(now))
        if now - self.last_written > KEEP_ALIVE_INTERVAL - LEASE_CHECK_INTERVAL:
            self.write(b'\n')

    def report_usage(self) -> None:
        """Write the usage of one interval ago to the streams."""
        self.write(encode_line({'usage': self.usage}))
        self.usage = self.state.usage()

    def discard_tasks(self) -> None:
        """Discard all tasks as in a crash and record them as lost."""
        now = self.clock()
        self.publish(self.state.advance(now))
        self.record['ends'].extend(
            {'id': task_id, 'time': now, 'state': 'lost', 'reason': 'killed'}
            for task_id in self.state.discard_all()
        )

    def write(self, lines: bytes) -> None:
        """Write lines to all event streams.

        :param lines: whole lines with their line ends.
        """
        self.last_written = self.clock()
        for stream in self.streams:
            stream.write(lines)


def encode_line(body: object) -> bytes:
    """Encode a line of an event stream.

    :param body: the object to encode as JSON.
    """
    return _ENCODER.encode_lines((body,))
