"""Interface of the worker beside a side."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from jackdawridge.errors import JackdawridgeError, PeerUnavailableError


class WorkerTask(NamedTuple):
    """A task that the worker is asked to start."""

    #: Id of the task at the worker.
    id: str
    kind: str
    payload: bytes
    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Time after which the worker ends the task unless its lease is renewed,
    #: in seconds.
    lease: float


class StartAnswer(NamedTuple):
    """The worker's answer to one start."""

    id: str
    started: bool
    reason: str


class TaskStatus(NamedTuple):
    """The status of one task, as the worker reports it."""

    id: str
    #: `running`, `succeeded`, `failed` or `stopped`.
    state: str
    reason: str
    answer: bytes
    cores: float
    #: In MB.
    memory: float
    #: In seconds.
    run_time: float
    #: Number of the event at which the task ended, 0 while it runs.
    event: int


class TaskList(NamedTuple):
    """All tasks that the worker runs or has not been told to forget."""

    #: Number of the worker's newest event.
    event: int
    tasks: tuple[TaskStatus, ...]


class TaskUsage(NamedTuple):
    """Resource usage of a running task when the worker last measured it."""

    id: str
    cores: float
    #: In MB.
    memory: float


class NotSentError(PeerUnavailableError):
    """The call has certainly not reached the worker."""


class AnswerLostError(JackdawridgeError):
    """The call may have reached the worker, which may have acted on it."""


class WorkerListener(Protocol):
    """Receives the events of a worker and decides on starts that waited."""

    def start_refusal(self, task_id: str) -> str:
        """Return why a task must not be started any more, or an empty string.

        A worker that lets starts wait asks right before it orders one.
        """

    def task_started(self, task_id: str) -> None:
        """Handle a confirmed start before the others of its batch are."""

    def task_ended(self, status: TaskStatus) -> None:
        """Handle the end of a task."""

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Handle a report of the usage of running tasks."""

    def events_interrupted(self) -> None:
        """Handle an interruption during which events may have been missed."""


class Worker(Protocol):
    """Calls to the worker.

    All coroutines raise `NotSentError` or `AnswerLostError`.
    """

    async def connect(self) -> None:
        """Wait until starts can be sent.

        Only `NotSentError` is raised.
        """

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        """Start tasks; nothing is sent unless `connect` has returned before."""

    async def list(self) -> TaskList:
        """Return the tasks of the worker."""

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Stop tasks."""

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Limit tasks to a share of their cores, from 0 to 1."""

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Suspend tasks and free their memory; full speed resumes them."""

    async def renew(self, lease: float) -> None:
        """Renew the leases of all running tasks, in seconds from now."""

    async def forget(self, event: int) -> None:
        """Forget all tasks that ended up to an event."""

    def follow(self, event: int, listener: WorkerListener) -> None:
        """Report all events after a number, until `close`."""

    def close(self) -> None:
        """Stop reporting events."""
