"""The state of the configuration, a pure fold over the records of the log."""

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

#: Number of versions of a record that are kept, including the current one.
MAX_KEPT_VERSIONS = 10
#: Maximum number of verdicts that are kept.
MAX_VERDICTS = 2000

SETTLED = 'settled'
RETIRED = 'retired'


class RecordVersion(NamedTuple):
    """One version of a record."""

    version: int
    #: The value, None if this version removed the record.
    value: object
    change_id: str
    offset: int


class Verdict(NamedTuple):
    """The result of a change, which is the same at all readers."""

    change_id: str
    accepted: bool
    offset: int
    kind: str
    name: str
    #: Version of the record after the verdict.
    version: int


class State(NamedTuple):
    """The result of folding all records below an offset."""

    #: Offset of the next record.
    position: int
    #: Versions of each record, the newest last.
    records: Mapping[Key, tuple[RecordVersion, ...]]
    #: Verdicts by change id, the newest last.
    verdicts: Mapping[str, Verdict]

    def version(self, key: Key) -> int:
        """Return the current version of a record, 0 if it never existed.

        :param key: key of the record.
        """
        versions = self.records.get(key)
        return versions[-1].version if versions else 0

    def current_value(self, key: Key) -> object:
        """Return the current value of a record, None if it does not exist.

        :param key: key of the record.
        """
        versions = self.records.get(key)
        return versions[-1].value if versions else None


EMPTY_STATE = State(0, {}, {})


def fold(state: State, record: RawRecord) -> State:
    """Return the state after the next record.

    Values are not validated here: versions of the program may interpret a
    value differently, but must agree on the verdict on a change.

    :param state: covers all records before this one.
    :param record: the next record; one that is already covered is ignored.
    """
    if record.offset < state.position:
        return state
    parsed = parse_record(record.body)
    advanced = state._replace(position=record.offset + 1)
    if isinstance(parsed, Change) and parsed.change_id not in state.verdicts:
        return _decide(advanced, parsed, record.offset)
    return advanced


def fold_all(state: State, records: Iterable[RawRecord]) -> State:
    """Return the state after several records.

    :param state: covers all records before the first one.
    :param records: in the order of their offsets.
    """
    for record in records:
        state = fold(state, record)
    return state


def _decide(state: State, change: Change, offset: int) -> State:
    """Return the state with the verdict on a change with a new id."""
    accepted = state.version(change.key) == change.expected
    if accepted:
        state = state._replace(records=_add_version(state, change, offset))
    verdict = Verdict(
        change.change_id,
        accepted,
        offset,
        change.key.kind,
        change.key.name,
        state.version(change.key),
    )
    verdicts = {**state.verdicts, change.change_id: verdict}
    if len(verdicts) > MAX_VERDICTS:
        verdicts.pop(next(iter(verdicts)))
    return state._replace(verdicts=verdicts)


def _add_version(
    state: State, change: Change, offset: int
) -> Mapping[Key, tuple[RecordVersion, ...]]:
    """Return the records with the new version of an accepted change."""
    new_version = RecordVersion(
        change.expected + 1, change.value, change.change_id, offset
    )
    versions = (*state.records.get(change.key, ()), new_version)
    records = {**state.records, change.key: versions}
    if change.key.kind == SETTLEMENT:
        name = change.key.name.rpartition('@')[0]
        key = Key(AGREEMENT, name)
    else:
        key = change.key
    if key not in records:
        return records
    return {**records, key: _pruned_versions(records, key)}


def _pruned_versions(
    records: Mapping[Key, tuple[RecordVersion, ...]], key: Key
) -> tuple[RecordVersion, ...]:
    """Return the versions of a record that are still kept.

    Versions of agreements are kept until they are retired.
    """
    versions = records[key]
    surplus = len(versions) - MAX_KEPT_VERSIONS
    if surplus <= 0:
        return versions
    if key.kind != AGREEMENT:
        return versions[surplus:]
    return tuple(
        record_version
        for index, record_version in enumerate(versions)
        if index >= surplus
        or settlement_status(records, key.name, record_version.version)
        != RETIRED
    )


def settlement_key(agreement: str, version: int) -> Key:
    """Return the key of the record that settles an agreement version.

    :param agreement: name of the agreement.
    :param version: the version to settle.
    """
    return Key(SETTLEMENT, f'{agreement}@{version}')


def settlement_status(
    records: Mapping[Key, tuple[RecordVersion, ...]],
    agreement: str,
    version: int,
) -> str:
    """Return `settled`, `retired` or an empty text for an open version.

    :param records: the records of a state.
    :param agreement: name of the agreement.
    :param version: the version to look up.
    """
    versions = records.get(settlement_key(agreement, version))
    value = versions[-1].value if versions else None
    if not isinstance(value, dict):
        return ''
    status = value.get('status')
    return status if status in {SETTLED, RETIRED} else ''
