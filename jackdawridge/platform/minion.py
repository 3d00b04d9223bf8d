"""Client for the HTTP interface of the minion beside a side."""

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
    from jackdawridge.util.http_connection import HttpResponse

#: Timeout of a report in excess of the time for which the minion is asked to
#: wait, in seconds. An answer on the same machine takes some milliseconds.
REPORT_TIMEOUT_MARGIN = 0.1
#: Timeout of a start or stop order, in seconds. It is short since the start is
#: retried only after it, and callers wait for the last task of their job.
ORDER_TIMEOUT = 0.06
#: Request header with the id of the minion that an order is for.
INSTANCE_HEADER = 'Expect-Instance'

_MILLISECONDS = 1000
_OK = 200
_CONFLICT = 409
_OTHER_INSTANCE = 421
#: Status codes of an unhealthy minion, which has not carried out the order.
_UNHEALTHY = frozenset((429, 503))
#: Outcome of a run by the platform's word for its end; any other word counts as
#: stopped.
_OUTCOMES = {'done': 'succeeded', 'failed': 'failed'}  # noqa: WPS407


class _Report(msgspec.Struct, rename='camel'):
    """Body of the answer to a renewal of the lease."""

    clock_ms: float
    #: Rows of task, run number, checkpoint, progress in percent, and usage.
    running: list[list[Any]]
    #: Rows of position, task, run number, word for its end, and checkpoint.
    ended_runs: list[list[Any]]
    #: Unix time of the minion's start, in milliseconds.
    born: int = 0


class _Refusal(msgspec.Struct):
    """Body of the answer to an order that was not carried out."""

    reason: str = ''


class MinionClient:
    """Sends orders to a minion by HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the minion.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        """Create the HTTP client without connecting."""
        self.address = address
        self.client = JsonClient(reactor)
        #: Id of the only minion that may carry out the orders, empty for any.
        self.minion_id = ''

    def bind(self, target_id: str) -> None:
        """Address all further orders to one minion; any other refuses them.

        :param target_id: id of the minion.
        """
        self.minion_id = target_id

    def task_name(self, task_id: str) -> str:
        """Return the platform's name of a task: ID.K.STEP.INDEX.

        Jobs have one step and run once, so K and STEP are 0.

        :param task_id: id of the task within the deployment.
        :raises NotSentError: if the id is not valid.
        """
        key = parse_task_id(task_id)
        if key is None:
            raise NotSentError(
                f'task id {task_id!r} is not valid', step='start'
            )
        return f'{job_id_of(key.ticket)}.0.0.{key.task}'

    async def hold(self, order: HoldOrder) -> TargetReport:
        """Renew the lease and return the minion's report of its runs.

        :param order: the fencing token, the lease and the last position seen.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the outcome is not known.
        :raises FencedError: if the minion refuses the fencing token.
        :raises OtherIncarnationError: if another minion answers.
        """
        document: dict[str, object] = {
            'fence': order.fencing_token,
            'lastSeen': order.confirmed,
        }
        if order.lease_until is not None:
            document['deadlineMs'] = int(order.lease_until * _MILLISECONDS)
        if order.wait:
            document['waitMs'] = int(order.wait * _MILLISECONDS)
        return await self.request_report(
            document, order.wait + REPORT_TIMEOUT_MARGIN, self.minion_id
        )

    async def identify(
        self, target_id: str, fencing_token: int
    ) -> TargetReport:
        """Return the minion's report of its runs if it has an id.

        :param target_id: id that the minion is expected to have.
        :param fencing_token: fencing token of this side.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the outcome is not known.
        :raises FencedError: if the minion refuses the fencing token.
        :raises OtherIncarnationError: if another minion answers.
        """
        document: dict[str, object] = {'fence': fencing_token, 'lastSeen': 0}
        return await self.request_report(
            document, REPORT_TIMEOUT_MARGIN, target_id
        )

    async def request_report(
        self, document: dict[str, object], timeout: float, minion_id: str
    ) -> TargetReport:
        """Send an order to hold and return the minion's report of its runs.

        :param document: content of the order, sent as JSON.
        :param timeout: time within which the whole answer has to arrive, in
            seconds.
        :param minion_id: id of the only minion that may carry it out, empty for
            any.
        """
        answer = await self.call('hold', document, minion_id, timeout)
        self.require_done(answer, 'hold')
        report = self.decode_body(answer.body, _Report, 'hold')
        return TargetReport(
            report.born,
            report.clock_ms / _MILLISECONDS,
            frozenset(Run(row[0], row[1]) for row in report.running),
            tuple(_parse_run_end(row) for row in report.ended_runs),
        )

    async def start(self, order: StartOrder) -> StartVerdict:
        """Start a run and return whether the minion accepted it.

        :param order: the run, its payload, the lease and the fencing token.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the outcome is not known.
        :raises FencedError: if the minion refuses the fencing token.
        :raises OtherIncarnationError: if another minion answers.
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
            self.minion_id,
        )
        if answer.status in _UNHEALTHY:
            return StartVerdict(
                started=False, reason=f'minion answers {answer.status}'
            )
        if answer.status == _CONFLICT:
            reason = self.decode_body(answer.body, _Refusal, 'run-start').reason
            if reason != 'fence':
                return StartVerdict(started=False, reason=reason)
        self.require_done(answer, 'run-start')
        return StartVerdict(started=True, reason='')

    async def stop(self, run: Run, fencing_token: int) -> None:
        """Stop a run; one that has not started yet never will.

        :param run: the run to stop.
        :param fencing_token: fencing token of this side.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the outcome is not known.
        :raises FencedError: if the minion refuses the fencing token.
        :raises OtherIncarnationError: if another minion answers.
        """
        answer = await self.call(
            'run-stop',
            {'task': run.name, 'run': run.number, 'fence': fencing_token},
            self.minion_id,
        )
        self.require_done(answer, 'run-stop')

    async def call(
        self,
        path: str,
        document: object,
        minion_id: str,
        timeout: float = ORDER_TIMEOUT,
    ) -> HttpResponse:
        """Send an order and return the minion's answer, with any status.

        :param path: path of the order below `/v1`.
        :param document: content of the order, sent as JSON.
        :param minion_id: id of the only minion that may carry it out, empty for
            any.
        :param timeout: time within which the whole answer has to arrive, in
            seconds.
        :raises NotSentError: if nothing listens at the address.
        :raises AnswerLostError: if the order may have been carried out.
        """
        headers = {INSTANCE_HEADER: minion_id} if minion_id else {}
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

    def require_done(self, answer: HttpResponse, step: str) -> None:
        """Raise an error unless an order was carried out.

        :param answer: the minion's answer to the order.
        :param step: path of the order, reported in the error.
        :raises FencedError: if the minion refuses the fencing token.
        :raises OtherIncarnationError: if another minion answers.
        :raises AnswerLostError: if the status is any other but 200.
        """
        if answer.status == _OK:
            return
        if answer.status == _OTHER_INSTANCE:
            raise OtherIncarnationError(
                'another minion is there', step=step, peer=self.address
            )
        if answer.status == _CONFLICT:
            reason = self.decode_body(answer.body, _Refusal, step).reason
            raise FencedError(
                f'refused: {reason}', step=step, peer=self.address
            )
        raise AnswerLostError(
            f'status {answer.status}', step=step, peer=self.address
        )

    def decode_body(
        self, content: bytes, body_type: type[Any], step: str
    ) -> Any:
        """Return the decoded body of an answer.

        :param content: the body, as JSON.
        :param body_type: type to decode the body to.
        :param step: path of the order, reported in the error.
        :raises AnswerLostError: if the body cannot be decoded to that type.
        """
        try:
            return msgspec.json.decode(content, type=body_type)
        except msgspec.MsgspecError as error:
            raise AnswerLostError(
                str(error), step=step, peer=self.address
            ) from error


def _parse_run_end(row: list[Any]) -> RunEnd:
    """Return the end of a run from a row of a report."""
    position, name, number, reason = row[:4]
    outcome = _OUTCOMES.get(reason, 'stopped')
    return RunEnd(position, Run(name, number), outcome, reason)
