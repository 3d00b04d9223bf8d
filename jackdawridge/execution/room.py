"""Reservations of a worker's room, and the entries that wait for room."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Offer, Room
from jackdawridge.execution.room_forecast import ANY_TIME, RoomForecast
from jackdawridge.execution.wait_queue import (
    EMPTY_ROOM,
    MAX_WAIT_TIME,
    Waiter,
    WaitQueue,
)

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Start, TaskKey

#: Time for which room is held after it was offered, in seconds.
HOLD_TIME = 0.1

#: Time after which an entry counts as starved if its task needs the whole
#: worker, in seconds; for a smaller task, the corresponding fraction. Free
#: room is then accumulated for the entry.
STARVATION_TIME = 1.0

#: Time after which a waiting entry is forgotten, in seconds.
WAITING_ENTRY_TIMEOUT = 10.0

#: Fraction of its reserved memory that a task is charged at least.
MIN_MEMORY_FRACTION = 0.5

#: Reason of a refusal for lack of room.
NO_ROOM = 'no room'


class WaitingEntry(NamedTuple):
    """Room that an entry was refused and since when it waits."""

    requested: Room
    waiting_since: float


class HeldRoom(NamedTuple):
    """Room that is held for the starts of one entry."""

    room: Room
    until: float


class EntryOffer(NamedTuple):
    """An offer and the entry to send it to."""

    entry: str
    offer: Offer


class RoomLedger:
    """Reserves room for tasks, by estimate until their usage is measured.

    Refused entries wait in order of arrival. Free room is offered to the first
    one and held for it for a short time. If an entry starves because its task
    is large, nothing else is started until enough room is free.

    :param size: room of the worker without any task.
    :param hold_time: time for which offered room is held, in seconds.
    """

    def __init__(self, size: Room, hold_time: float = HOLD_TIME) -> None:
        """Initialise the ledger with nothing reserved."""
        self.size = size
        self.hold_time = hold_time
        self.reserved: dict[TaskKey, Room] = {}
        #: Measured usage of the tasks for which it was reported.
        self.measured: dict[TaskKey, Room] = {}
        self.free = size
        #: Refused entries by incarnation, the longest waiting first.
        self.waiting_entries: dict[str, WaitingEntry] = {}
        self.held_rooms: dict[str, HeldRoom] = {}
        self.wait_queue = WaitQueue()
        self.forecast = RoomForecast()

    def resize(self, size: Room) -> None:
        """Change the size of the worker and keep all reservations.

        :param size: room of the worker without any task.
        """
        self.free = add_room(self.free, subtract_room(size, self.size))
        self.size = size

    def reserve(self, entry: str, start: Start, now: float) -> bool:
        """Reserve the room that a start requests, if it fits.

        A start that does not fit may join the wait queue. If the queue refuses
        it too, the entry should be recorded as waiting.

        :param entry: incarnation of the entry that sent the start.
        :param start: start to reserve room for.
        :param now: local time in seconds.
        :returns: whether the room was reserved.
        """
        if not fits(requested_room(start), self.room_for(entry, now)):
            return False
        self.reserve_for_entry(entry, start, now)
        return True

    def reserve_for_entry(self, entry: str, start: Start, now: float) -> None:
        """Reserve room, first out of the room held for the entry.

        :param entry: incarnation of the entry that sent the start.
        :param start: start to reserve room for.
        :param now: local time in seconds.
        """
        key = start.key()
        requested = requested_room(start)
        self.reserve_unchecked(key, requested)
        self.forecast.add(key, start.cores, now + start.run_time)
        held_room = self.held_rooms.pop(entry, None)
        if held_room is not None:
            remainder = subtract_room(held_room.room, requested)
            if remainder.cores > 0 and remainder.memory > 0:
                self.held_rooms[entry] = HeldRoom(remainder, held_room.until)

    def add_waiting_entry(self, entry: str, start: Start, now: float) -> None:
        """Record that an entry was refused and waits for room.

        :param entry: incarnation of the entry.
        :param start: start that was refused.
        :param now: local time in seconds.
        """
        previous = self.waiting_entries.get(entry)
        waiting_since = previous.waiting_since if previous else now
        self.waiting_entries[entry] = WaitingEntry(
            requested_room(start), waiting_since
        )

    def enqueue(self, waiter: Waiter) -> bool:
        """Append a start to the wait queue.

        :param waiter: start to append.
        :returns: whether it was appended; not if it exceeds the worker, is not
            expected to get room in time, or the queue is full.
        """
        requested = requested_room(waiter.start)
        if not fits(requested, self.size):
            return False
        missing_cores = (
            requested.cores + self.wait_queue.requested.cores - self.free.cores
        )
        wait = self.forecast.wait_for(missing_cores, waiter.waiting_since)
        return wait <= MAX_WAIT_TIME and self.wait_queue.append(waiter)

    def dequeue_fitting(self, now: float) -> Waiter | None:
        """Remove the first start from the wait queue and reserve its room.

        :param now: local time in seconds.
        :returns: the start, None if the queue is empty or the start does not
            fit.
        """
        if not self.wait_queue.waiters:
            return None
        waiter = self.wait_queue.waiters[0]
        requested = requested_room(waiter.start)
        if not fits(requested, self.free_for(waiter.entry, now)):
            return None
        self.reserve_for_entry(waiter.entry, waiter.start, now)
        return self.wait_queue.pop_first()

    def reserve_unchecked(self, key: TaskKey, requested: Room) -> None:
        """Reserve room whether it fits or not, as for an adopted task.

        :param key: key of the task.
        :param requested: room to reserve.
        """
        self.release(key)
        self.forecast.add(key, requested.cores, ANY_TIME)
        self.reserved[key] = requested
        self.free = subtract_room(self.free, requested)

    def release(self, key: TaskKey) -> None:
        """Release the reservation of a task.

        :param key: key of the task.
        """
        self.forecast.remove(key)
        reserved = self.reserved.pop(key, None)
        if reserved is not None:
            used = self.measured.pop(key, reserved)
            self.free = add_room(self.free, used)

    def measure(self, key: TaskKey, cores: float, memory: float) -> None:
        """Charge a task by its measured usage instead of its reservation.

        :param key: key of the task.
        :param cores: cores that it uses.
        :param memory: memory that it uses, in MB.
        """
        reserved = self.reserved.get(key)
        if reserved is None:
            return
        # The task may still need memory that it does not use yet.
        minimum = reserved.memory * MIN_MEMORY_FRACTION
        used = Room(cores, max(memory, minimum), reserved.accelerators, 1)
        self.free = add_room(self.free, self.measured.get(key, reserved))
        self.free = subtract_room(self.free, used)
        self.measured[key] = used

    def room_for(self, entry: str, now: float) -> Room:
        """Return the room to report to an entry.

        The room requested by queued starts is subtracted, so it may be
        negative.

        :param entry: incarnation of the entry.
        :param now: local time in seconds.
        """
        free = self.free_for(entry, now)
        if self.wait_queue.waiters:
            return subtract_room(free, self.wait_queue.requested)
        return free

    def free_for(self, entry: str, now: float) -> Room:
        """Return the room that is neither reserved nor held for other entries.

        While an entry is starved, there is none for any entry without held
        room.

        :param entry: incarnation of the entry.
        :param now: local time in seconds.
        """
        self.expire(now)
        room = self.free
        for holder, held_room in self.held_rooms.items():
            if holder != entry:
                room = subtract_room(room, held_room.room)
        running = len(self.reserved)
        if self.has_starved_entry(now) and entry not in self.held_rooms:
            return EMPTY_ROOM._replace(running=running)
        return Room(room.cores, room.memory, room.accelerators, running)

    def has_starved_entry(self, now: float) -> bool:
        """Return whether the first waiting entry has waited too long.

        :param now: local time in seconds.
        """
        longest_waiting = next(iter(self.waiting_entries.values()), None)
        if longest_waiting is None:
            return False
        fraction = max(
            longest_waiting.requested.cores / self.size.cores,
            longest_waiting.requested.memory / self.size.memory,
        )
        return now - longest_waiting.waiting_since > STARVATION_TIME * fraction

    def make_offers(self, now: float) -> tuple[EntryOffer, ...]:
        """Hold free room for waiting entries, in their order.

        :param now: local time in seconds.
        :returns: the offers to send.
        """
        self.expire(now)
        entry_offers: list[EntryOffer] = []
        free = self.free
        for held_room in self.held_rooms.values():
            free = subtract_room(free, held_room.room)
        for entry, waiting in tuple(self.waiting_entries.items()):
            if not fits(waiting.requested, free):
                break
            free = subtract_room(free, waiting.requested)
            self.waiting_entries.pop(entry)
            self.held_rooms[entry] = HeldRoom(
                waiting.requested, now + self.hold_time
            )
            entry_offers.append(
                EntryOffer(entry, self.make_offer(waiting.requested))
            )
        return tuple(entry_offers)

    def make_offer(self, room: Room) -> Offer:
        """Return an offer of held room.

        :param room: room that is held.
        """
        return Offer(room.cores, room.memory, room.accelerators, self.hold_time)

    def expire(self, now: float) -> None:
        """Release held room and forget waiting entries whose time is over.

        :param now: local time in seconds.
        """
        if self.held_rooms:
            self.held_rooms = {
                entry: held_room
                for entry, held_room in self.held_rooms.items()
                if held_room.until > now
            }
        if self.waiting_entries:
            self.waiting_entries = {
                entry: waiting
                for entry, waiting in self.waiting_entries.items()
                if now - waiting.waiting_since < WAITING_ENTRY_TIMEOUT
            }

    def remove_entry(self, entry: str) -> None:
        """Forget an entry's request and release the room held for it.

        :param entry: incarnation of the entry.
        """
        self.waiting_entries.pop(entry, None)
        self.held_rooms.pop(entry, None)


def fits(requested: Room, free: Room) -> bool:
    """Return whether requested room is within free room.

    :param requested: room that is requested.
    :param free: room that is free.
    """
    return (
        requested.cores <= free.cores
        and requested.memory <= free.memory
        and requested.accelerators <= free.accelerators
    )


def requested_room(start: Start) -> Room:
    """Return the room that a start requests.

    :param start: start of a task.
    """
    return Room(start.cores, start.memory, start.accelerators, 1)


def add_room(room: Room, other: Room) -> Room:
    """Return free room after some was released.

    :param room: free room before; its number of running tasks is kept.
    :param other: room that was released.
    """
    return Room(
        room.cores + other.cores,
        room.memory + other.memory,
        room.accelerators + other.accelerators,
        room.running,
    )


def subtract_room(room: Room, other: Room) -> Room:
    """Return free room after some was reserved.

    :param room: free room before; its number of running tasks is kept.
    :param other: room that was reserved.
    """
    return Room(
        room.cores - other.cores,
        room.memory - other.memory,
        room.accelerators - other.accelerators,
        room.running,
    )
