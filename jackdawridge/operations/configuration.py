"""HTTP for operators about the configuration of the deployment."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import msgspec
from klein import Klein
from result import Err, Ok, Result

from jackdawridge.configuration.agreements import AgreementVersion
from jackdawridge.configuration.checks import check_value
from jackdawridge.configuration.publisher import ChangeOutcome, ChangeStatus
from jackdawridge.configuration.records import (
    MAX_IDENTIFIER_LENGTH,
    MAX_NAME_LENGTH,
    Change,
    Key,
)
from jackdawridge.configuration.state import SETTLED, settlement_key
from jackdawridge.util.web import write_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.configuration.entry import EntryConfiguration
    from jackdawridge.util.web import WebRequest

#: Longest value of a record as JSON, in bytes.
MAX_VALUE_BYTES = 65536
#: Time for the verdict on a change if the operator names none, in seconds.
DEFAULT_WAIT = 5.0
MAX_WAIT = 60.0

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404

_STATUS_CODES = {  # noqa: WPS407
    ChangeStatus.accepted: _OK,
    ChangeStatus.unknown: 202,
    ChangeStatus.conflict: 409,
    ChangeStatus.refused: 503,
}


class ChangeOrder(TypedDict):
    """What an operator asks for."""

    kind: str
    name: str
    #: The new value; null removes the record.
    value: object
    #: Version that the record must have; the current one if absent.
    expected: NotRequired[int]
    change_id: NotRequired[str]
    #: Time for the verdict in seconds.
    wait: NotRequired[float]
    #: Whether the order is only checked.
    dry_run: NotRequired[bool]


class SettleOrder(TypedDict):
    """Asks to close a version of an agreement to new work."""

    agreement: str
    version: int
    change_id: NotRequired[str]
    wait: NotRequired[float]


class ConfigurationResource:
    """Routes for operators, at an entry.

    :param entry: follows the log and publishes changes.
    """

    app = Klein()

    def __init__(self, entry: EntryConfiguration) -> None:
        """Keep the configuration."""
        self.entry = entry
        self.configuration = entry.configuration

    @app.route('/v1/configuration', methods=['GET'])
    def describe(self, request: WebRequest) -> bytes:
        """Tell how current this entry is.

        :param request: of an operator.
        """
        return reply(request, _OK, self.entry.status_document())

    @app.route('/v1/configuration/records', methods=['GET'])
    def records(self, request: WebRequest) -> bytes:
        """Return the current records, all or those of a kind or a name.

        :param request: of an operator.
        """
        kind = read_text(request, b'kind')
        name = read_text(request, b'name')
        found = [
            describe_record(key, versions[-1]._asdict())
            for key, versions in self.configuration.state.records.items()
            if kind in {'', key.kind} and name in {'', key.name}
        ]
        return reply(
            request,
            _OK,
            {'position': self.configuration.position, 'records': found},
        )

    @app.route('/v1/configuration/history', methods=['GET'])
    def history(self, request: WebRequest) -> bytes:
        """Return the kept versions of a record, the oldest first.

        :param request: of an operator.
        """
        key = Key(read_text(request, b'kind'), read_text(request, b'name'))
        versions = self.configuration.state.records.get(key, ())
        found = [describe_record(key, each._asdict()) for each in versions]
        return reply(
            request,
            _OK if found else _NOT_FOUND,
            {'position': self.configuration.position, 'records': found},
        )

    @app.route('/v1/configuration/changes', methods=['POST'])
    async def change(self, request: WebRequest) -> bytes:
        """Publish a change and say what became of it.

        :param request: of an operator.
        """
        read = read_order(request, ChangeOrder)
        checked = read.and_then(self.check)
        if isinstance(checked, Err):
            return invalid(request, checked.err_value)
        order: Any = read.ok()
        change = checked.ok_value
        if order.get('dry_run', False):
            return reply(request, _OK, self.foresee(change))
        wait = order.get('wait', DEFAULT_WAIT)
        return await self.publish(request, change, wait)

    @app.route('/v1/configuration/changes/<change_id>', methods=['GET'])
    def look_up(self, request: WebRequest, change_id: str) -> bytes:
        """Tell what became of a change.

        :param request: of an operator.
        :param change_id: of the change.
        """
        outcome = self.entry.publisher.look_up(change_id)
        if outcome is None:
            outcome = ChangeOutcome(
                ChangeStatus.unknown,
                change_id,
                0,
                -1,
                f'not in the log before offset {self.entry.position},'
                f' as of {self.entry.log_age():.1f} s ago',
            )
        return reply_outcome(request, outcome)

    @app.route('/v1/configuration/confirmations', methods=['GET'])
    async def confirmations(self, request: WebRequest) -> bytes:
        """Tell which sides have put an offset in force.

        :param request: of an operator.
        """
        failure_domain = read_text(request, b'failure_domain')
        position = read_text(request, b'position')
        if not position.isdecimal():
            return invalid(
                request, f'position: {position!r} is not a whole number'
            )
        known = await self.entry.confirmations.gather(
            failure_domain, int(position)
        )
        document = {
            'confirmed': sorted(known.confirmed),
            'missing': sorted(known.missing),
        }
        return reply(request, _OK, document)

    @app.route('/v1/configuration/settlements', methods=['POST'])
    async def settle(self, request: WebRequest) -> bytes:
        """Close a version of an agreement to new work.

        :param request: of an operator.
        """
        read = read_order(request, SettleOrder)
        if isinstance(read, Err):
            return invalid(request, read.err_value)
        order = read.ok_value
        pinned = AgreementVersion(order['agreement'], order['version'])
        refusal = self.configuration.work_refusal(*pinned)
        key = settlement_key(*pinned)
        expected = self.configuration.state.version(key)
        if refusal and not expected:
            return invalid(request, refusal)
        change = Change(
            key,
            expected,
            order.get('change_id') or f'settle-{uuid.uuid4().hex}',
            {'status': SETTLED},
        )
        if expected and refusal:
            change = change._replace(
                change_id=self.configuration.state.records[key][-1].change_id
            )
        wait = order.get('wait', DEFAULT_WAIT)
        return await self.publish(request, change, wait)

    @app.route('/v1/configuration/settlements', methods=['GET'])
    async def open_work(self, request: WebRequest) -> bytes:
        """Tell how much work is under a version of an agreement.

        :param request: of an operator.
        """
        version = read_text(request, b'version')
        if not version.isdecimal():
            return invalid(
                request, f'version: {version!r} is not a whole number'
            )
        pinned = AgreementVersion(
            read_text(request, b'agreement'), int(version)
        )
        left = await self.entry.retirement.count_open_work(pinned)
        document = {
            'status': self.configuration.work_refusal(*pinned) or 'open',
            'retired': self.configuration.is_retired(*pinned),
            'open_work': left.work,
            'silent_entries': list(left.silent),
        }
        return reply(request, _OK, document)

    async def publish(
        self, request: WebRequest, change: Change, wait: float
    ) -> bytes:
        """Publish a checked change and answer the operator.

        :param request: of the operator.
        :param change: to publish.
        :param wait: for the verdict, in seconds.
        """
        bounded = min(max(wait, 0), MAX_WAIT)
        outcome = await self.entry.publisher.publish(change, bounded)
        return reply_outcome(request, outcome)

    def check(self, order: ChangeOrder) -> Result[Change, str]:
        """Return the change that an order asks for, or what is wrong.

        :param order: of an operator.
        """
        key = Key(order['kind'], order['name'])
        change_id = order.get('change_id') or uuid.uuid4().hex
        for label, word, longest in (
            ('kind', key.kind, MAX_IDENTIFIER_LENGTH),
            ('name', key.name, MAX_NAME_LENGTH),
            ('change_id', change_id, MAX_IDENTIFIER_LENGTH),
        ):
            if not 0 < len(word) <= longest:
                return Err(
                    f'{label}: allowed: a text of 1 to {longest} characters'
                )
        if len(msgspec.json.encode(order['value'])) > MAX_VALUE_BYTES:
            return Err(f'value: allowed: at most {MAX_VALUE_BYTES} bytes')
        expected = order.get('expected', self.configuration.state.version(key))
        if expected < 0:
            return Err(f'expected: {expected} is not allowed: 0 or more')
        change = Change(key, expected, change_id, order['value'])
        return check_value(key, order['value']).map(lambda _: change)

    def foresee(self, change: Change) -> Mapping[str, object]:
        """Return what would become of a change now.

        :param change: that is not published.
        """
        current = self.configuration.state.version(change.key)
        return {
            'status': 'valid' if current == change.expected else 'conflict',
            'change_id': change.change_id,
            'version': current,
            'current': self.configuration.state.current_value(change.key),
            'value': change.value,
        }


def describe_record(
    key: Key, versioned: Mapping[str, object]
) -> Mapping[str, object]:
    """Return a version of a record as operators see it.

    :param key: of the record.
    :param versioned: the fields of the version.
    """
    return {**key._asdict(), **versioned}


def read_text(request: WebRequest, name: bytes) -> str:
    """Return a text of the query, empty if it is absent.

    :param request: of an operator.
    :param name: of the text.
    """
    return request.args.get(name, [b''])[0].decode(errors='replace')


def read_order(request: WebRequest, order_type: Any) -> Result[Any, str]:
    """Return the order in a body, or what is wrong with it.

    :param request: of an operator.
    :param order_type: a TypedDict.
    """
    try:
        return Ok(msgspec.json.decode(request.content.read(), type=order_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))


def reply(
    request: WebRequest, code: int, document: Mapping[str, object]
) -> bytes:
    """Return a document as the body of an answer.

    :param request: to answer.
    :param code: status of HTTP.
    :param document: encoded as JSON.
    """
    request.setResponseCode(code)
    return write_json(request, document)


def reply_outcome(request: WebRequest, outcome: ChangeOutcome) -> bytes:
    """Answer with what became of a change.

    :param request: to answer.
    :param outcome: of the change.
    """
    document = {**outcome._asdict(), 'status': outcome.status.value}
    return reply(request, _STATUS_CODES[outcome.status], document)


def invalid(request: WebRequest, reason: str) -> bytes:
    """Refuse an order that is not valid.

    :param request: to answer.
    :param reason: naming what is allowed.
    """
    document = {'status': 'invalid', 'reason': reason}
    return reply(request, _BAD_REQUEST, document)
