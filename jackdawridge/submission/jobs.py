"""Jobs that an entry owns, with the state of their tasks."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.request import NO_OBJECTIVE, Objective
from jackdawridge.submission.job_state import make_state_machine

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.messages import Ending, TaskKey


class Started(enum.Enum):
    """Whether tasks of a failed job were started."""

    #: No task was started, and none will be.
    nothing = 'none'
    #: At least one task was started.
    some = 'some'
    #: It is not known whether a task was started.
    unknown = 'unknown'


class TaskSpec(NamedTuple):
    """A task as the caller has declared it."""

    kind: str
    cores: float
    #: Declared memory in MB.
    memory: float
    accelerators: int
    #: Declared run time in seconds.
    run_time: float
    payload: bytes


class JobSpec(NamedTuple):
    """A job as the caller has declared it."""

    team: str
    #: Agreement that the tasks are counted under, or empty.
    agreement: str
    #: Version of the agreement, 0 for the current one.
    agreement_version: int
    tasks: tuple[TaskSpec, ...]
    #: Number of failed runs of a task after which the job fails.
    attempts: int = 1
    #: Whether a task is run again after a run that was lost or stopped, once
    #: that run has certainly ended. Otherwise no task starts twice.
    reruns: bool = False
    #: Objective for the response time of the job.
    objective: Objective = NO_OBJECTIVE
    #: Service whose workers run the tasks; empty for any worker.
    service: str = ''


class JobAnswer(NamedTuple):
    """The final answer of a job, of which there is exactly one."""

    ticket: str
    #: `complete` or `failed`.
    state: str
    #: Answers of all tasks in their order; empty if the job failed.
    answers: tuple[bytes, ...]
    reason: str
    started: Started
    #: Whether the job failed because one of its tasks can never succeed.
    is_final: bool = False


class UnresolvedStart(NamedTuple):
    """A start that was sent to a side and whose outcome isn't known yet."""

    key: TaskKey
    #: Node of the side that it was sent to.
    side: str


class Job:
    """An open job with the state of its tasks.

    :param ticket: ticket of the job.
    :param spec: job as the caller has declared it.
    :param digest: digest of the request body, which identifies a resubmission.
    :param on_answer: called once with the answer.
    """

    def __init__(
        self,
        ticket: str,
        spec: JobSpec,
        digest: bytes,
        on_answer: Callable[[JobAnswer], None],
    ) -> None:
        """Create an open job that has sent no start."""
        self.ticket = ticket
        self.spec = spec
        self.digest = digest
        self.on_answer = on_answer
        #: Answers of the tasks that succeeded, by position.
        self.answers: dict[int, bytes] = {}
        #: Unresolved starts, by the position of the task.
        self.unresolved: dict[int, UnresolvedStart] = {}
        #: Number of failed runs, by the position of the task.
        self.failures: Counter[int] = Counter()
        self.started = Started.nothing
        self.reason = ''
        self.is_final = False
        self.machine = make_state_machine(self)

    @property
    def remaining(self) -> int:
        """Return the number of tasks without an answer."""
        return len(self.spec.tasks) - len(self.answers)

    def start_sent(self, key: TaskKey, side: str) -> None:
        """Record a start that is being sent.

        :param key: key of the start.
        :param side: node of the side.
        """
        self.unresolved[key.task] = UnresolvedStart(key, side)

    def is_unresolved(self, key: TaskKey) -> bool:
        """Return whether a start is unresolved.

        An outcome under any other lease is stale and must be ignored.

        :param key: key of an outcome.
        """
        start = self.unresolved.get(key.task)
        return start is not None and start.key == key

    def start_refused(self, key: TaskKey) -> bool:
        """Handle the refusal of an unresolved start.

        :param key: key of the start.
        :returns: whether the task may be sent again.
        """
        self.unresolved.pop(key.task)
        may_repeat = self.machine.is_open()
        self.machine.finish_if_done()
        return may_repeat

    def try_rerun(self, ending: Ending) -> bool:
        """Handle the end of a run if the task may run again.

        :param ending: outcome of an unresolved start.
        :returns: whether the task has to be queued again. If not, `task_ended`
            has to be called.
        """
        if ending.outcome == 'succeeded' or not self.machine.is_open():
            return False
        task = ending.key.task
        if ending.outcome == 'failed':
            self.failures[task] += 1
            if self.failures[task] >= self.spec.attempts:
                self.is_final = self.spec.reruns
                return False
        elif not self.spec.reruns:
            return False
        self.unresolved.pop(task)
        self.started = Started.some
        return True

    def task_ended(self, ending: Ending) -> bool:
        """Handle the outcome of a task that isn't run again.

        :param ending: outcome of an unresolved start.
        :returns: whether the job has just failed, so that its other tasks have
            to be stopped.
        """
        key = ending.key
        self.unresolved.pop(key.task)
        if ending.outcome == 'succeeded':
            self.started = Started.some
            self.answers[key.task] = ending.answer
            # The job can't complete before the last start is resolved.
            if not self.unresolved:
                self.machine.finish_if_done()
            return False
        if ending.outcome != 'lost':
            self.started = Started.some
        elif self.started is Started.nothing:
            self.started = Started.unknown
        reason = ending.reason or ending.outcome
        return self.fail(f'task {key.task}: {reason}')

    def fail(self, reason: str) -> bool:
        """Fail the job. It is answered once no start is unresolved.

        :param reason: reason for the caller.
        :returns: whether this is the first failure.
        """
        is_first = self.machine.fail(reason)
        self.machine.finish_if_done()
        return is_first

    def finish(self, state: str, reason: str) -> None:
        """Pass on the answer of the job.

        :param state: `complete` or `failed`.
        :param reason: reason of a failure.
        """
        answers: tuple[bytes, ...] = ()
        if state == 'complete':
            answers = tuple(
                self.answers[task] for task in range(len(self.spec.tasks))
            )
        self.on_answer(
            JobAnswer(
                self.ticket,
                state,
                answers,
                reason,
                self.started,
                self.is_final,
            )
        )
