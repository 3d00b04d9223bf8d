"""Sessions of a side with the entries it works for."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from jackdawridge.execution.outbox import Outbox

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.execution.send_windows import SendWindows


class EntryRecord:
    """State of a side's session with one incarnation of an entry.

    :param incarnation: incarnation of the entry.
    :param lease_until: local time after which its tasks are orphans, in
        seconds.
    :param outbox: outcomes to send to it.
    """

    def __init__(
        self, incarnation: str, lease_until: float, outbox: Outbox
    ) -> None:
        """Initialise the record of an entry without a link."""
        self.incarnation = incarnation
        self.lease_until = lease_until
        #: Whether the entry is linked.
        self.linked = False
        self.outbox = outbox
        #: Number of the last start batch that was handled on the current link.
        self.processed = 0
        #: Keys of its tasks that have not ended.
        self.keys: set[TaskKey] = set()


class Sessions:
    """Records of the entries and the leases of their tasks.

    :param windows: send windows from which starts are accepted.
    :param task_lease: time without a reply from an entry after which its tasks
        are stopped, in seconds.
    """

    def __init__(self, windows: SendWindows, task_lease: float) -> None:
        """Initialise without entries."""
        self.windows = windows
        self.task_lease = task_lease
        #: Records by incarnation of the entry.
        self.entries: dict[str, EntryRecord] = {}
        #: Incarnations whose outcomes were discarded. An entry that was only
        #: paused may still ask about them.
        self.forgotten_incarnations: set[str] = set()
        #: Numbers of the worker's events behind the discarded outcomes.
        self.unclaimed_events: list[int] = []
        #: Source of outcome batch numbers, which are unique within one
        #: incarnation of the side.
        self.numbers = count(1)

    def entry(self, incarnation: str, now: float) -> EntryRecord:
        """Return the record of an entry; create it if there is none.

        :param incarnation: incarnation of the entry.
        :param now: local time in seconds.
        """
        record = self.entries.get(incarnation)
        if record is None:
            outbox = Outbox(self.numbers)
            record = EntryRecord(incarnation, now + self.task_lease, outbox)
            self.entries[incarnation] = record
        return record

    def open(self, incarnation: str, now: float) -> None:
        """Open a session on a new link, whose start batches count from 1.

        :param incarnation: incarnation of the entry.
        :param now: local time in seconds.
        """
        record = self.entry(incarnation, now)
        record.linked = True
        record.processed = 0
        record.lease_until = now + self.task_lease

    def close(self, incarnation: str) -> None:
        """Record that the link to an entry was closed.

        :param incarnation: incarnation of the entry.
        """
        record = self.entries.get(incarnation)
        if record is not None:
            record.linked = False

    def renew(self, incarnation: str, window: int, now: float) -> None:
        """Renew the leases of an entry's tasks.

        The lease is counted from the sending of the heartbeat, so that a
        delayed message renews nothing.

        :param incarnation: incarnation of the entry.
        :param window: send window of a heartbeat that the entry has received.
        :param now: local time in seconds.
        """
        opened = self.windows.opened(window)
        if opened is None:
            return
        record = self.entry(incarnation, now)
        renewed_until = opened + self.task_lease
        record.lease_until = max(record.lease_until, renewed_until)

    def lapsed(self, now: float) -> list[EntryRecord]:
        """Return the records of the entries whose leases have lapsed.

        :param now: local time in seconds.
        """
        return [
            record
            for record in self.entries.values()
            if record.lease_until < now
        ]

    def forget_lapsed(self, now: float) -> None:
        """Remove lapsed entries that have neither a link nor a task.

        :param now: local time in seconds.
        """
        for record in self.lapsed(now):
            if not record.keys and not record.linked:
                self.entries.pop(record.incarnation)
                self.forgotten_incarnations.add(record.incarnation)
                self.unclaimed_events.extend(record.outbox.all_events())

    def pop_unclaimed_events(self) -> tuple[int, ...]:
        """Return and clear the events behind the discarded outcomes."""
        events = tuple(self.unclaimed_events)
        self.unclaimed_events.clear()
        return events
