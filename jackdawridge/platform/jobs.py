"""Decoding and validation of the jobs that callers send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from jackdawridge.placement.request import Objective
from jackdawridge.submission.jobs import JobSpec, TaskSpec

if TYPE_CHECKING:
    from jackdawridge.deployment.state import Queue

#: Team of all jobs. Jobs of one team are ordered together, by the latest start
#: that still meets the objective.
TEAM = 'callers'
#: Longest payload that a task is started with, in bytes.
MAX_PAYLOAD_BYTES = 4000
#: Highest number of cores, memory, accelerators or milliseconds that a task may
#: declare, so that calculations with it do not overflow.
MAX_QUANTITY = 1000000000000000

_MILLICORES = 1000
_MILLISECONDS = 1000


class _Step(msgspec.Struct, rename='camel'):
    """A group of equal tasks; callers omit fields that have their default."""

    count: int
    #: Cores of a task, in thousandths.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_duration_ms: float = 0
    #: Indices of the earlier steps that have to end first.
    depends_on: list[int] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    #: Highest number of tasks of the step on one minion, 0 for no limit.
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct, rename='camel'):
    """Body of a request that submits a job."""

    spec: str
    steps: list[_Step]
    best_effort: bool = False
    long_running: bool = False
    #: Number of repetitions after the first run of the steps.
    repeat_count: int = 0


class _Outline(msgspec.Struct):
    """The steps of a job, which are only counted.

    Decoding a body full of steps takes twenty times its length.
    """

    steps: list[msgspec.Raw]


#: Fields of a step for features that are not supported yet; a job that sets one
#: of them is refused.
_UNSUPPORTED_FIELDS = (
    'depends_on',
    'gang',
    'same_rack',
    'required_label',
    'anti_affinity',
    'long_running',
    'fills',
)


class UnsupportedJob(msgspec.Struct):
    """The reason why a valid job needs a feature that is not supported."""

    reason: str


def read_job(
    content: bytes, queue: Queue, max_tasks: int
) -> Result[JobSpec | UnsupportedJob, str]:
    """Return the job in the body of a request, or an error if it is invalid.

    :param content: body of the request, as JSON.
    :param queue: the queue that the job was sent to.
    :param max_tasks: highest number of tasks of a job.
    """
    try:
        document = decode_job(content, max_tasks)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    fault = find_fault(document, max_tasks)
    if fault:
        return Err(fault)
    reason = unsupported_reason(document, queue)
    if reason:
        return Ok(UnsupportedJob(reason))
    payload = document.spec.encode()
    step = document.steps[0]
    task = TaskSpec(
        queue.name,
        step.cpu / _MILLICORES,
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


def decode_job(content: bytes, max_tasks: int) -> _Job:
    """Return the job in the body of a request.

    :param content: body of the request, as JSON.
    :param max_tasks: highest number of tasks of a job, and so of its steps.
    :raises msgspec.MsgspecError: if the body is no job or has more steps.
    :raises UnicodeDecodeError: if a text in the body is not valid.
    :raises RecursionError: if the body is nested too deeply.
    """
    steps = msgspec.json.decode(content, type=_Outline).steps
    if len(steps) > max_tasks:
        raise msgspec.ValidationError(
            f'steps: {len(steps)}; allowed: up to {max_tasks} tasks'
        )
    return msgspec.json.decode(content, type=_Job)


def find_fault(document: _Job, max_tasks: int) -> str:
    """Return the first fault of a job as a text, empty if it is valid.

    :param document: the decoded job.
    :param max_tasks: highest number of tasks of a job.
    """
    if not document.steps:
        return 'steps: a job has at least one'
    if len(document.spec.encode()) > MAX_PAYLOAD_BYTES:
        return f'spec: allowed are up to {MAX_PAYLOAD_BYTES} bytes'
    tasks = sum(step.count for step in document.steps)
    if tasks > max_tasks:
        return f'steps: {tasks} tasks; allowed: up to {max_tasks}'
    for number, step in enumerate(document.steps):
        fault = find_step_fault(step)
        if fault:
            return f'steps[{number}]: {fault}'
    return ''


def find_step_fault(step: _Step) -> str:
    """Return the first fault of a step as a text, empty if it is valid.

    :param step: a step of a job.
    """
    if step.count < 1:
        return f'{step.count} tasks; allowed: from 1'
    quantities = (step.cpu, step.mem_mb, step.gpu, step.est_duration_ms)
    if min(quantities) < 0:
        return 'a quantity is negative'
    if max(quantities) > MAX_QUANTITY:
        return f'a quantity is over {MAX_QUANTITY}'
    return ''


def unsupported_reason(document: _Job, queue: Queue) -> str:
    """Return why a valid job is not supported, empty if it is supported.

    :param document: the decoded job, in which `find_fault` found no fault.
    :param queue: the queue that the job was sent to.
    """
    if not document.best_effort:
        return 'jobs that have to be stored are not served'
    if document.repeat_count or document.long_running:
        return 'repeated and lasting jobs are not served'
    if len(document.steps) > 1:
        return 'jobs of more than one step are not served'
    if queue.needs_advice:
        return 'queues with an advisor are not served'
    for name in _UNSUPPORTED_FIELDS:
        if getattr(document.steps[0], name):
            return f'steps with {name} are not served'
    return ''
