"""Records of the configuration stream, parsed leniently, written strictly."""

from __future__ import annotations

from typing import Literal, NamedTuple, TypedDict

import msgspec

#: Maximum length of a record's name, in characters.
MAX_NAME_LENGTH = 200
#: Maximum length of a record's kind and of a change id, in characters.
MAX_IDENTIFIER_LENGTH = 100

AGREEMENT = 'agreement'
SETTLEMENT = 'settlement'
SERVICE = 'service'
FAILURE_DOMAIN = 'failure_domain'
TEAM = 'team'
LIMITS = 'limits'
#: Kinds that this version understands; records of others are kept but ignored.
KINDS = (AGREEMENT, SETTLEMENT, SERVICE, FAILURE_DOMAIN, TEAM, LIMITS)


class Key(NamedTuple):
    """The key of a record."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the key as `kind/name`."""
        return f'{self.kind}/{self.name}'


class ChangeDocument(TypedDict):
    """JSON document of a change in the log."""

    type: Literal['change']
    kind: str
    name: str
    #: Version of the record after the change.
    version: int
    #: Version that the record must have before the change; 0 if it must not
    #: exist.
    expected: int
    change_id: str
    #: The new value. Null removes the record, whose version still increases.
    value: object


class SnapshotDocument(TypedDict):
    """JSON document of a snapshot in the log."""

    type: Literal['snapshot']
    #: Position of the state, which covers all offsets below it.
    as_of: int
    #: The state as packed by `snapshot.pack`, encoded in base64.
    state: str


class Change(NamedTuple):
    """A change of one record."""

    key: Key
    #: Version that the record must have before the change; 0 if it must not
    #: exist.
    expected: int
    change_id: str
    #: The new value, None to remove the record.
    value: object

    def document(self) -> ChangeDocument:
        """Return the JSON document of the change."""
        return {
            'type': 'change',
            'kind': self.key.kind,
            'name': self.key.name,
            'version': self.expected + 1,
            'expected': self.expected,
            'change_id': self.change_id,
            'value': self.value,
        }


class SnapshotRecord(NamedTuple):
    """A snapshot of the state as parsed from the log."""

    as_of: int
    state: str


class UnreadableRecord(NamedTuple):
    """A record that this version cannot interpret."""

    reason: str


ParsedRecord = Change | SnapshotRecord | UnreadableRecord


class RawRecord(NamedTuple):
    """A record as returned by the log."""

    offset: int
    #: JSON text of the record.
    body: bytes


def parse_record(body: bytes) -> ParsedRecord:
    """Parse a record; an invalid one gives `UnreadableRecord`.

    Never raises, because any client of the log may have written the record.

    :param body: JSON text of the record.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return UnreadableRecord(f'not valid JSON: {error}')
    try:
        return _parse_document(document)
    except (msgspec.ValidationError, RecursionError) as error:
        return UnreadableRecord(str(error))


def _parse_document(document: object) -> ParsedRecord:
    """Convert a decoded record by its type."""
    kind = document.get('type') if isinstance(document, dict) else None
    if kind == 'change':
        return _parse_change(msgspec.convert(document, ChangeDocument))
    if kind == 'snapshot':
        snapshot = msgspec.convert(document, SnapshotDocument)
        return SnapshotRecord(snapshot['as_of'], snapshot['state'])
    return UnreadableRecord(f'type {kind!r} is not known')


def _parse_change(document: ChangeDocument) -> Change | UnreadableRecord:
    """Convert the document of a change, unless it is inconsistent."""
    key = Key(document['kind'], document['name'])
    expected = document['expected']
    change_id = document['change_id']
    if document['version'] != expected + 1 or expected < 0:
        return UnreadableRecord('version is not the expected version plus one')
    if not _has_valid_length(key.kind, MAX_IDENTIFIER_LENGTH):
        return UnreadableRecord('kind is empty or too long')
    if not _has_valid_length(key.name, MAX_NAME_LENGTH):
        return UnreadableRecord('name is empty or too long')
    if not _has_valid_length(change_id, MAX_IDENTIFIER_LENGTH):
        return UnreadableRecord('change id is empty or too long')
    return Change(key, expected, change_id, document['value'])


def _has_valid_length(text: str, max_length: int) -> bool:
    """Return whether a text is not empty and at most `max_length` long."""
    return 0 < len(text) <= max_length
