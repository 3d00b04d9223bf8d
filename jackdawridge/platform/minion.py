"""Orders to the minion beside a side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.error import ConnectionRefusedError as RefusedError

from jackdawridge.execution.leased_target import (
    FencedError,
    OtherIncarnationError,
    Run,
    RunEnd,
    StartVerdict,
    TargetReport,
)
from jackdawridge.execution.starter import parse_task_id
from jackdawridge.execution.worker import AnswerLostError, NotSentError
from jackdawridge.submission.tickets import job_id_of
from jackdawridge.util.client import JsonClient

if TYPE_CHECKING:
    from jackdawridge.execution.leased_target import HoldOrder, StartOrder
    from jackdawridge.util.http_connection import Answer

#: Time for a report beyond what the minion is asked to wait, in seconds. An
#: answer on the same machine takes some milliseconds.
ANSWER_TIME = 0.1
#: Time for the answer to a start or a stop, in seconds: a start is tried again
#: after it, and callers wait for the last of a job's tasks.
ORDER_TIME = 0.06
#: Names the minion that an order is for.
INSTANCE_HEADER = 'Expect-Instance'

_MILLISECONDS = 1000
_OK = 200
_CONFLICT = 409
_OTHER_INSTANCE = 421
#: Answers of an unhealthy minion, which has done nothing.
_UNHEALTHY = frozenset((429, 503))
#: The platform's words for the end of a run; others count as stopped.
_OUTCOMES = {'done': 'succeeded', 'failed': 'failed'}  # noqa: WPS407


class _Report(msgspec.Struct, rename='camel'):
    """The answer to a renewal of the lease."""

    clock_ms: float
    #: Rows of task, run, checkpoint, percent and a figure of its use.
    running: list[list[Any]]
    #: Rows of number, task, run, how it ended, and checkpoint.
    ended_runs: list[list[Any]]
    #: Unix time of the minion's start, in milliseconds.
    born: int = 0


class _Refusal(msgspec.Struct):
    """The answer to an order that was not carried out."""

    reason: str = ''


class MinionClient:
    """Sends orders by HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the minion.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        """Prepare without connecting."""
        self.address = address
        self.client = JsonClient(reactor)
        #: Id of the minion that orders are for; any if it is empty.
        self.minion = ''

    def bind(self, target_id: str) -> None:
        """Send orders to the minion with an id and to no other.

        :param target_id: of the minion.
        """
        self.minion = target_id

    def task_name(self, task_id: str) -> str:
        """Return the name of a task: ID.K.STEP.INDEX, of the first step.

        :param task_id: by which the side knows it.
        """
        key = parse_task_id(task_id)
        if key is None:
            raise NotSentError(f'{task_id!r} is no task', step='start')
        return f'{job_id_of(key.ticket)}.0.0.{key.task}'

    async def hold(self, order: HoldOrder) -> TargetReport:
        """Renew the lease and return what runs.

        :param order: to the minion.
        """
        document: dict[str, object] = {
            'fence': order.fencing_token,
            'lastSeen': order.confirmed,
        }
        if order.lease_until is not None:
            document['deadlineMs'] = int(order.lease_until * _MILLISECONDS)
        if order.wait:
            document['waitMs'] = int(order.wait * _MILLISECONDS)
        answer = await self.call('hold', document, order.wait + ANSWER_TIME)
        self.check(answer, 'hold')
        report = self.decode(answer.body, _Report, 'hold')
        return TargetReport(
            report.born,
            report.clock_ms / _MILLISECONDS,
            frozenset(Run(row[0], row[1]) for row in report.running),
            tuple(_end(row) for row in report.ended_runs),
        )

    async def start(self, order: StartOrder) -> StartVerdict:
        """Start a run.

        :param order: to the minion.
        """
        answer = await self.call(
            'run-start',
            {
                'task': order.run.name,
                'run': order.run.number,
                'spec': order.payload.decode(),
                'deadlineMs': int(order.lease_until * _MILLISECONDS),
                'fence': order.fencing_token,
            },
        )
        if answer.status in _UNHEALTHY:
            return StartVerdict(
                started=False, reason=f'minion answers {answer.status}'
            )
        if answer.status == _CONFLICT:
            reason = self.decode(answer.body, _Refusal, 'run-start').reason
            if reason != 'fence':
                return StartVerdict(started=False, reason=reason)
        self.check(answer, 'run-start')
        return StartVerdict(started=True, reason='')

    async def stop(self, run: Run, fencing_token: int) -> None:
        """Stop a run, or keep it from ever starting.

        :param run: that was ordered.
        :param fencing_token: of this side.
        """
        answer = await self.call(
            'run-stop',
            {'task': run.name, 'run': run.number, 'fence': fencing_token},
        )
        self.check(answer, 'run-stop')

    async def call(
        self, path: str, document: object, timeout: float = ORDER_TIME
    ) -> Answer:
        """Return the minion's answer to an order.

        :param path: below `/v1`.
        :param document: of the order.
        :param timeout: for the whole answer, in seconds.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the order may be carried out.
        """
        headers = {INSTANCE_HEADER: self.minion} if self.minion else {}
        try:
            return await self.client.ask(
                'POST',
                f'http://{self.address}/v1/{path}',
                document,
                timeout,
                headers,
            )
        except RefusedError as error:
            raise NotSentError(
                str(error), step=path, peer=self.address
            ) from error
        except Exception as error:
            raise AnswerLostError(
                f'{type(error).__name__}: {error}', step=path, peer=self.address
            ) from error

    def check(self, answer: Answer, step: str) -> None:
        """Raise unless an order was carried out.

        :param answer: of the minion.
        :param step: for the error.
        """
        if answer.status == _OK:
            return
        if answer.status == _OTHER_INSTANCE:
            raise OtherIncarnationError(
                'another minion is there', step=step, peer=self.address
            )
        if answer.status == _CONFLICT:
            reason = self.decode(answer.body, _Refusal, step).reason
            raise FencedError(
                f'refused: {reason}', step=step, peer=self.address
            )
        raise AnswerLostError(
            f'status {answer.status}', step=step, peer=self.address
        )

    def decode(self, content: bytes, kind: type[Any], step: str) -> Any:
        """Return the body of an answer.

        :param content: JSON.
        :param kind: of the body.
        :param step: for the error.
        :raises AnswerLostError: if the body is not of that kind.
        """
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.MsgspecError as error:
            raise AnswerLostError(
                str(error), step=step, peer=self.address
            ) from error


def _end(row: list[Any]) -> RunEnd:
    """Return the end of a run in a row of the minion."""
    position, name, number, how = row[:4]
    outcome = _OUTCOMES.get(how, 'stopped')
    return RunEnd(position, Run(name, number), outcome, how)
