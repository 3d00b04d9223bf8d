"""Decodes the jobs of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from jackdawridge.placement.request import Objective
from jackdawridge.submission.jobs import JobSpec, TaskSpec

if TYPE_CHECKING:
    from jackdawridge.deployment.state import Queue

#: All jobs share one queue order, in which the latest start in time decides.
TEAM = 'callers'
#: Longest text that a task is started with, in bytes.
MAX_PAYLOAD_BYTES = 4000

_THOUSANDTHS = 1000
_MILLISECONDS = 1000


class _Step(msgspec.Struct, rename='camel'):
    """Tasks that are declared alike; fields without a value are left out."""

    count: int
    #: In thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_duration_ms: float = 0
    #: Numbers of the earlier steps that have to end first.
    depends_on: list[int] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    #: Most tasks of the step on one minion.
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct, rename='camel'):
    """A job as a caller hands it in."""

    spec: str
    steps: list[_Step]
    best_effort: bool = False
    long_running: bool = False
    #: Times that the steps run again, 0 to run once.
    repeat_count: int = 0


#: What a job may ask for that is not served yet, by the field of a step.
_UNSERVED = (
    'depends_on',
    'gang',
    'same_rack',
    'required_label',
    'anti_affinity',
    'long_running',
    'fills',
)


class Unserved(msgspec.Struct):
    """A job that is well formed but of a kind that is not served."""

    reason: str


def read_job(
    content: bytes, queue: Queue, most_tasks: int
) -> Result[JobSpec | Unserved, str]:
    """Return the job in a caller's body, or what is wrong with it.

    :param content: JSON.
    :param queue: that the job was sent to.
    :param most_tasks: that a job may have.
    """
    try:
        document = msgspec.json.decode(content, type=_Job)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    fault = find_fault(document, most_tasks)
    if fault:
        return Err(fault)
    unserved = find_unserved(document, queue)
    if unserved:
        return Ok(Unserved(unserved))
    payload = document.spec.encode()
    step = document.steps[0]
    task = TaskSpec(
        queue.name,
        step.cpu / _THOUSANDTHS,
        step.mem_mb,
        step.gpu,
        step.est_duration_ms / _MILLISECONDS,
        payload,
    )
    return Ok(
        JobSpec(
            TEAM,
            '',
            0,
            (task,) * step.count,
            queue.attempts,
            reruns=True,
            objective=Objective(queue.stretch, queue.allowance, queue.priority),
            service=queue.service,
        )
    )


def find_fault(document: _Job, most_tasks: int) -> str:
    """Return what is wrong with a job, or an empty text.

    :param document: of a caller.
    :param most_tasks: that a job may have.
    """
    if not document.steps:
        return 'steps: a job has at least one'
    if len(document.spec.encode()) > MAX_PAYLOAD_BYTES:
        return f'spec: allowed are up to {MAX_PAYLOAD_BYTES} bytes'
    tasks = sum(step.count for step in document.steps)
    if tasks > most_tasks:
        return f'steps: {tasks} tasks; allowed: up to {most_tasks}'
    for number, step in enumerate(document.steps):
        if step.count < 1:
            return f'steps[{number}].count: {step.count}; allowed: from 1'
        if min(step.cpu, step.mem_mb, step.gpu, step.est_duration_ms) < 0:
            return f'steps[{number}]: a quantity is negative'
    return ''


def find_unserved(document: _Job, queue: Queue) -> str:
    """Return why a job is of a kind that is not served, or an empty text.

    :param document: of a caller, without faults.
    :param queue: that the job was sent to.
    """
    if not document.best_effort:
        return 'jobs that have to be stored are not served'
    if document.repeat_count or document.long_running:
        return 'repeated and lasting jobs are not served'
    if len(document.steps) > 1:
        return 'jobs of more than one step are not served'
    if queue.needs_advice:
        return 'queues with an advisor are not served'
    for name in _UNSERVED:
        if getattr(document.steps[0], name):
            return f'steps with {name} are not served'
    return ''
