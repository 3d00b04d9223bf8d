"""The worker beside a side, as the platform lets the side use it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from jackdawridge.errors import JackdawridgeError, PeerUnavailableError


class WorkerTask(NamedTuple):
    """A task that the worker is asked to start."""

    #: Text by which the worker knows the task.
    id: str
    kind: str
    payload: bytes
    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Time after which the worker ends the task unless renewed, in seconds.
    lease: float


class StartAnswer(NamedTuple):
    """The worker's answer to one start."""

    id: str
    started: bool
    reason: str


class TaskStatus(NamedTuple):
    """What the worker says of one task."""

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

    #: Number of the worker's last event.
    event: int
    tasks: tuple[TaskStatus, ...]


class TaskUsage(NamedTuple):
    """What a running task used some time ago."""

    id: str
    cores: float
    #: In MB.
    memory: float


class NotSentError(PeerUnavailableError):
    """The worker has certainly not received the call."""


class AnswerLostError(JackdawridgeError):
    """The worker may have acted on the call."""


class WorkerListener(Protocol):
    """Receives what happens at the worker."""

    def task_ended(self, status: TaskStatus) -> None:
        """Take note of the end of a task."""

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Take note of what tasks use."""

    def events_interrupted(self) -> None:
        """Take note that events may have been missed."""


class Worker(Protocol):
    """Calls to the worker.

    All raise `NotSentError` or `AnswerLostError`.
    """

    async def connect(self) -> None:
        """Return as soon as starts can be written.

        Only `NotSentError` is raised.
        """

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        """Start tasks; nothing is sent unless `connect` has returned."""

    async def list(self) -> TaskList:
        """Return what the worker runs."""

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Stop tasks."""

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Let tasks use a share of their cores."""

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Move the memory of tasks out of the way."""

    async def renew(self, lease: float) -> None:
        """Renew the leases of all running tasks, in seconds from now."""

    async def forget(self, event: int) -> None:
        """Forget all tasks that ended up to an event."""

    def follow(self, event: int, listener: WorkerListener) -> None:
        """Report all events after a number, until `close`."""

    def close(self) -> None:
        """Stop reporting."""
