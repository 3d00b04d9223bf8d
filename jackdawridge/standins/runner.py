"""Runs the tasks of a worker in real time and records them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.task import LoopingCall

from jackdawridge.standins.messages import Order, Record, TaskEvent, Usage
from jackdawridge.standins.worker_state import WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.standins.sharing import Size

_ENCODER = msgspec.json.Encoder()

#: Interval at which lapsed leases are looked for, in seconds.
LEASE_SWEEP = 0.1
#: Time by which reports of usage lag unless a fault says so, in seconds.
USAGE_LAG = 0.5
#: Longest silence on an event stream, in seconds.
KEEP_ALIVE = 1


class Runner:
    """Runs the state of a worker on the reactor.

    :param reactor: Twisted's reactor.
    :param size: what the worker has.
    :param record: to which starts and ends are added.
    :param clock: time of the record.
    """

    def __init__(
        self,
        reactor: Any,
        size: Size,
        record: Record,
        clock: Callable[[], float],
    ) -> None:
        """Prepare without timers."""
        self.reactor = reactor
        self.clock = clock
        self.state = WorkerState(size, clock())
        self.record = record
        #: Requests to which events are written.
        self.streams: set[Any] = set()
        self.usage: list[Usage] = []
        self.last_written = clock()
        self.timer: Any = None
        self.sweep = LoopingCall(self.check_leases)
        self.reporting = LoopingCall(self.report_usage)
        self.sweep.clock = reactor
        self.reporting.clock = reactor

    def start(self) -> None:
        """Begin to look for lapsed leases and to report usage."""
        self.sweep.start(LEASE_SWEEP, now=False)
        self.reporting.start(USAGE_LAG, now=False)

    def stop(self) -> None:
        """End all timers and lose all tasks."""
        self.lose_tasks()
        self.sweep.stop()
        self.reporting.stop()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def choose_usage_lag(self, lag: float) -> None:
        """Report usage later or sooner.

        :param lag: in seconds.
        """
        self.reporting.stop()
        self.reporting.start(lag, now=False)

    def start_task(self, order: Order) -> None:
        """Record and start one task.

        :param order: the task.
        """
        now = self.clock()
        self.record['starts'].append({'id': order['id'], 'time': now})
        self.publish(self.state.start(order, now))

    def publish(self, events: list[TaskEvent]) -> None:
        """Record ends, tell the streams and set the timer anew.

        :param events: new ones.
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
        self.arm_timer()

    def arm_timer(self) -> None:
        """Wake up when the next task ends."""
        due = self.state.next_end()
        if due is None:
            return
        delay = max(0, due - self.clock())
        if self.timer is not None and self.timer.active():
            self.timer.reset(delay)
        else:
            self.timer = self.reactor.callLater(delay, self.wake)

    def wake(self) -> None:
        """End what is due."""
        self.publish(self.state.advance(self.clock()))

    def check_leases(self) -> None:
        """Stop the tasks whose lease has lapsed; keep streams alive."""
        now = self.clock()
        self.publish(self.state.stop_lapsed(now))
        if now - self.last_written > KEEP_ALIVE - LEASE_SWEEP:
            self.write(b'\n')

    def report_usage(self) -> None:
        """Tell the streams what tasks used one interval ago."""
        self.write(encode_line({'usage': self.usage}))
        self.usage = self.state.usage()

    def lose_tasks(self) -> None:
        """Lose all tasks, as by a crash; the record stays."""
        now = self.clock()
        self.publish(self.state.advance(now))
        self.record['ends'].extend(
            {'id': lost, 'time': now, 'state': 'lost', 'reason': 'killed'}
            for lost in self.state.lose_all()
        )

    def write(self, lines: bytes) -> None:
        """Send lines to all event streams.

        :param lines: whole ones.
        """
        self.last_written = self.clock()
        for stream in self.streams:
            stream.write(lines)


def encode_line(body: object) -> bytes:
    """Return one line of an event stream.

    :param body: becomes JSON.
    """
    return _ENCODER.encode_lines((body,))
