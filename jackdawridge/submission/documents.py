"""JSON documents of submitted jobs and of answers."""

from __future__ import annotations

import base64
import hashlib
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from jackdawridge.submission.jobs import JobAnswer, JobSpec, TaskSpec

#: Length of the digest of a request body, in bytes.
DIGEST_BYTES = 16
#: Longest accepted name, in characters.
MAX_NAME_LENGTH = 128
#: Longest payload of a task, in bytes.
MAX_PAYLOAD_BYTES = 65536
#: Highest number of cores that a task may declare.
MAX_CORES = 4096
#: Largest memory that a task may declare, in MB.
MAX_MEMORY_MB = 67108864
#: Longest run time that a task may declare, in seconds.
MAX_RUN_TIME = 86400

_OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_NAME_LIMITS = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
_Cores = Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)]
_Memory = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
_Accelerators = Annotated[int, msgspec.Meta(ge=0, le=1024)]
_RunTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_RUN_TIME)]


class TaskDocument(msgspec.Struct, forbid_unknown_fields=True):
    """JSON of a task in a submission."""

    kind: Annotated[str, _NAME_LIMITS] = 'default'
    cores: _Cores = 1
    memory: _Memory = 256
    accelerators: _Accelerators = 0
    run_time: _RunTime = 1
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)] = ''

    def to_spec(self) -> TaskSpec:
        """Return the task as the engine represents it."""
        return TaskSpec(
            self.kind,
            self.cores,
            self.memory,
            self.accelerators,
            self.run_time,
            self.payload.encode(),
        )


class JobDocument(msgspec.Struct, forbid_unknown_fields=True):
    """JSON of a submitted job."""

    team: Annotated[str, _NAME_LIMITS]
    tasks: Annotated[list[TaskDocument], msgspec.Meta(min_length=1)]
    agreement: _OptionalName = ''
    agreement_version: Annotated[int, msgspec.Meta(ge=0)] = 0

    def to_spec(self) -> JobSpec:
        """Return the job as the engine represents it."""
        return JobSpec(
            self.team,
            self.agreement,
            self.agreement_version,
            tuple(task.to_spec() for task in self.tasks),
        )


class AnswerDocument(msgspec.Struct, omit_defaults=True):
    """JSON of the state of a job."""

    ticket: str
    state: str
    #: Answers of the tasks in their order: a string each, or `{"base64": ...}`
    #: for an answer that isn't valid UTF-8.
    answers: list[str | dict[str, str]] = []
    reason: str = ''
    started: str = ''


def read_job(body: bytes, max_tasks: int) -> Result[JobSpec, str]:
    """Return the job in a request body, or a description of the first error.

    :param body: JSON of the job.
    :param max_tasks: highest number of tasks that a job may have.
    """
    try:
        document = msgspec.json.decode(body, type=JobDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    if len(document.tasks) > max_tasks:
        count = len(document.tasks)
        return Err(f'job has {count} tasks; allowed: 1 to {max_tasks}')
    return Ok(document.to_spec())


def digest_of(body: bytes) -> bytes:
    """Return a digest by which request bodies are compared.

    :param body: body of a submission.
    """
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def write_answer(answer: JobAnswer) -> bytes:
    """Return the JSON of the answer of a job.

    :param answer: answer from the engine.
    """
    document = AnswerDocument(
        answer.ticket,
        answer.state,
        [_encode_answer(one) for one in answer.answers],
        answer.reason,
        answer.started.value if answer.state == 'failed' else '',
    )
    return msgspec.json.encode(document)


def write_state(ticket: str, state: str) -> bytes:
    """Return the JSON of a job that has no answer.

    :param ticket: ticket of the job.
    :param state: state of the job, such as `running`.
    """
    return msgspec.json.encode(AnswerDocument(ticket, state))


def _encode_answer(answer: bytes) -> str | dict[str, str]:
    """Return the answer of a task as it is written to JSON."""
    try:
        return answer.decode()
    except UnicodeDecodeError:
        return {'base64': base64.b64encode(answer).decode()}
