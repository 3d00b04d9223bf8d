"""HTTP interface for operators: the configuration of the deployment."""

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

#: Longest value of a record, encoded as JSON, in bytes.
MAX_VALUE_BYTES = 65536
#: Timeout for the verdict on a change if the operator states none, in seconds.
DEFAULT_WAIT_TIME = 5.0
#: Longest timeout for the verdict on a change, in seconds.
MAX_WAIT_TIME = 60.0

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404

_STATUS_CODES = {  # noqa: WPS407
    ChangeStatus.accepted: _OK,
    ChangeStatus.unknown: 202,
    ChangeStatus.conflict: 409,
    ChangeStatus.refused: 503,
}


class ChangeRequest(TypedDict):
    """Body of a request to change a record."""

    kind: str
    name: str
    #: New value of the record; null removes it.
    value: object
    #: Version that the record must have, by default the current one.
    expected: NotRequired[int]
    change_id: NotRequired[str]
    #: Timeout for the verdict, in seconds.
    wait: NotRequired[float]
    #: Whether the change is only validated.
    dry_run: NotRequired[bool]


class SettleRequest(TypedDict):
    """Body of a request to close a version of an agreement to new work."""

    agreement: str
    version: int
    change_id: NotRequired[str]
    wait: NotRequired[float]


class ConfigurationResource:
    """Serves the configuration at an entry and publishes changes.

    :param entry: configuration component, which follows and extends the log.
    """

    app = Klein()

    def __init__(self, entry: EntryConfiguration) -> None:
        """Create the resource; Klein binds the routes."""
        self.entry = entry
        self.configuration = entry.configuration

    @app.route('/v1/configuration', methods=['GET'])
    def status(self, request: WebRequest) -> bytes:
        """Return how current the configuration at this entry is.

        :param request: the request of an operator.
        """
        return reply(request, _OK, self.entry.status_document())

    @app.route('/v1/configuration/records', methods=['GET'])
    def records(self, request: WebRequest) -> bytes:
        """Return the current records, optionally of one kind or one name.

        :param request: the request of an operator.
        """
        kind = query_parameter(request, b'kind')
        name = query_parameter(request, b'name')
        found = [
            record_document(key, versions[-1]._asdict())
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
        """Return the retained versions of a record, the oldest first.

        :param request: the request of an operator.
        """
        key = Key(
            query_parameter(request, b'kind'), query_parameter(request, b'name')
        )
        versions = self.configuration.state.records.get(key, ())
        found = [
            record_document(key, version._asdict()) for version in versions
        ]
        return reply(
            request,
            _OK if found else _NOT_FOUND,
            {'position': self.configuration.position, 'records': found},
        )

    @app.route('/v1/configuration/changes', methods=['POST'])
    async def change(self, request: WebRequest) -> bytes:
        """Validate and publish a change; return its outcome.

        :param request: the request of an operator.
        """
        decoded = decode_body(request, ChangeRequest)
        checked = decoded.and_then(self.check)
        if isinstance(checked, Err):
            return reply_invalid(request, checked.err_value)
        body: Any = decoded.ok()
        change = checked.ok_value
        if body.get('dry_run', False):
            return reply(request, _OK, self.preview(change))
        wait = body.get('wait', DEFAULT_WAIT_TIME)
        return await self.publish(request, change, wait)

    @app.route('/v1/configuration/changes/<change_id>', methods=['GET'])
    def look_up(self, request: WebRequest, change_id: str) -> bytes:
        """Return the outcome of a change.

        It is `unknown` if the change is not in the log as this entry knows it.

        :param request: the request of an operator.
        :param change_id: id of the change.
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
        """Return which sides of a failure domain have put an offset in force.

        :param request: the request of an operator.
        """
        failure_domain = query_parameter(request, b'failure_domain')
        position = query_parameter(request, b'position')
        if not position.isdecimal():
            return reply_invalid(
                request, f'position: {position!r} is not a whole number'
            )
        confirmations = await self.entry.confirmations.gather(
            failure_domain, int(position)
        )
        document = {
            'confirmed': sorted(confirmations.confirmed),
            'missing': sorted(confirmations.missing),
        }
        return reply(request, _OK, document)

    @app.route('/v1/configuration/settlements', methods=['POST'])
    async def settle(self, request: WebRequest) -> bytes:
        """Close a version of an agreement to new work.

        Closing a closed version returns the outcome of the first request.

        :param request: the request of an operator.
        """
        decoded = decode_body(request, SettleRequest)
        if isinstance(decoded, Err):
            return reply_invalid(request, decoded.err_value)
        body = decoded.ok_value
        agreement_version = AgreementVersion(body['agreement'], body['version'])
        refusal = self.configuration.work_refusal(*agreement_version)
        key = settlement_key(*agreement_version)
        expected = self.configuration.state.version(key)
        if refusal and not expected:
            return reply_invalid(request, refusal)
        change = Change(
            key,
            expected,
            body.get('change_id') or f'settle-{uuid.uuid4().hex}',
            {'status': SETTLED},
        )
        if expected and refusal:
            change = change._replace(
                change_id=self.configuration.state.records[key][-1].change_id
            )
        wait = body.get('wait', DEFAULT_WAIT_TIME)
        return await self.publish(request, change, wait)

    @app.route('/v1/configuration/settlements', methods=['GET'])
    async def open_work(self, request: WebRequest) -> bytes:
        """Return the open work under a version of an agreement.

        :param request: the request of an operator.
        """
        version = query_parameter(request, b'version')
        if not version.isdecimal():
            return reply_invalid(
                request, f'version: {version!r} is not a whole number'
            )
        agreement_version = AgreementVersion(
            query_parameter(request, b'agreement'), int(version)
        )
        remaining = await self.entry.retirement.count_open_work(
            agreement_version
        )
        document = {
            'status': self.configuration.work_refusal(*agreement_version)
            or 'open',
            'retired': self.configuration.is_retired(*agreement_version),
            'open_work': remaining.work,
            'silent_entries': list(remaining.silent),
        }
        return reply(request, _OK, document)

    async def publish(
        self, request: WebRequest, change: Change, wait: float
    ) -> bytes:
        """Publish a valid change and answer with its outcome.

        :param request: the request of the operator.
        :param change: the change to publish.
        :param wait: timeout for the verdict, in seconds, cut to
            `MAX_WAIT_TIME`.
        """
        bounded = min(max(wait, 0), MAX_WAIT_TIME)
        outcome = await self.entry.publisher.publish(change, bounded)
        return reply_outcome(request, outcome)

    def check(self, body: ChangeRequest) -> Result[Change, str]:
        """Return the requested change, or an error text if it is invalid.

        :param body: the decoded body of the request.
        """
        key = Key(body['kind'], body['name'])
        change_id = body.get('change_id') or uuid.uuid4().hex
        for label, text, max_length in (
            ('kind', key.kind, MAX_IDENTIFIER_LENGTH),
            ('name', key.name, MAX_NAME_LENGTH),
            ('change_id', change_id, MAX_IDENTIFIER_LENGTH),
        ):
            if not 0 < len(text) <= max_length:
                return Err(
                    f'{label}: allowed: a text of 1 to {max_length} characters'
                )
        if len(msgspec.json.encode(body['value'])) > MAX_VALUE_BYTES:
            return Err(f'value: allowed: at most {MAX_VALUE_BYTES} bytes')
        expected = body.get('expected', self.configuration.state.version(key))
        if expected < 0:
            return Err(f'expected: {expected} is not allowed: 0 or more')
        change = Change(key, expected, change_id, body['value'])
        return check_value(key, body['value']).map(lambda _: change)

    def preview(self, change: Change) -> Mapping[str, object]:
        """Return the outcome that a change would have now, for a dry run.

        :param change: a valid change, which is not published.
        """
        current = self.configuration.state.version(change.key)
        return {
            'status': 'valid' if current == change.expected else 'conflict',
            'change_id': change.change_id,
            'version': current,
            'current': self.configuration.state.current_value(change.key),
            'value': change.value,
        }


def record_document(
    key: Key, version_fields: Mapping[str, object]
) -> Mapping[str, object]:
    """Return a version of a record as a JSON document.

    :param key: key of the record.
    :param version_fields: fields of the version.
    """
    return {**key._asdict(), **version_fields}


def query_parameter(request: WebRequest, name: bytes) -> str:
    """Return a parameter of the query, empty if it is absent.

    :param request: the request of an operator.
    :param name: name of the parameter.
    """
    return request.args.get(name, [b''])[0].decode(errors='replace')


def decode_body(request: WebRequest, body_type: Any) -> Result[Any, str]:
    """Return the decoded body of a request, or an error text.

    :param request: the request of an operator.
    :param body_type: TypedDict that describes the body.
    """
    try:
        return Ok(msgspec.json.decode(request.content.read(), type=body_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))


def reply(
    request: WebRequest, code: int, document: Mapping[str, object]
) -> bytes:
    """Set the status of an answer and return its body.

    :param request: the request to answer.
    :param code: HTTP status code.
    :param document: content of the body, which is encoded as JSON.
    """
    request.setResponseCode(code)
    return write_json(request, document)


def reply_outcome(request: WebRequest, outcome: ChangeOutcome) -> bytes:
    """Answer with the outcome of a change and its status code.

    :param request: the request to answer.
    :param outcome: outcome of the change.
    """
    document = {**outcome._asdict(), 'status': outcome.status.value}
    return reply(request, _STATUS_CODES[outcome.status], document)


def reply_invalid(request: WebRequest, reason: str) -> bytes:
    """Answer that a request is invalid.

    :param request: the request to answer.
    :param reason: text that names the fault and what is allowed.
    """
    document = {'status': 'invalid', 'reason': reason}
    return reply(request, _BAD_REQUEST, document)
