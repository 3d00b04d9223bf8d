"""The real room of one worker, and the entries that wait for some of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Offer, Room
from jackdawridge.execution.wait_queue import EMPTY_ROOM, Waiter, WaitQueue

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Start, TaskKey

#: Time for which offered room stays reserved, in seconds.
HOLD_TIME = 0.1

#: Wait after which free room is kept together for an entry, in seconds.
#: A task that needs a part of the worker waits for that part of the time.
STARVATION_TIME = 1.0

#: Time after which an entry that was refused is forgotten, in seconds.
WAITING_ENTRY_TIMEOUT = 10.0

#: Least part of the reserved memory that a task counts with.
MIN_MEMORY_FRACTION = 0.5

#: Reason of a refusal for lack of room.
NO_ROOM = 'no room'


class WaitingEntry(NamedTuple):
    """What an entry was refused."""

    requested: Room
    waiting_since: float


class HeldRoom(NamedTuple):
    """Room that is reserved for the starts of an entry."""

    room: Room
    until: float


class EntryOffer(NamedTuple):
    """An offer and the entry that it is for."""

    entry: str
    offer: Offer


class RoomLedger:
    """Reserves room for tasks, by estimates until the use is measured.

    An entry that was refused waits in order of arrival. The next free room is
    held for it for a short time. If nothing else helps, because its task is
    large, nothing is started until enough room has come together.

    :param size: the empty worker.
    :param hold_time: time for which offered room stays reserved, in seconds.
    """

    def __init__(self, size: Room, hold_time: float = HOLD_TIME) -> None:
        """Start with nothing reserved."""
        self.size = size
        self.hold_time = hold_time
        self.reserved: dict[TaskKey, Room] = {}
        #: What tasks were measured to use, for those that were.
        self.measured: dict[TaskKey, Room] = {}
        self.free = size
        #: Entries that were refused, the longest waiting first.
        self.waiting_entries: dict[str, WaitingEntry] = {}
        self.held_rooms: dict[str, HeldRoom] = {}
        self.wait_queue = WaitQueue()

    def resize(self, size: Room) -> None:
        """Change the size of the worker, whatever is reserved.

        :param size: the empty worker.
        """
        self.free = add_room(self.free, subtract_room(size, self.size))
        self.size = size

    def reserve(self, entry: str, start: Start, now: float) -> bool:
        """Reserve what a start asks for, if it fits.

        A start that does not fit may wait in the line. If that is refused
        too, the entry should be registered by `register`.

        :param entry: incarnation of the entry that asks.
        :param start: about to be handed to the worker.
        :param now: local time in seconds.
        """
        requested = requested_room(start)
        if not fits(requested, self.room_for(entry, now)):
            return False
        self.reserve_for_entry(entry, start.key(), requested)
        return True

    def reserve_for_entry(
        self, entry: str, key: TaskKey, requested: Room
    ) -> None:
        """Reserve room, of which some may be held for the entry.

        :param entry: incarnation of the entry that asks.
        :param key: of the task.
        :param wanted: what it takes.
        """
        self.reserve_unchecked(key, requested)
        held_room = self.held_rooms.pop(entry, None)
        if held_room is not None:
            rest = subtract_room(held_room.room, requested)
            if rest.cores > 0 and rest.memory > 0:
                self.held_rooms[entry] = HeldRoom(rest, held_room.until)

    def register(self, entry: str, start: Start, now: float) -> None:
        """Remember that an entry was refused.

        :param entry: incarnation of the entry.
        :param start: that was refused.
        :param now: local time in seconds.
        """
        older = self.waiting_entries.get(entry)
        waiting_since = older.waiting_since if older else now
        self.waiting_entries[entry] = WaitingEntry(
            requested_room(start), waiting_since
        )

    def join_line(self, waiter: Waiter) -> bool:
        """Let a start wait for room that is about to become free.

        :param waiter: the start.
        """
        if not fits(requested_room(waiter.start), self.size):
            return False
        return self.wait_queue.join(waiter)

    def next_in_line(self, now: float) -> Waiter | None:
        """Take the first start out of the line if it fits now.

        Its room is reserved.

        :param now: local time in seconds.
        """
        if not self.wait_queue.waiters:
            return None
        waiter = self.wait_queue.waiters[0]
        requested = requested_room(waiter.start)
        if not fits(requested, self.free_for(waiter.entry, now)):
            return None
        self.reserve_for_entry(waiter.entry, waiter.start.key(), requested)
        return self.wait_queue.leave()

    def reserve_unchecked(self, key: TaskKey, requested: Room) -> None:
        """Reserve room whether it fits or not, as for an adopted task.

        :param key: of the task.
        :param wanted: what it takes.
        """
        self.release(key)
        self.reserved[key] = requested
        self.free = subtract_room(self.free, requested)

    def release(self, key: TaskKey) -> None:
        """Give back what a task has reserved.

        :param key: of the task.
        """
        reserved = self.reserved.pop(key, None)
        if reserved is not None:
            used = self.measured.pop(key, reserved)
            self.free = add_room(self.free, used)

    def measure(self, key: TaskKey, cores: float, memory: float) -> None:
        """Count a task by what it uses instead of by the estimate.

        :param key: of the task.
        :param cores: that it uses.
        :param memory: that it uses, in MB.
        """
        reserved = self.reserved.get(key)
        if reserved is None:
            return
        # Memory that is not used yet may still be needed before the end.
        least = reserved.memory * MIN_MEMORY_FRACTION
        used = Room(cores, max(memory, least), reserved.accelerators, 1)
        self.free = add_room(self.free, self.measured.get(key, reserved))
        self.free = subtract_room(self.free, used)
        self.measured[key] = used

    def room_for(self, entry: str, now: float) -> Room:
        """Return what an entry may start; negative if starts wait in line.

        :param entry: incarnation of the entry.
        :param now: local time in seconds.
        """
        free = self.free_for(entry, now)
        if self.wait_queue.waiters:
            return subtract_room(free, self.wait_queue.requested)
        return free

    def free_for(self, entry: str, now: float) -> Room:
        """Return what is neither reserved nor held for another entry.

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
        """Return whether an entry has waited so long that room is kept.

        :param now: local time in seconds.
        """
        first = next(iter(self.waiting_entries.values()), None)
        if first is None:
            return False
        fraction = max(
            first.requested.cores / self.size.cores,
            first.requested.memory / self.size.memory,
        )
        return now - first.waiting_since > STARVATION_TIME * fraction

    def offers(self, now: float) -> tuple[EntryOffer, ...]:
        """Hold free room for those that wait, and return the offers to send.

        :param now: local time in seconds.
        """
        self.expire(now)
        made: list[EntryOffer] = []
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
            made.append(EntryOffer(entry, self.make_offer(waiting.requested)))
        return tuple(made)

    def make_offer(self, room: Room) -> Offer:
        """Return the message about room that is held.

        :param room: what is held.
        """
        return Offer(room.cores, room.memory, room.accelerators, self.hold_time)

    def expire(self, now: float) -> None:
        """Drop what was held too long, and entries that waited too long.

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
        """Forget what an entry waits for.

        :param entry: incarnation of the entry.
        """
        self.waiting_entries.pop(entry, None)
        self.held_rooms.pop(entry, None)


def fits(requested: Room, free: Room) -> bool:
    """Return whether one room is within another.

    :param wanted: what is asked for.
    :param free: what there is.
    """
    return (
        requested.cores <= free.cores
        and requested.memory <= free.memory
        and requested.accelerators <= free.accelerators
    )


def requested_room(start: Start) -> Room:
    """Return what a start asks for.

    :param start: of a task.
    """
    return Room(start.cores, start.memory, start.accelerators, 1)


def add_room(room: Room, other: Room) -> Room:
    """Return free room after some was given back.

    :param room: that was free.
    :param other: what is given back.
    """
    return Room(
        room.cores + other.cores,
        room.memory + other.memory,
        room.accelerators + other.accelerators,
        room.running,
    )


def subtract_room(room: Room, other: Room) -> Room:
    """Return free room after some was taken.

    :param room: that was free.
    :param other: what is taken.
    """
    return Room(
        room.cores - other.cores,
        room.memory - other.memory,
        room.accelerators - other.accelerators,
        room.running,
    )
