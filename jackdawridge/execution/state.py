"""What a side decides about starts, without any input or output."""

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
    """A running task that an earlier run of the side has started."""

    key: TaskKey
    room: Room


class SideState:
    """Decides which starts are taken and keeps what becomes of them.

    :param sessions: with the entries, and the send windows.
    :param room: of the worker.
    :param gate: says whether anything may start.
    """

    def __init__(
        self,
        sessions: Sessions,
        room: RoomLedger,
        gate: StartGate,
    ) -> None:
        """Start without tasks."""
        self.sessions = sessions
        self.room = room
        self.gate = gate
        #: Whether the side is leaving and takes no new work.
        self.draining = False
        #: Why the target takes no new work, or empty.
        self.closed = ''
        self.tasks: dict[TaskKey, TaskRecord] = {}
        self.fences = Fences(2 * sessions.windows.duration)

    def admit(
        self, incarnation: str, batch: StartBatch, now: float
    ) -> tuple[Start, ...]:
        """Return the starts to hand to the worker; the others are refused.

        :param incarnation: of the entry that sent the batch.
        :param batch: of starts.
        :param now: local time in seconds.
        """
        record = self.sessions.entry(incarnation, now)
        record.processed = batch.number
        common = self.batch_refusal(batch.window, now)
        admitted = []
        for start in batch.starts:
            reason = common or self.refusal(record, start, now)
            waiter = Waiter(incarnation, batch.window, start, now)
            if reason == NO_ROOM and self.room.join_line(waiter):
                continue
            if reason:
                self.refuse_start(record, start, reason, now)
            else:
                self.add_task(record, start.key())
                admitted.append(start)
        return tuple(admitted)

    def admit_waiting(self, now: float) -> tuple[Start, ...]:
        """Return the starts that waited and are handed to the worker now.

        Everything is checked anew: the wait must not let a start pass that
        would be refused if it came now.

        :param now: local time in seconds.
        """
        admitted = []
        line = self.room.wait_queue
        while line.is_overdue(now):
            waiter = line.leave()
            record = self.sessions.entry(waiter.entry, now)
            self.refuse_start(record, waiter.start, NO_ROOM, now)
        waiting = self.room.next_in_line(now)
        while waiting is not None:
            record = self.sessions.entry(waiting.entry, now)
            start = waiting.start
            reason = self.batch_refusal(waiting.window, now)
            if start.key() in self.fences:
                reason = 'start was already handled'
            if reason:
                self.room.release(start.key())
                self.refuse_start(record, start, reason, now)
            else:
                self.add_task(record, start.key())
                admitted.append(start)
            waiting = self.room.next_in_line(now)
        return tuple(admitted)

    def refuse_start(
        self, record: EntryRecord, start: Start, reason: str, now: float
    ) -> None:
        """Refuse a start, and remember the entry if it was for lack of room.

        :param record: of the entry that sent it.
        :param start: the start.
        :param reason: for the entry.
        :param now: local time in seconds.
        """
        if reason == NO_ROOM:
            self.room.register(record.incarnation, start, now)
        self.refuse(record, start.key(), reason, now)

    def batch_refusal(self, window: int, now: float) -> str:
        """Return why no start of a batch may pass, or an empty string.

        :param window: that the batch came in.
        :param now: local time in seconds.
        """
        if self.draining or self.closed:
            return self.closed or 'side is leaving'
        if not self.sessions.windows.accepts(window, now):
            return 'send window is closed'
        return self.gate.refusal(now)

    def refusal(self, record: EntryRecord, start: Start, now: float) -> str:
        """Return why one start may not pass, or an empty string.

        :param record: of the entry that sent it.
        :param start: the start.
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
        retired = self.gate.version_refusal(
            start.agreement, start.agreement_version
        )
        if retired:
            return retired
        if self.room.reserve(record.incarnation, start, now):
            return ''
        return NO_ROOM

    def add_task(self, record: EntryRecord, key: TaskKey) -> None:
        """Record a task that is about to be handed to the worker.

        :param record: of the entry that asked for it.
        :param key: of the task.
        """
        self.tasks[key] = TaskRecord(key, record.incarnation)
        record.keys.add(key)

    def refuse(
        self, record: EntryRecord, key: TaskKey, reason: str, now: float
    ) -> None:
        """Refuse a key for good and tell its entry.

        :param record: of the entry.
        :param key: of the task.
        :param reason: for the entry.
        :param now: local time in seconds.
        """
        if key not in self.tasks:
            self.fences.add(key, now)
            record.outbox.add_refusal(Refusal(key, reason))

    def confirm(self, key: TaskKey) -> bool:
        """Note that the worker runs a task; return whether to stop it.

        :param key: of the task.
        """
        task = self.tasks.get(key)
        return task is not None and task.lifecycle.confirm()

    def refuse_unstarted(self, key: TaskKey, reason: str, now: float) -> None:
        """Refuse a task that the worker has certainly not been given.

        :param key: of the task.
        :param reason: for the entry.
        :param now: local time in seconds.
        """
        record = self.remove(key, now)
        if record is not None:
            self.refuse(record, key, reason, now)

    def end(self, ending: Ending, event: int, now: float) -> None:
        """Pass on how a task has ended.

        :param ending: from the worker.
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
        """Forget a task and return the record of its entry.

        :param key: of the task.
        :param now: local time in seconds.
        """
        task = self.tasks.pop(key, None)
        if task is None:
            return None
        self.room.release(key)
        self.fences.add(key, now)
        record = self.sessions.entry(task.owner, now)
        record.keys.discard(key)
        return record

    def adopt(self, adopted: Iterable[AdoptedTask], now: float) -> None:
        """Take over what an earlier run of the side has started.

        :param adopted: the tasks that the worker runs.
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
        """Answer what became of starts.

        :param incarnation: of the entry that asks.
        :param keys: of starts that the entry has no answer for.
        :param knows_all: whether the starts were sent to this run of the
            side; if not, a key that is not known is in neither list.
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
        if incarnation in self.sessions.forgotten:
            # A key that is not known may have been started and forgotten.
            knows_all = False
        return Resolution(running, tuple(unknown) if knows_all else ())

    def cancel(
        self,
        incarnation: str,
        tickets: tuple[str, ...],
        reason: str,
        now: float,
    ) -> list[TaskKey]:
        """Return the tasks of some jobs that the worker has to stop.

        :param incarnation: of the entry.
        :param tickets: of the jobs.
        :param reason: kept for the endings.
        :param now: local time in seconds.
        """
        record = self.sessions.entries.get(incarnation)
        if record is None:
            return []
        wanted = set(tickets)
        for waiter in self.room.wait_queue.remove(incarnation, wanted):
            self.refuse(record, waiter.start.key(), reason, now)
        keys = [key for key in record.keys if key.ticket in wanted]
        return self.stop(keys, reason)

    def stop(self, keys: Iterable[TaskKey], reason: str) -> list[TaskKey]:
        """Ask for the end of tasks; return those the worker must stop now.

        :param keys: of the tasks.
        :param reason: kept for the endings.
        """
        due = []
        for key in keys:
            task = self.tasks[key]
            task.stop_reason = task.stop_reason or reason
            if task.lifecycle.stop():
                due.append(key)
        return due

    def sweep(self, now: float) -> list[TaskKey]:
        """Return the orphans that the worker must stop; forget the old.

        :param now: local time in seconds.
        """
        due: list[TaskKey] = []
        for record in self.sessions.lapsed(now):
            due.extend(self.stop(record.keys, 'lease lapsed'))
        self.sessions.forget_lapsed(now)
        self.fences.expire(now)
        return due
