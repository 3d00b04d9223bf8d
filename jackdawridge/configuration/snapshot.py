"""Packing of a whole state for the log and for peers."""

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
from jackdawridge.configuration.state import State, Verdict, Versioned
from jackdawridge.errors import Category, JackdawridgeError

#: Largest state that is unpacked, in bytes.
MAX_STATE_BYTES = 33554432


class SnapshotError(JackdawridgeError):
    """A packed state cannot be read."""

    category = Category.invalid


class RecordHistory(NamedTuple):
    """The kept versions of one record."""

    kind: str
    name: str
    versions: tuple[Versioned, ...]


class PackedState(NamedTuple):
    """A state in the form in which it is packed."""

    position: int
    records: tuple[RecordHistory, ...]
    verdicts: tuple[Verdict, ...]


def pack(state: State) -> bytes:
    """Return a state as compressed bytes.

    :param state: any state.
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
    """Return the state in compressed bytes.

    :param packed: what `pack` returned.
    :raises SnapshotError: if the bytes are anything else.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(packed, MAX_STATE_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error), step='unpack state') from error
    if not inflater.eof:
        raise SnapshotError(
            f'state is cut short or over {MAX_STATE_BYTES} bytes',
            step='unpack state',
        )
    try:
        content = msgspec.json.decode(text, type=PackedState)
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        raise SnapshotError(str(broken), step='unpack state') from broken
    return State(
        content.position,
        {Key(each.kind, each.name): each.versions for each in content.records},
        {verdict.change_id: verdict for verdict in content.verdicts},
    )


def snapshot_document(state: State) -> SnapshotDocument:
    """Return the snapshot of a state as it is written to the log.

    :param state: any state.
    """
    return {
        'type': 'snapshot',
        'as_of': state.position,
        'state': base64.b64encode(pack(state)).decode(),
    }


def restore(record: SnapshotRecord) -> State | None:
    """Return the state of a snapshot in the log, None if it is unusable.

    :param record: written by anyone.
    """
    try:
        state = unpack(base64.b64decode(record.state, validate=True))
    except (SnapshotError, binascii.Error, ValueError):
        return None
    return state if state.position == record.as_of else None
