"""State machine of one task at a side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey


class TaskLifecycle(Protocol):
    """Inputs of the state machine of a task."""

    def confirm(self) -> bool:
        """Record that the worker runs it; return whether to stop it now."""

    def stop(self) -> bool:
        """Request a stop; return whether to tell the worker now."""

    def is_confirmed(self) -> bool:
        """Return whether the worker has confirmed that it runs the task."""


class TaskRecord:
    """A task that was admitted and whose end is not known.

    :param key: key of the attempt.
    :param owner: incarnation of the entry that sent the start.
    """

    def __init__(self, key: TaskKey, owner: str) -> None:
        """Initialise the record of a task that is about to be started."""
        self.key = key
        self.owner = owner
        #: Reason of the first requested stop, or empty.
        self.stop_reason = ''
        self.lifecycle: TaskLifecycle = _make_lifecycle(self)


def _confirm(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Confirm a task that need not be stopped."""
    return False


def _confirm_then_stop(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Confirm a task whose stop was requested while it was starting."""
    return True


def _stop(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Request a stop that the worker must be told now."""
    return True


def _defer_stop(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Request a stop that the worker need not be told now.

    It is told once the task is confirmed, or was told before.
    """
    return False


def _return_true(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Return that the task is confirmed."""
    return True


def _return_false(_lifecycle: TaskLifecycle, _record: TaskRecord) -> bool:
    """Return that the task is not confirmed."""
    return False


_builder: TypeMachineBuilder[TaskLifecycle, TaskRecord] = TypeMachineBuilder(
    TaskLifecycle, TaskRecord
)
_starting = _builder.state('starting')
_running = _builder.state('running')
_cancelled = _builder.state('cancelled')
_stopping = _builder.state('stopping')
_starting.upon(TaskLifecycle.confirm).to(_running)(_confirm)
_starting.upon(TaskLifecycle.stop).to(_cancelled)(_defer_stop)
_starting.upon(TaskLifecycle.is_confirmed).loop()(_return_false)
_running.upon(TaskLifecycle.confirm).loop()(_confirm)
_running.upon(TaskLifecycle.stop).to(_stopping)(_stop)
_running.upon(TaskLifecycle.is_confirmed).loop()(_return_true)
_cancelled.upon(TaskLifecycle.confirm).to(_stopping)(_confirm_then_stop)
_cancelled.upon(TaskLifecycle.stop).loop()(_defer_stop)
_cancelled.upon(TaskLifecycle.is_confirmed).loop()(_return_false)
_stopping.upon(TaskLifecycle.confirm).loop()(_confirm)
_stopping.upon(TaskLifecycle.stop).loop()(_defer_stop)
_stopping.upon(TaskLifecycle.is_confirmed).loop()(_return_true)
_make_lifecycle = _builder.build()
