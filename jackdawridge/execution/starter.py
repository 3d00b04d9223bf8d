"""Hands admitted starts to the worker and resolves lost answers."""

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

#: Wait between two listings of the worker's tasks after a lost answer, in
#: seconds.
LIST_INTERVAL = 0.3
#: Number of listings that must lack a start before it is reported as lost.
MAX_LIST_CALLS = 3

_SEPARATOR = '|'


class StartListener(Protocol):
    """Receives the results of starts."""

    def started(self, keys: tuple[TaskKey, ...]) -> None:
        """Handle tasks that the worker runs."""

    def not_started(self, key: TaskKey, reason: str) -> None:
        """Handle a task that the worker refused or certainly never received."""

    def start_lost(self, key: TaskKey, reason: str) -> None:
        """Handle a task that may or may not have been started."""


def format_task_id(key: TaskKey) -> str:
    """Return the worker's id of a task.

    :param key: key of the task.
    """
    return _SEPARATOR.join((key.ticket, str(key.task), str(key.lease)))


def parse_task_id(text: str) -> TaskKey | None:
    """Return the key in a worker's id, None if the id has another format.

    :param text: id that the worker reported.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != len(TaskKey._fields):
        return None
    ticket, task, lease = parts
    if not (task.isdecimal() and lease.isdecimal()):
        return None
    return TaskKey(ticket, int(task), int(lease))


class Starter:
    """Sends starts to the worker and reports their results.

    :param worker: worker to call.
    :param clock: reactor that runs the timers.
    :param listener: receives the results of the starts.
    :param lease: time for which the worker may run a task without a renewal,
        in seconds.
    :param refusal: returns why a task of the worker must not be started any
        more, or an empty string.
    """

    def __init__(
        self,
        worker: Worker,
        clock: Clock,
        listener: StartListener,
        lease: float,
        refusal: Callable[[str], str],
    ) -> None:
        """Initialise the starter without calling the worker."""
        self.worker = worker
        self.clock = clock
        self.listener = listener
        self.lease = lease
        self.refusal = refusal

    def add(self, starts: tuple[Start, ...]) -> None:
        """Send a batch of starts to the worker.

        :param starts: starts that were admitted.
        """
        if starts:
            ensureDeferred(self.start_batch(starts))

    async def start_batch(self, batch: tuple[Start, ...]) -> None:
        """Start a batch and report its results.

        :param batch: starts that were admitted.
        """
        try:
            await self.worker.connect()
        except NotSentError as error:
            self.refuse_unreachable(batch, error)
            return
        batch = self.refuse_obsolete(batch)
        if not batch:
            return
        tasks = tuple(self.worker_task(start) for start in batch)
        try:
            answers = await self.worker.start(tasks)
        except NotSentError as error:
            self.refuse_unreachable(batch, error)
        except AnswerLostError as error:
            logger.warning(error.message, step='start', peer=error.peer)
            ensureDeferred(
                self.resolve_unanswered({sent.key() for sent in batch})
            )
        else:
            self.report(batch, answers)

    def refuse_obsolete(self, batch: tuple[Start, ...]) -> tuple[Start, ...]:
        """Refuse the starts that must not be sent any more; return the others.

        A batch may have waited for the connection since its admission.

        :param batch: starts that were admitted.
        """
        wanted = []
        for start in batch:
            reason = self.refusal(format_task_id(start.key()))
            if reason:
                self.listener.not_started(start.key(), reason)
            else:
                wanted.append(start)
        return tuple(wanted)

    def refuse_unreachable(
        self, batch: tuple[Start, ...], error: NotSentError
    ) -> None:
        """Refuse a batch because the worker cannot be reached.

        :param batch: starts that were not sent.
        :param error: reason of the failure.
        """
        self.refuse(batch, f'worker is unreachable: {error.message}')

    def refuse(self, batch: tuple[Start, ...], reason: str) -> None:
        """Refuse a batch that the worker has certainly not received.

        :param batch: starts that were not sent.
        :param reason: reason to send to the entry.
        """
        for start in batch:
            self.listener.not_started(start.key(), reason)

    def worker_task(self, start: Start) -> WorkerTask:
        """Convert a start to the worker's format.

        :param start: start that was admitted.
        """
        return WorkerTask(
            format_task_id(start.key()),
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
        """Report the worker's answers to a batch.

        :param batch: starts that were sent.
        :param answers: answers of the worker, in any order.
        """
        by_id = {answer.id: answer for answer in answers}
        running = []
        for start in batch:
            key = start.key()
            answer = by_id.get(format_task_id(key))
            if answer is None:
                self.listener.start_lost(
                    key, 'worker did not answer for this start'
                )
            elif answer.started:
                running.append(key)
            else:
                self.listener.not_started(key, answer.reason)
        self.listener.started(tuple(running))

    async def resolve_unanswered(self, keys: set[TaskKey]) -> None:
        """Find out which starts were carried out after their answer was lost.

        The worker may act on a call after it has listed its tasks. A start
        that it does not list is therefore reported as lost, never as not
        started, and is stopped.

        :param keys: keys of the starts; those that the worker lists are
            removed.
        """
        for _ in range(MAX_LIST_CALLS):
            await self.pause()
            listed = await self.list()
            running = _known_keys(listed) & keys
            self.listener.started(tuple(running))
            keys -= running
            if not keys:
                return
        ids = tuple(format_task_id(key) for key in keys)
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
        """Return a `Deferred` that fires after the interval of listings."""
        return pause(self.clock, LIST_INTERVAL)


def _known_keys(listed: TaskList | None) -> set[TaskKey]:
    """Return the keys in a list of the worker's tasks."""
    if listed is None:
        return set()
    keys = (parse_task_id(status.id) for status in listed.tasks)
    return {key for key in keys if key is not None}
