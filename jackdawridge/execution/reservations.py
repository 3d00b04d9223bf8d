"""Room of one worker, reserved by what the starts ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.messages import Room

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Start, TaskKey


class Reservations:
    """Keeps the sum of what is reserved within the worker's size.

    :param size: the empty worker.
    """

    def __init__(self, size: Room) -> None:
        """Start with nothing reserved."""
        self.size = size
        self.held: dict[TaskKey, Room] = {}
        self.free = size

    def reserve(self, start: Start) -> bool:
        """Reserve what a start asks for, if it fits.

        :param start: about to be handed to the worker.
        """
        wanted = Room(start.cores, start.memory, start.accelerators, 1)
        fits = (
            wanted.cores <= self.free.cores
            and wanted.memory <= self.free.memory
            and wanted.accelerators <= self.free.accelerators
        )
        if fits:
            self.hold(start.key(), wanted)
        return fits

    def hold(self, key: TaskKey, wanted: Room) -> None:
        """Reserve room whether it fits or not, as for an adopted task.

        :param key: of the task.
        :param wanted: what it takes.
        """
        self.held[key] = wanted
        self.free = Room(
            self.free.cores - wanted.cores,
            self.free.memory - wanted.memory,
            self.free.accelerators - wanted.accelerators,
            self.free.running + 1,
        )

    def release(self, key: TaskKey) -> None:
        """Give back what a task had reserved.

        :param key: of the task.
        """
        held = self.held.pop(key, None)
        if held is None:
            return
        self.free = Room(
            self.free.cores + held.cores,
            self.free.memory + held.memory,
            self.free.accelerators + held.accelerators,
            self.free.running - 1,
        )
