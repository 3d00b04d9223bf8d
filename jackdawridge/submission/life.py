"""Life of a job at the entry that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, cast

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import Job


class JobLife(Protocol):
    """Inputs of the state machine of a job."""

    def settle(self) -> None:
        """Answer if nothing of the job can change any more."""

    def fail(self, reason: str) -> bool:
        """Note a failure; return whether it is the first."""

    def is_open(self) -> bool:
        """Return whether tasks may still be started."""


def _complete_if_whole(_life: JobLife, job: Job) -> None:
    """Answer with all answers once the last is there."""
    if job.remaining == 0:
        job.finish('complete', '')


def _fail_if_quiet(_life: JobLife, job: Job) -> None:
    """Answer once none of the job's starts is in doubt."""
    if not job.sent:
        job.finish('failed', job.reason)


def _note_failure(_life: JobLife, job: Job, reason: str) -> bool:
    """Keep the first reason."""
    job.reason = reason
    return True


def _ignore_failure(_life: JobLife, _job: Job, reason: str) -> bool:
    """Leave the first reason."""
    return False


def _yes(_life: JobLife, _job: Job) -> bool:
    """Answer yes."""
    return True


def _no(_life: JobLife, _job: Job) -> bool:
    """Answer no."""
    return False


_builder: TypeMachineBuilder[JobLife, Job] = TypeMachineBuilder(
    JobLife, cast('type[Job]', object)
)
_open = _builder.state('open')
_stopping = _builder.state('stopping')
_open.upon(JobLife.settle).loop()(_complete_if_whole)
_open.upon(JobLife.fail).to(_stopping)(_note_failure)
_open.upon(JobLife.is_open).loop()(_yes)
_stopping.upon(JobLife.settle).loop()(_fail_if_quiet)
_stopping.upon(JobLife.fail).loop()(_ignore_failure)
_stopping.upon(JobLife.is_open).loop()(_no)
make_life = _builder.build()
