"""State machine of a job at the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import Job


class JobStateMachine(Protocol):
    """Inputs of the state machine of a job."""

    def finish_if_done(self) -> None:
        """Answer the job if its answer can't change any more."""

    def fail(self, reason: str) -> bool:
        """Record a failure; return whether it is the first."""

    def is_open(self) -> bool:
        """Return whether tasks may still be started."""


def _complete_if_all_succeeded(_machine: JobStateMachine, job: Job) -> None:
    """Answer the job once all tasks have succeeded."""
    if job.remaining == 0:
        job.finish('complete', '')


def _fail_if_resolved(_machine: JobStateMachine, job: Job) -> None:
    """Answer the failed job once no start is unresolved."""
    if not job.unresolved:
        job.finish('failed', job.reason)


def _record_failure(_machine: JobStateMachine, job: Job, reason: str) -> bool:
    """Keep the reason of the first failure."""
    job.reason = reason
    return True


def _ignore_failure(_machine: JobStateMachine, _job: Job, reason: str) -> bool:
    """Ignore the reason of a later failure."""
    return False


def _yes(_machine: JobStateMachine, _job: Job) -> bool:
    """Return True."""
    return True


def _no(_machine: JobStateMachine, _job: Job) -> bool:
    """Return False."""
    return False


_builder: TypeMachineBuilder[JobStateMachine, Job] = TypeMachineBuilder(
    JobStateMachine, cast('type[Job]', object)
)
_open = _builder.state('open')
_stopping = _builder.state('stopping')
_open.upon(JobStateMachine.finish_if_done).loop()(_complete_if_all_succeeded)
_open.upon(JobStateMachine.fail).to(_stopping)(_record_failure)
_open.upon(JobStateMachine.is_open).loop()(_yes)
_stopping.upon(JobStateMachine.finish_if_done).loop()(_fail_if_resolved)
_stopping.upon(JobStateMachine.fail).loop()(_ignore_failure)
_stopping.upon(JobStateMachine.is_open).loop()(_no)
make_state_machine = _builder.build()
