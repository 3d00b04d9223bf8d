"""The configuration as a pure fold over the records of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.configuration.records import (
    AGREEMENT,
    SETTLEMENT,
    Change,
    Key,
    parse_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.configuration.records import RawRecord

#: Versions of a record that are kept, the current one included.
HISTORY_LENGTH = 10
#: Change ids whose verdict is kept.
VERDICT_LIMIT = 2000

SETTLED = 'settled'
RETIRED = 'retired'


class Versioned(NamedTuple):
    """One version of a record."""

    version: int
    #: The value, or None if this version removed the record.
    value: object
    change_id: str
    offset: int


class Verdict(NamedTuple):
    """What became of a change, the same at all readers."""

    change_id: str
    accepted: bool
    offset: int
    kind: str
    name: str
    #: Version of the record after the change was judged.
    version: int


class State(NamedTuple):
    """What the records below an offset add up to."""

    #: Offset of the next record.
    position: int
    #: Versions of each record, the newest last.
    records: Mapping[Key, tuple[Versioned, ...]]
    #: Verdicts by change id, the newest last.
    verdicts: Mapping[str, Verdict]

    def version(self, key: Key) -> int:
        """Return the current version of a record, 0 if there is none.

        :param key: the record.
        """
        versions = self.records.get(key)
        return versions[-1].version if versions else 0

    def current(self, key: Key) -> object:
        """Return the current value of a record, None if there is none.

        :param key: the record.
        """
        versions = self.records.get(key)
        return versions[-1].value if versions else None


EMPTY = State(0, {}, {})


def fold(state: State, record: RawRecord) -> State:
    """Return the state after the next record.

    Values are not judged here: what a value means may differ between
    versions of the program, the outcome of a change must not.

    :param state: covers all records before this one.
    :param record: the next record; one that is covered changes nothing.
    """
    if record.offset < state.position:
        return state
    entry = parse_record(record.body)
    after = state._replace(position=record.offset + 1)
    if isinstance(entry, Change) and entry.change_id not in state.verdicts:
        return _judge(after, entry, record.offset)
    return after


def fold_all(state: State, records: Iterable[RawRecord]) -> State:
    """Return the state after several records.

    :param state: covers all records before the first one.
    :param records: in the order of their offsets.
    """
    for record in records:
        state = fold(state, record)
    return state


def _judge(state: State, change: Change, offset: int) -> State:
    """Return the state with the verdict on a change of an unseen id."""
    accepted = state.version(change.key) == change.expected
    if accepted:
        state = state._replace(records=_put(state, change, offset))
    verdict = Verdict(
        change.change_id,
        accepted,
        offset,
        change.key.kind,
        change.key.name,
        state.version(change.key),
    )
    verdicts = {**state.verdicts, change.change_id: verdict}
    if len(verdicts) > VERDICT_LIMIT:
        verdicts.pop(next(iter(verdicts)))
    return state._replace(verdicts=verdicts)


def _put(
    state: State, change: Change, offset: int
) -> Mapping[Key, tuple[Versioned, ...]]:
    """Return the records with an accepted change."""
    added = Versioned(
        change.expected + 1, change.value, change.change_id, offset
    )
    versions = (*state.records.get(change.key, ()), added)
    records = {**state.records, change.key: versions}
    if change.key.kind == SETTLEMENT:
        name = change.key.name.rpartition('@')[0]
        key = Key(AGREEMENT, name)
    else:
        key = change.key
    if key not in records:
        return records
    return {**records, key: _prune(records, key)}


def _prune(
    records: Mapping[Key, tuple[Versioned, ...]], key: Key
) -> tuple[Versioned, ...]:
    """Return the versions of a record that are still kept.

    A version of an agreement is kept until it is retired.
    """
    versions = records[key]
    surplus = len(versions) - HISTORY_LENGTH
    if surplus <= 0:
        return versions
    if key.kind != AGREEMENT:
        return versions[surplus:]
    return tuple(
        versioned
        for index, versioned in enumerate(versions)
        if index >= surplus
        or status_of(records, key.name, versioned.version) != RETIRED
    )


def settlement_key(agreement: str, version: int) -> Key:
    """Return the key of the record that settles a version of an agreement.

    :param agreement: its name.
    :param version: the version.
    """
    return Key(SETTLEMENT, f'{agreement}@{version}')


def status_of(
    records: Mapping[Key, tuple[Versioned, ...]], agreement: str, version: int
) -> str:
    """Return `settled`, `retired` or an empty text for an open version.

    :param records: of a state.
    :param agreement: its name.
    :param version: the version.
    """
    versions = records.get(settlement_key(agreement, version))
    value = versions[-1].value if versions else None
    if not isinstance(value, dict):
        return ''
    status = value.get('status')
    return status if status in {SETTLED, RETIRED} else ''
