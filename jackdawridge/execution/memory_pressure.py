"""Updates reservations by reported usage and handles memory pressure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.memory_guard import Action, MemoryGuard, MemoryUse
from jackdawridge.execution.starter import format_task_id, parse_task_id
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.execution.memory_guard import TaskAction
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.execution.room import RoomLedger
    from jackdawridge.execution.worker import TaskUsage, Worker

logger = get_logger('execution')

#: Share of its cores that a throttled task may use.
THROTTLED_SHARE = 0.25


class MemoryPressureHandler:
    """Handles usage reports and relieves memory pressure at the worker.

    :param worker: worker beside the side.
    :param room: reservations of the tasks.
    """

    def __init__(self, worker: Worker, room: RoomLedger) -> None:
        """Initialise the handler without memory pressure."""
        self.worker = worker
        self.room = room
        self.guard = MemoryGuard(room.size.memory)

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Update the reservations and start the actions that are due.

        :param usage: usage of running tasks.
        """
        tasks: dict[TaskKey, MemoryUse] = {}
        for task_usage in usage:
            key = parse_task_id(task_usage.id)
            reserved = self.room.reserved.get(key) if key else None
            if key is None or reserved is None:
                continue
            tasks[key] = MemoryUse(reserved.memory, task_usage.memory)
            self.room.measure(key, task_usage.cores, task_usage.memory)
        for action in self.guard.decide(tasks):
            logger.warning(
                f'memory: {action.action.value}',
                step='relieve',
                task=format_task_id(action.key),
            )
            ensureDeferred(self.apply(action))

    async def apply(self, action: TaskAction) -> None:
        """Take an action; the next usage report shows its effect.

        :param action: action to take on a task.
        """
        try:
            await self.call(action.action, (format_task_id(action.key),))
        except JackdawridgeError as error:
            logger.warning(error.message, step='relieve', peer=error.peer)

    async def call(self, action: Action, ids: tuple[str, ...]) -> None:
        """Call the worker to carry out an action.

        :param action: action to take.
        :param ids: ids of the tasks.
        """
        if action is Action.throttle:
            await self.worker.throttle(ids, THROTTLED_SHARE)
        elif action is Action.checkpoint:
            await self.worker.checkpoint(ids)
        elif action is Action.resume:
            await self.worker.throttle(ids, 1)
        else:
            await self.worker.stop(ids)
