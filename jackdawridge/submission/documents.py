"""JSON documents of callers: jobs as they come in and answers."""

from __future__ import annotations

import base64
import hashlib
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from jackdawridge.submission.jobs import JobAnswer, JobSpec, TaskSpec

#: Length of the digest of a body.
DIGEST_BYTES = 16
#: Longest accepted text of a name, in characters.
MAX_NAME_LENGTH = 128
#: Longest payload of a task, in bytes.
MAX_PAYLOAD_BYTES = 65536
#: Most cores that a task may declare.
MAX_CORES = 4096
#: Most memory that a task may declare, in MB.
MAX_MEMORY = 67108864
#: Longest run time that a task may declare, in seconds.
MAX_RUN_TIME = 86400

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_NAME = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
_Cores = Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)]
_Memory = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY)]
_Accelerators = Annotated[int, msgspec.Meta(ge=0, le=1024)]
_RunTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_RUN_TIME)]


class TaskDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A task in a caller's JSON."""

    kind: Annotated[str, _NAME] = 'default'
    cores: _Cores = 1
    memory: _Memory = 256
    accelerators: _Accelerators = 0
    run_time: _RunTime = 1
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_BYTES)] = ''

    def convert(self) -> TaskSpec:
        """Return the task as the entry keeps it."""
        return TaskSpec(
            self.kind,
            self.cores,
            self.memory,
            self.accelerators,
            self.run_time,
            self.payload.encode(),
        )


class JobDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A job in a caller's JSON."""

    team: Annotated[str, _NAME]
    tasks: Annotated[list[TaskDocument], msgspec.Meta(min_length=1)]
    agreement: _Name = ''
    agreement_version: Annotated[int, msgspec.Meta(ge=0)] = 0

    def convert(self) -> JobSpec:
        """Return the job as the entry keeps it."""
        return JobSpec(
            self.team,
            self.agreement,
            self.agreement_version,
            tuple(task.convert() for task in self.tasks),
        )


class AnswerDocument(msgspec.Struct, omit_defaults=True):
    """The state of a job in an answer to a caller."""

    ticket: str
    state: str
    #: A text per task, or `{"base64": ...}` where it is no UTF-8.
    answers: list[str | dict[str, str]] = []
    reason: str = ''
    started: str = ''


def read_job(body: bytes, most_tasks: int) -> Result[JobSpec, str]:
    """Return the job in a caller's body, or what is wrong with it.

    :param body: JSON.
    :param most_tasks: that a job may have.
    """
    try:
        document = msgspec.json.decode(body, type=JobDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    if len(document.tasks) > most_tasks:
        count = len(document.tasks)
        return Err(f'job has {count} tasks; allowed: 1 to {most_tasks}')
    return Ok(document.convert())


def digest_of(body: bytes) -> bytes:
    """Return what two bodies have in common only if they are the same.

    :param body: of a submission.
    """
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def write_answer(answer: JobAnswer) -> bytes:
    """Return the JSON of an answer.

    :param answer: of a job.
    """
    document = AnswerDocument(
        answer.ticket,
        answer.state,
        [_text(one) for one in answer.answers],
        answer.reason,
        answer.started.value if answer.state == 'failed' else '',
    )
    return msgspec.json.encode(document)


def write_state(ticket: str, state: str) -> bytes:
    """Return the JSON of a job without an answer.

    :param ticket: of the job.
    :param state: such as `running`.
    """
    return msgspec.json.encode(AnswerDocument(ticket, state))


def _text(answer: bytes) -> str | dict[str, str]:
    """Return a task's answer as JSON has it."""
    try:
        return answer.decode()
    except UnicodeDecodeError:
        return {'base64': base64.b64encode(answer).decode()}
