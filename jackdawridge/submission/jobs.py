"""Jobs that an entry owns."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.request import NO_OBJECTIVE, Objective
from jackdawridge.submission.life import make_life

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
    #: In MB.
    memory: float
    accelerators: int
    #: In seconds.
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
    #: Runs of a task that may fail before the job fails.
    attempts: int = 1
    #: Whether a task may run again whose run was lost or stopped, once that
    #: run is certainly over. Otherwise no task starts twice.
    reruns: bool = False
    #: What the job's response time is measured by.
    objective: Objective = NO_OBJECTIVE
    #: Service whose workers run the tasks; any worker if it is empty.
    service: str = ''


class JobAnswer(NamedTuple):
    """The only answer that a job ever gets."""

    ticket: str
    #: `complete` or `failed`.
    state: str
    #: Answers of all tasks in their order; empty if the job has failed.
    answers: tuple[bytes, ...]
    reason: str
    started: Started
    #: Whether the job has failed because a task of it can never succeed.
    is_final: bool = False


class Sent(NamedTuple):
    """A start that was sent and of which no outcome is known."""

    key: TaskKey
    #: Node of the side.
    side: str


class Job:
    """One job with the state of its tasks.

    :param ticket: of the job.
    :param spec: what the caller has declared.
    :param digest: of the caller's body, by which a resubmission is known.
    :param done: called with the answer, once.
    """

    def __init__(
        self,
        ticket: str,
        spec: JobSpec,
        digest: bytes,
        done: Callable[[JobAnswer], None],
    ) -> None:
        """Make an open job of which nothing was sent."""
        self.ticket = ticket
        self.spec = spec
        self.digest = digest
        self.done = done
        self.answers: dict[int, bytes] = {}
        #: Starts without a known outcome, by the position of the task.
        self.sent: dict[int, Sent] = {}
        #: Runs that have failed, by the position of the task.
        self.failures: Counter[int] = Counter()
        self.started = Started.nothing
        self.reason = ''
        self.is_final = False
        self.life = make_life(self)

    @property
    def remaining(self) -> int:
        """Return the number of tasks without an answer."""
        return len(self.spec.tasks) - len(self.answers)

    def send(self, key: TaskKey, side: str) -> None:
        """Note that a start is being sent.

        :param key: of the start.
        :param side: node that it is sent to.
        """
        self.sent[key.task] = Sent(key, side)

    def owns(self, key: TaskKey) -> bool:
        """Return whether a key is that of a start in doubt.

        An outcome under any other lease is late and must be dropped.

        :param key: of an outcome.
        """
        sent = self.sent.get(key.task)
        return sent is not None and sent.key == key

    def refuse(self, key: TaskKey) -> bool:
        """Take a start back that was certainly not carried out.

        :param key: of the start, which the job owns.
        :returns: whether the task may be sent again.
        """
        self.sent.pop(key.task)
        may_repeat = self.life.is_open()
        self.life.settle()
        return may_repeat

    def repeat(self, ending: Ending) -> bool:
        """Take the end of a run if the task may run again.

        :param ending: whose key the job owns.
        :returns: whether the task has to be queued again; if not, `end` has
            to be called.
        """
        if ending.outcome == 'succeeded' or not self.life.is_open():
            return False
        task = ending.key.task
        if ending.outcome == 'failed':
            self.failures[task] += 1
            if self.failures[task] >= self.spec.attempts:
                self.is_final = self.spec.reruns
                return False
        elif not self.spec.reruns:
            return False
        self.sent.pop(task)
        self.started = Started.some
        return True

    def end(self, ending: Ending) -> bool:
        """Take the outcome of a task that was started.

        :param ending: whose key the job owns.
        :returns: whether the job has just failed, so that the rest has to be
            stopped.
        """
        key = ending.key
        self.sent.pop(key.task)
        if ending.outcome == 'succeeded':
            self.started = Started.some
            self.answers[key.task] = ending.answer
            # The life can go on only once nothing is in doubt.
            if not self.sent:
                self.life.settle()
            return False
        if ending.outcome != 'lost':
            self.started = Started.some
        elif self.started is Started.nothing:
            self.started = Started.unknown
        reason = ending.reason or ending.outcome
        return self.fail(f'task {key.task}: {reason}')

    def fail(self, reason: str) -> bool:
        """Fail the job; the answer follows once no start is in doubt.

        :param reason: for the caller.
        :returns: whether this is the first failure.
        """
        is_first = self.life.fail(reason)
        self.life.settle()
        return is_first

    def finish(self, state: str, reason: str) -> None:
        """Give the answer.

        :param state: `complete` or `failed`.
        :param reason: of a failure.
        """
        answers: tuple[bytes, ...] = ()
        if state == 'complete':
            answers = tuple(
                self.answers[task] for task in range(len(self.spec.tasks))
            )
        self.done(
            JobAnswer(
                self.ticket,
                state,
                answers,
                reason,
                self.started,
                self.is_final,
            )
        )
