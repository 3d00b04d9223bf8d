"""The real room of one worker, and the entries that wait for some of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Offer, Room
from jackdawridge.execution.wait_queue import EMPTY, Waiter, WaitQueue

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Start, TaskKey

#: Time for which offered room stays reserved, in seconds.
HOLD_TIME = 0.1

#: Wait after which free room is kept together for an entry, in seconds.
#: A task that needs a part of the worker waits for that part of the time.
PATIENCE = 1.0

#: Time after which an entry that was refused is forgotten, in seconds.
WAIT_LIMIT = 10.0

#: Least part of the reserved memory that a task counts with.
LEAST_MEMORY_PART = 0.5

#: Reason of a refusal for lack of room.
NO_ROOM = 'no room'


class Waiting(NamedTuple):
    """What an entry was refused."""

    wanted: Room
    since: float


class Held(NamedTuple):
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
        self.waiting: dict[str, Waiting] = {}
        self.held: dict[str, Held] = {}
        self.wait_queue = WaitQueue()

    def resize(self, size: Room) -> None:
        """Change the size of the worker, whatever is reserved.

        :param size: the empty worker.
        """
        self.free = plus(self.free, minus(size, self.size))
        self.size = size

    def reserve(self, entry: str, start: Start, now: float) -> bool:
        """Reserve what a start asks for, if it fits.

        A start that does not fit may wait in the line. If that is refused
        too, the entry should be registered by `register`.

        :param entry: incarnation of the entry that asks.
        :param start: about to be handed to the worker.
        :param now: local time in seconds.
        """
        wanted = size_of(start)
        if not fits(wanted, self.room_for(entry, now)):
            return False
        self.take(entry, start.key(), wanted)
        return True

    def take(self, entry: str, key: TaskKey, wanted: Room) -> None:
        """Reserve room, of which some may be held for the entry.

        :param entry: incarnation of the entry that asks.
        :param key: of the task.
        :param wanted: what it takes.
        """
        self.hold(key, wanted)
        held = self.held.pop(entry, None)
        if held is not None:
            rest = minus(held.room, wanted)
            if rest.cores > 0 and rest.memory > 0:
                self.held[entry] = Held(rest, held.until)

    def register(self, entry: str, start: Start, now: float) -> None:
        """Remember that an entry was refused.

        :param entry: incarnation of the entry.
        :param start: that was refused.
        :param now: local time in seconds.
        """
        older = self.waiting.get(entry)
        since = older.since if older else now
        self.waiting[entry] = Waiting(size_of(start), since)

    def join_line(self, waiter: Waiter) -> bool:
        """Let a start wait for room that is about to become free.

        :param waiter: the start.
        """
        if not fits(size_of(waiter.start), self.size):
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
        wanted = size_of(waiter.start)
        if not fits(wanted, self.free_for(waiter.entry, now)):
            return None
        self.take(waiter.entry, waiter.start.key(), wanted)
        return self.wait_queue.leave()

    def hold(self, key: TaskKey, wanted: Room) -> None:
        """Reserve room whether it fits or not, as for an adopted task.

        :param key: of the task.
        :param wanted: what it takes.
        """
        self.release(key)
        self.reserved[key] = wanted
        self.free = minus(self.free, wanted)

    def release(self, key: TaskKey) -> None:
        """Give back what a task has reserved.

        :param key: of the task.
        """
        reserved = self.reserved.pop(key, None)
        if reserved is not None:
            used = self.measured.pop(key, reserved)
            self.free = plus(self.free, used)

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
        least = reserved.memory * LEAST_MEMORY_PART
        used = Room(cores, max(memory, least), reserved.accelerators, 1)
        self.free = plus(self.free, self.measured.get(key, reserved))
        self.free = minus(self.free, used)
        self.measured[key] = used

    def room_for(self, entry: str, now: float) -> Room:
        """Return what an entry may start; negative if starts wait in line.

        :param entry: incarnation of the entry.
        :param now: local time in seconds.
        """
        free = self.free_for(entry, now)
        if self.wait_queue.waiters:
            return minus(free, self.wait_queue.wanted)
        return free

    def free_for(self, entry: str, now: float) -> Room:
        """Return what is neither reserved nor held for another entry.

        :param entry: incarnation of the entry.
        :param now: local time in seconds.
        """
        self.expire(now)
        room = self.free
        for holder, held in self.held.items():
            if holder != entry:
                room = minus(room, held.room)
        running = len(self.reserved)
        if self.starving(now) and entry not in self.held:
            return EMPTY._replace(running=running)
        return Room(room.cores, room.memory, room.accelerators, running)

    def starving(self, now: float) -> bool:
        """Return whether an entry has waited so long that room is kept.

        :param now: local time in seconds.
        """
        first = next(iter(self.waiting.values()), None)
        if first is None:
            return False
        part = max(
            first.wanted.cores / self.size.cores,
            first.wanted.memory / self.size.memory,
        )
        return now - first.since > PATIENCE * part

    def offers(self, now: float) -> tuple[EntryOffer, ...]:
        """Hold free room for those that wait, and return the offers to send.

        :param now: local time in seconds.
        """
        self.expire(now)
        made: list[EntryOffer] = []
        free = self.free
        for held in self.held.values():
            free = minus(free, held.room)
        for entry, waiting in tuple(self.waiting.items()):
            if not fits(waiting.wanted, free):
                break
            free = minus(free, waiting.wanted)
            self.waiting.pop(entry)
            self.held[entry] = Held(waiting.wanted, now + self.hold_time)
            made.append(EntryOffer(entry, self.offer(waiting.wanted)))
        return tuple(made)

    def offer(self, room: Room) -> Offer:
        """Return the message about room that is held.

        :param room: what is held.
        """
        return Offer(room.cores, room.memory, room.accelerators, self.hold_time)

    def expire(self, now: float) -> None:
        """Drop what was held too long, and entries that waited too long.

        :param now: local time in seconds.
        """
        if self.held:
            self.held = {
                entry: held
                for entry, held in self.held.items()
                if held.until > now
            }
        if self.waiting:
            self.waiting = {
                entry: waiting
                for entry, waiting in self.waiting.items()
                if now - waiting.since < WAIT_LIMIT
            }

    def entry_left(self, entry: str) -> None:
        """Forget what an entry waits for.

        :param entry: incarnation of the entry.
        """
        self.waiting.pop(entry, None)
        self.held.pop(entry, None)


def fits(wanted: Room, free: Room) -> bool:
    """Return whether one room is within another.

    :param wanted: what is asked for.
    :param free: what there is.
    """
    return (
        wanted.cores <= free.cores
        and wanted.memory <= free.memory
        and wanted.accelerators <= free.accelerators
    )


def size_of(start: Start) -> Room:
    """Return what a start asks for.

    :param start: of a task.
    """
    return Room(start.cores, start.memory, start.accelerators, 1)


def plus(room: Room, other: Room) -> Room:
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


def minus(room: Room, other: Room) -> Room:
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
