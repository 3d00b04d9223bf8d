"""Serialization of a state for snapshots in the log and for peers."""

from __future__ import annotations

import base64
import binascii
import zlib
from typing import NamedTuple

import msgspec

from jackdawridge.configuration.records import (
    Key,
    SnapshotDocument,
    SnapshotRecord,
)
from jackdawridge.configuration.state import RecordVersion, State, Verdict
from jackdawridge.errors import Category, JackdawridgeError

#: Maximum size of a decompressed state, in bytes.
MAX_STATE_BYTES = 33554432


class SnapshotError(JackdawridgeError):
    """A packed state is invalid."""

    category = Category.invalid


class RecordHistory(NamedTuple):
    """The kept versions of one record."""

    kind: str
    name: str
    versions: tuple[RecordVersion, ...]


class PackedState(NamedTuple):
    """The serialized form of a state."""

    position: int
    records: tuple[RecordHistory, ...]
    verdicts: tuple[Verdict, ...]


def pack(state: State) -> bytes:
    """Serialize and compress a state.

    :param state: the state to pack.
    """
    packed = PackedState(
        state.position,
        tuple(
            RecordHistory(key.kind, key.name, versions)
            for key, versions in state.records.items()
        ),
        tuple(state.verdicts.values()),
    )
    return zlib.compress(msgspec.json.encode(packed))


def unpack(packed: bytes) -> State:
    """Decompress and deserialize a state.

    :param packed: the bytes that `pack` returned.
    :raises SnapshotError: if the bytes are not a packed state or the state
        exceeds `MAX_STATE_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(packed, MAX_STATE_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error), step='unpack state') from error
    if not decompressor.eof:
        raise SnapshotError(
            f'state is truncated or larger than {MAX_STATE_BYTES} bytes',
            step='unpack state',
        )
    try:
        content = msgspec.json.decode(decompressed, type=PackedState)
    except (msgspec.DecodeError, UnicodeDecodeError) as decode_error:
        raise SnapshotError(
            str(decode_error), step='unpack state'
        ) from decode_error
    return State(
        content.position,
        {
            Key(history.kind, history.name): history.versions
            for history in content.records
        },
        {verdict.change_id: verdict for verdict in content.verdicts},
    )


def snapshot_document(state: State) -> SnapshotDocument:
    """Return the JSON document of a snapshot of a state.

    :param state: the state to write.
    """
    return {
        'type': 'snapshot',
        'as_of': state.position,
        'state': base64.b64encode(pack(state)).decode(),
    }


def restore_state(record: SnapshotRecord) -> State | None:
    """Return the state of a snapshot, None if it is invalid or inconsistent.

    :param record: the snapshot, which any client may have written.
    """
    try:
        state = unpack(base64.b64decode(record.state, validate=True))
    except (SnapshotError, binascii.Error, ValueError):
        return None
    return state if state.position == record.as_of else None
