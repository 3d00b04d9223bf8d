"""Admission of starts and bookkeeping of tasks at a side, without any I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.fences import Fences
from jackdawridge.execution.messages import (
    Ending,
    Refusal,
    Resolution,
    StartBatch,
    TaskKey,
)
from jackdawridge.execution.room import NO_ROOM
from jackdawridge.execution.task_lifecycle import TaskRecord
from jackdawridge.execution.wait_queue import Waiter
from jackdawridge.submission.tickets import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.gate import StartGate
    from jackdawridge.execution.messages import Room, Start
    from jackdawridge.execution.room import RoomLedger
    from jackdawridge.execution.sessions import EntryRecord, Sessions


class AdoptedTask(NamedTuple):
    """A running task that an earlier incarnation of the side started."""

    key: TaskKey
    room: Room


class SideState:
    """Decides which starts are admitted and keeps the state of the tasks.

    :param sessions: records of the entries, with the send windows.
    :param room: capacity of the worker and its reservations.
    :param gate: decides whether the configuration lets anything start.
    """

    def __init__(
        self,
        sessions: Sessions,
        room: RoomLedger,
        gate: StartGate,
    ) -> None:
        """Initialise the state without tasks."""
        self.sessions = sessions
        self.room = room
        self.gate = gate
        #: Whether the side refuses new work because it is leaving.
        self.draining = False
        #: Reason why the target takes no new work, or empty.
        self.closed_reason = ''
        self.tasks: dict[TaskKey, TaskRecord] = {}
        #: Local time at which the stop of a task was requested, in seconds, by
        #: key.
        self.stopping: dict[TaskKey, float] = {}
        self.fences = Fences(2 * sessions.windows.duration)

    def admit(
        self, incarnation: str, batch: StartBatch, now: float
    ) -> tuple[Start, ...]:
        """Admit, queue or refuse each start of a batch.

        :param incarnation: incarnation of the entry that sent the batch.
        :param batch: batch to decide on.
        :param now: local time in seconds.
        :returns: the starts to hand to the worker now.
        """
        record = self.sessions.entry(incarnation, now)
        record.processed = batch.number
        self.sessions.renew(incarnation, batch.window, now)
        common_reason = self.batch_refusal(batch.window, now)
        admitted = []
        for start in batch.starts:
            reason = common_reason or self.start_refusal(record, start, now)
            waiter = Waiter(incarnation, batch.window, start, now)
            if reason == NO_ROOM and self.room.enqueue(waiter):
                continue
            if reason:
                self.refuse_start(record, start, reason, now)
            else:
                self.add_task(record, start.key())
                admitted.append(start)
        return tuple(admitted)

    def admit_waiting(self, now: float) -> tuple[Start, ...]:
        """Admit queued starts as far as room is free.

        Each start is checked again, because the send window may have closed or
        the gate may have shut while it waited.

        :param now: local time in seconds.
        :returns: the starts to hand to the worker now.
        """
        admitted = []
        queue = self.room.wait_queue
        while queue.is_overdue(now):
            waiter = queue.pop_first()
            record = self.sessions.entry(waiter.entry, now)
            self.refuse_start(record, waiter.start, NO_ROOM, now)
        fitting = self.room.dequeue_fitting(now)
        while fitting is not None:
            record = self.sessions.entry(fitting.entry, now)
            start = fitting.start
            reason = self.batch_refusal(fitting.window, now)
            if start.key() in self.fences:
                reason = 'start was already handled'
            if reason:
                self.room.release(start.key())
                self.refuse_start(record, start, reason, now)
            else:
                self.add_task(record, start.key())
                admitted.append(start)
            fitting = self.room.dequeue_fitting(now)
        return tuple(admitted)

    def refuse_start(
        self, record: EntryRecord, start: Start, reason: str, now: float
    ) -> None:
        """Refuse a start; for lack of room, also queue its entry for an offer.

        :param record: record of the entry that sent the start.
        :param start: start to refuse.
        :param reason: reason to send to the entry.
        :param now: local time in seconds.
        """
        if reason == NO_ROOM:
            self.room.add_waiting_entry(record.incarnation, start, now)
        self.refuse(record, start.key(), reason, now)

    def batch_refusal(self, window: int, now: float) -> str:
        """Return why a whole batch is refused, or an empty string.

        :param window: send window that the batch carries.
        :param now: local time in seconds.
        """
        if self.draining or self.closed_reason:
            return self.closed_reason or 'side is leaving'
        if not self.sessions.windows.accepts(window, now):
            return 'send window is closed'
        return self.gate.refusal(now)

    def start_refusal(
        self, record: EntryRecord, start: Start, now: float
    ) -> str:
        """Return why a single start is refused, or an empty string.

        Room is reserved for the start if it is not refused.

        :param record: record of the entry that sent the start.
        :param start: start to check.
        :param now: local time in seconds.
        """
        key = start.key()
        if incarnation_of(start.ticket) != record.incarnation:
            return 'ticket was issued by another entry'
        if (
            key in self.fences
            or key in self.tasks
            or key in self.room.wait_queue.keys
        ):
            return 'start was already handled'
        version_reason = self.gate.version_refusal(
            start.agreement, start.agreement_version
        )
        if version_reason:
            return version_reason
        if self.room.reserve(record.incarnation, start, now):
            return ''
        return NO_ROOM

    def add_task(self, record: EntryRecord, key: TaskKey) -> None:
        """Record a task that is about to be handed to the worker.

        :param record: record of the entry that sent the start.
        :param key: key of the task.
        """
        self.tasks[key] = TaskRecord(key, record.incarnation)
        record.keys.add(key)

    def refuse(
        self, record: EntryRecord, key: TaskKey, reason: str, now: float
    ) -> None:
        """Refuse a key permanently and queue the refusal for its entry.

        A key whose task exists is left alone.

        :param record: record of the entry that sent the start.
        :param key: key of the task.
        :param reason: reason to send to the entry.
        :param now: local time in seconds.
        """
        if key not in self.tasks:
            self.fences.add(key, now)
            record.outbox.add_refusal(Refusal(key, reason))

    def confirm(self, key: TaskKey) -> bool:
        """Record that the worker runs a task.

        :param key: key of the task.
        :returns: whether the worker must stop the task, because a stop was
            requested before the confirmation.
        """
        task = self.tasks.get(key)
        return task is not None and task.lifecycle.confirm()

    def refuse_unstarted(self, key: TaskKey, reason: str, now: float) -> None:
        """Refuse a task that the worker has certainly not received.

        :param key: key of the task.
        :param reason: reason to send to the entry.
        :param now: local time in seconds.
        """
        record = self.remove(key, now)
        if record is not None:
            self.refuse(record, key, reason, now)

    def end(self, ending: Ending, event: int, now: float) -> None:
        """Remove a task that has ended and queue its ending for the entry.

        The reason of a requested stop replaces the worker's.

        :param ending: ending that the worker reported.
        :param event: number of the worker's event, 0 if there is none.
        :param now: local time in seconds.
        """
        task = self.tasks.get(ending.key)
        if task is not None and task.stop_reason:
            ending = ending._replace(reason=task.stop_reason)
        record = self.remove(ending.key, now)
        if record is None:
            incarnation = incarnation_of(ending.key.ticket)
            record = self.sessions.entry(incarnation, now)
        record.outbox.add_ending(ending, event)

    def remove(self, key: TaskKey, now: float) -> EntryRecord | None:
        """Remove a task, release its room and fence its key.

        :param key: key of the task.
        :param now: local time in seconds.
        :returns: the record of its entry, None if the task is unknown.
        """
        task = self.tasks.pop(key, None)
        if task is None:
            return None
        self.stopping.pop(key, None)
        self.room.release(key)
        self.fences.add(key, now)
        record = self.sessions.entry(task.owner, now)
        record.keys.discard(key)
        return record

    def adopt(self, adopted: Iterable[AdoptedTask], now: float) -> None:
        """Record tasks that an earlier incarnation of the side started.

        :param adopted: tasks that the worker runs.
        :param now: local time in seconds.
        """
        for key, room in adopted:
            record = self.sessions.entry(incarnation_of(key.ticket), now)
            self.add_task(record, key)
            self.tasks[key].lifecycle.confirm()
            self.room.reserve_unchecked(key, room)

    def resolve(
        self,
        incarnation: str,
        keys: tuple[TaskKey, ...],
        *,
        knows_all: bool,
        now: float,
    ) -> Resolution:
        """Report which starts run and which will never run.

        :param incarnation: incarnation of the entry that asks.
        :param keys: starts whose outcome the entry does not know.
        :param knows_all: whether the starts were sent to this incarnation of
            the side; if not, an unknown key is in neither list, as an earlier
            incarnation may have started it.
        :param now: local time in seconds.
        """
        record = self.sessions.entry(incarnation, now)
        reported = record.outbox.keys()
        running = tuple(key for key in keys if key in self.tasks)
        unknown = [
            key for key in keys if key not in self.tasks and key not in reported
        ]
        for key in unknown:
            self.fences.add(key, now)
        if incarnation in self.sessions.forgotten_incarnations:
            # The task of an unknown key may have run and been forgotten.
            knows_all = False
        return Resolution(running, tuple(unknown) if knows_all else ())

    def cancel(
        self,
        incarnation: str,
        tickets: tuple[str, ...],
        reason: str,
        now: float,
    ) -> list[TaskKey]:
        """Refuse queued starts of some jobs and request a stop of their tasks.

        :param incarnation: incarnation of the entry.
        :param tickets: tickets of the jobs.
        :param reason: reason that the endings and refusals get.
        :param now: local time in seconds.
        :returns: the tasks that the worker must stop now.
        """
        record = self.sessions.entries.get(incarnation)
        if record is None:
            return []
        ticket_set = set(tickets)
        for waiter in self.room.wait_queue.remove(incarnation, ticket_set):
            self.refuse(record, waiter.start.key(), reason, now)
        keys = [key for key in record.keys if key.ticket in ticket_set]
        return self.stop(keys, reason, now)

    def stop(
        self, keys: Iterable[TaskKey], reason: str, now: float
    ) -> list[TaskKey]:
        """Request the stop of tasks.

        :param keys: keys of tasks that have not ended.
        :param reason: reason that the endings get, unless a stop was requested
            before.
        :param now: local time in seconds.
        :returns: the tasks that the worker must stop now; a task that is still
            starting is stopped once it is confirmed.
        """
        to_stop = []
        for key in keys:
            task = self.tasks[key]
            task.stop_reason = task.stop_reason or reason
            self.stopping.setdefault(key, now)
            if task.lifecycle.stop():
                to_stop.append(key)
        return to_stop

    def next_lapse(self) -> float:
        """Return the earliest end of the lease of an entry with tasks.

        Local time in seconds; infinity if no task has to be stopped then.
        """
        return min(
            (
                record.lease_until
                for record in self.sessions.entries.values()
                if not self.stopping.keys() >= record.keys
            ),
            default=float('inf'),
        )

    def sweep(self, now: float) -> list[TaskKey]:
        """Request the stop of orphans; forget lapsed entries and old fences.

        :param now: local time in seconds.
        :returns: the tasks that the worker must stop now.
        """
        to_stop: list[TaskKey] = []
        for record in self.sessions.lapsed(now):
            to_stop.extend(self.stop(record.keys, 'lease lapsed', now))
        self.sessions.forget_lapsed(now)
        self.fences.expire(now)
        return to_stop
