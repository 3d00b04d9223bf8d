"""What a side keeps of each entry that it works for."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from jackdawridge.execution.outbox import Outbox

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.execution.windows import SendWindows


class EntryRecord:
    """What a side knows of one incarnation of an entry.

    :param incarnation: of the entry.
    :param lease_until: local time at which its tasks are orphans, in seconds.
    :param outbox: of outcomes for it.
    """

    def __init__(
        self, incarnation: str, lease_until: float, outbox: Outbox
    ) -> None:
        """Make the record of an entry that has just been seen."""
        self.incarnation = incarnation
        self.lease_until = lease_until
        #: Whether there is a link to it.
        self.linked = False
        self.outbox = outbox
        #: Number of the last start batch of the current link.
        self.processed = 0
        #: Keys of its tasks that have not ended.
        self.keys: set[TaskKey] = set()


class Sessions:
    """Records of the entries and the leases of their tasks.

    :param windows: the numbers that starts must carry.
    :param task_lease: time without an entry after which its tasks are
        stopped, in seconds.
    """

    def __init__(self, windows: SendWindows, task_lease: float) -> None:
        """Start without entries."""
        self.windows = windows
        self.task_lease = task_lease
        #: Records by the incarnation of the entry.
        self.entries: dict[str, EntryRecord] = {}
        #: Incarnations whose outcomes were forgotten. An entry that was only
        #: paused may still ask about them.
        self.forgotten: set[str] = set()
        #: Numbers of the worker's events behind those outcomes.
        self.unclaimed_events: list[int] = []
        #: Numbers of outcome batches, which never repeat in a run of a side.
        self.numbers = count(1)

    def entry(self, incarnation: str, now: float) -> EntryRecord:
        """Return the record of an entry, made if need be.

        :param incarnation: of the entry.
        :param now: local time in seconds.
        """
        record = self.entries.get(incarnation)
        if record is None:
            outbox = Outbox(self.numbers)
            record = EntryRecord(incarnation, now + self.task_lease, outbox)
            self.entries[incarnation] = record
        return record

    def open(self, incarnation: str, now: float) -> None:
        """Begin to count start batches anew on a new link.

        :param incarnation: of the entry.
        :param now: local time in seconds.
        """
        record = self.entry(incarnation, now)
        record.linked = True
        record.processed = 0
        record.lease_until = now + self.task_lease

    def close(self, incarnation: str) -> None:
        """Note that the link to an entry has ended.

        :param incarnation: of the entry.
        """
        record = self.entries.get(incarnation)
        if record is not None:
            record.linked = False

    def renew(self, incarnation: str, window: int, now: float) -> None:
        """Renew the leases of an entry's tasks.

        The lease runs from the time at which the answered heartbeat was
        sent, so that a reply that was held up renews nothing.

        :param incarnation: of the entry.
        :param window: number of the heartbeat that the entry has answered.
        :param now: local time in seconds.
        """
        opened = self.windows.opened(window)
        if opened is None:
            return
        record = self.entry(incarnation, now)
        renewed = opened + self.task_lease
        record.lease_until = max(record.lease_until, renewed)

    def lapsed(self, now: float) -> list[EntryRecord]:
        """Return the entries whose leases have lapsed.

        :param now: local time in seconds.
        """
        return [
            record
            for record in self.entries.values()
            if record.lease_until < now
        ]

    def forget_lapsed(self, now: float) -> None:
        """Forget the entries that are gone and have no task left.

        :param now: local time in seconds.
        """
        for record in self.lapsed(now):
            if not record.keys and not record.linked:
                self.entries.pop(record.incarnation)
                self.forgotten.add(record.incarnation)
                self.unclaimed_events.extend(record.outbox.all_events())

    def pop_unclaimed_events(self) -> tuple[int, ...]:
        """Return the events of forgotten entries that are new since."""
        events = tuple(self.unclaimed_events)
        self.unclaimed_events.clear()
        return events
