"""Records of the configuration stream, read leniently and written strictly."""

from __future__ import annotations

from typing import Literal, NamedTuple, TypedDict

import msgspec

#: Longest name of a record, in characters.
MAX_NAME_LENGTH = 200
#: Longest kind of a record and longest change id, in characters.
MAX_WORD_LENGTH = 100

AGREEMENT = 'agreement'
SETTLEMENT = 'settlement'
SERVICE = 'service'
FAILURE_DOMAIN = 'failure_domain'
TEAM = 'team'
LIMITS = 'limits'
#: Kinds that this version understands; others are kept and passed over.
KINDS = (AGREEMENT, SETTLEMENT, SERVICE, FAILURE_DOMAIN, TEAM, LIMITS)


class Key(NamedTuple):
    """Identifies one record."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the key as operators write it."""
        return f'{self.kind}/{self.name}'


class ChangeDocument(TypedDict):
    """A change as it stands in the log."""

    type: Literal['change']
    kind: str
    name: str
    #: Version that the record has after the change.
    version: int
    #: Version that the record must have before it; 0 if it must not exist.
    expected: int
    change_id: str
    #: The new value; null removes the record, its version goes on counting.
    value: object


class SnapshotDocument(TypedDict):
    """A snapshot as it stands in the log."""

    type: Literal['snapshot']
    #: The state covers all offsets below this one.
    as_of: int
    #: The state, packed by `snapshot.pack`, in base64.
    state: str


class Change(NamedTuple):
    """A change of one record."""

    key: Key
    #: Version that the record must have; 0 if it must not exist.
    expected: int
    change_id: str
    #: The new value, or None to remove the record.
    value: object

    def document(self) -> ChangeDocument:
        """Return the change as it is written to the log."""
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
    """A snapshot of the state."""

    as_of: int
    state: str


class Unreadable(NamedTuple):
    """A record that no reader of this version can use."""

    reason: str


LogEntry = Change | SnapshotRecord | Unreadable


class RawRecord(NamedTuple):
    """A record as the log returned it."""

    offset: int
    #: Its JSON text.
    body: bytes


def parse_record(body: bytes) -> LogEntry:
    """Return what a record means; never raise.

    :param body: the JSON text of the record, written by anyone.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Unreadable(f'no JSON: {error}')
    try:
        return _convert(document)
    except (msgspec.ValidationError, RecursionError) as error:
        return Unreadable(str(error))


def _convert(document: object) -> LogEntry:
    """Return the entry of a parsed record."""
    kind = document.get('type') if isinstance(document, dict) else None
    if kind == 'change':
        return _change(msgspec.convert(document, ChangeDocument))
    if kind == 'snapshot':
        snapshot = msgspec.convert(document, SnapshotDocument)
        return SnapshotRecord(snapshot['as_of'], snapshot['state'])
    return Unreadable(f'type {kind!r} is not known')


def _change(document: ChangeDocument) -> Change | Unreadable:
    """Return the change of a checked document unless it contradicts itself."""
    key = Key(document['kind'], document['name'])
    expected = document['expected']
    change_id = document['change_id']
    if document['version'] != expected + 1 or expected < 0:
        return Unreadable('version is not the expected version plus one')
    if not _is_word(key.kind, MAX_WORD_LENGTH):
        return Unreadable('kind is empty or too long')
    if not _is_word(key.name, MAX_NAME_LENGTH):
        return Unreadable('name is empty or too long')
    if not _is_word(change_id, MAX_WORD_LENGTH):
        return Unreadable('change id is empty or too long')
    return Change(key, expected, change_id, document['value'])


def _is_word(text: str, longest: int) -> bool:
    """Return whether a text has a length from 1 to a limit."""
    return 0 < len(text) <= longest
