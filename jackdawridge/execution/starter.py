"""Hands admitted starts to the worker in batches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.messages import TaskKey
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    WorkerTask,
)
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from jackdawridge.execution.messages import Start
    from jackdawridge.execution.worker import StartAnswer, TaskList, Worker
    from jackdawridge.util.clock import Clock

logger = get_logger('execution')

#: Wait between questions after a lost answer, in seconds.
LIST_INTERVAL = 0.3
#: Questions in which a start must be absent to be called lost.
MAX_LIST_CALLS = 3

_SEPARATOR = '|'


class StartListener(Protocol):
    """Receives what became of starts."""

    def started(self, keys: tuple[TaskKey, ...]) -> None:
        """Take note of tasks that the worker runs."""

    def not_started(self, key: TaskKey, reason: str) -> None:
        """Take note of a task that the worker never got or has refused."""

    def start_lost(self, key: TaskKey, reason: str) -> None:
        """Take note of a task of which nobody knows whether it started."""


def write_id(key: TaskKey) -> str:
    """Return the text by which the worker knows a task.

    :param key: of the task.
    """
    return _SEPARATOR.join((key.ticket, str(key.task), str(key.lease)))


def read_id(text: str) -> TaskKey | None:
    """Return the key in a worker's id, None if it is not one of ours.

    :param text: from the worker.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != len(TaskKey._fields):
        return None
    ticket, task, lease = parts
    if not (task.isdecimal() and lease.isdecimal()):
        return None
    return TaskKey(ticket, int(task), int(lease))


class Starter:
    """Calls the worker and finds out what became of lost calls.

    :param worker: to call.
    :param clock: the reactor.
    :param listener: told what became of the starts.
    :param lease: time for which the worker may run tasks without renewal,
        in seconds.
    :param refusal: returns why nothing may start any more, or an empty text.
    """

    def __init__(
        self,
        worker: Worker,
        clock: Clock,
        listener: StartListener,
        lease: float,
        refusal: Callable[[float], str],
    ) -> None:
        """Start with nothing to do."""
        self.worker = worker
        self.clock = clock
        self.listener = listener
        self.lease = lease
        self.refusal = refusal

    def add(self, starts: tuple[Start, ...]) -> None:
        """Hand starts to the worker.

        :param starts: that were admitted.
        """
        if starts:
            ensureDeferred(self.start_batch(starts))

    async def start_batch(self, batch: tuple[Start, ...]) -> None:
        """Start a batch and report what became of it.

        :param batch: of starts.
        """
        try:
            await self.worker.connect()
        except NotSentError as error:
            self.refuse_unreachable(batch, error)
            return
        # A batch that waited for the connection may have become forbidden.
        forbidden = self.refusal(self.clock.seconds())
        if forbidden:
            self.refuse(batch, forbidden)
            return
        tasks = tuple(self.worker_task(start) for start in batch)
        try:
            answers = await self.worker.start(tasks)
        except NotSentError as error:
            self.refuse_unreachable(batch, error)
        except AnswerLostError as error:
            logger.warning(error.message, step='start', peer=error.peer)
            ensureDeferred(
                self.resolve_unanswered({one.key() for one in batch})
            )
        else:
            self.report(batch, answers)

    def refuse_unreachable(
        self, batch: tuple[Start, ...], error: NotSentError
    ) -> None:
        """Report a batch for which there is no connection.

        :param batch: of starts.
        :param error: why.
        """
        self.refuse(batch, f'worker is unreachable: {error.message}')

    def refuse(self, batch: tuple[Start, ...], reason: str) -> None:
        """Report a batch that the worker has certainly not received.

        :param batch: of starts.
        :param reason: for the entry.
        """
        for start in batch:
            self.listener.not_started(start.key(), reason)

    def worker_task(self, start: Start) -> WorkerTask:
        """Return a start as the worker knows it.

        :param start: that was admitted.
        """
        return WorkerTask(
            write_id(start.key()),
            start.kind,
            start.payload,
            start.cores,
            start.memory,
            start.accelerators,
            self.lease,
        )

    def report(
        self, batch: tuple[Start, ...], answers: tuple[StartAnswer, ...]
    ) -> None:
        """Report the worker's answers.

        :param batch: of starts.
        :param answers: of the worker, in any order.
        """
        by_id = {answer.id: answer for answer in answers}
        running = []
        for start in batch:
            key = start.key()
            answer = by_id.get(write_id(key))
            if answer is None:
                self.listener.start_lost(key, 'worker has not answered for it')
            elif answer.started:
                running.append(key)
            else:
                self.listener.not_started(key, answer.reason)
        self.listener.started(tuple(running))

    async def resolve_unanswered(self, keys: set[TaskKey]) -> None:
        """Find out what became of starts whose answer was lost.

        The worker may still act on a call after it has listed its tasks, so
        that absence is never taken for `not run`.

        :param keys: of the starts.
        """
        for _ in range(MAX_LIST_CALLS):
            await self.pause()
            listed = await self.list()
            running = _known_keys(listed) & keys
            self.listener.started(tuple(running))
            keys -= running
            if not keys:
                return
        ids = tuple(write_id(key) for key in keys)
        for key in keys:
            self.listener.start_lost(key, 'answer of the worker was lost')
        try:
            await self.worker.stop(ids)
        except JackdawridgeError as error:
            logger.warning(error.message, step='stop', peer=error.peer)

    async def list(self) -> TaskList | None:
        """Return the worker's tasks, None if it does not answer."""
        try:
            return await self.worker.list()
        except JackdawridgeError as error:
            logger.info(error.message, step='list', peer=error.peer)
            return None

    def pause(self) -> Deferred[None]:
        """Return a `Deferred` that fires after the interval of questions."""
        return pause(self.clock, LIST_INTERVAL)


def _known_keys(listed: TaskList | None) -> set[TaskKey]:
    """Return the keys in a list of the worker's tasks."""
    if listed is None:
        return set()
    keys = (read_id(status.id) for status in listed.tasks)
    return {key for key in keys if key is not None}
