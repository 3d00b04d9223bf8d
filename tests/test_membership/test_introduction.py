"""Tests of introductions between processes of successive versions."""

from __future__ import annotations

from typing import NamedTuple, get_type_hints

import pytest

from jackdawridge.membership.messages import SCHEMA, Introduction
from jackdawridge.wire.codec import Codec

SENT = Introduction('side', 's1', 'i', 'd', '', 'desk', 4, 64, 0, 8, 3)


# A schema can be loaded only once in a process.
@pytest.fixture(scope='module')
def codecs(tmp_path_factory: pytest.TempPathFactory) -> tuple[Codec, Codec]:
    """Return the codecs of this version and of the one before."""
    present = Codec()
    present.register(SCHEMA, {200: Introduction})
    schema = tmp_path_factory.mktemp('schema') / 'earlier.capnp'
    schema.write_text(
        SCHEMA.read_text()
        .replace('  workerKind @13 :Text;\n  capacity @14 :Float64;\n', '')
        .replace('@0xb3f1c4a2d5e60718', '@0xb3f1c4a2d5e60719')
    )
    fields = [
        one
        for one in get_type_hints(Introduction).items()
        if one[0] not in {'worker_kind', 'capacity'}
    ]
    # The codec finds the structure by the name of the type.
    earlier_type = NamedTuple('Introduction', fields)  # type: ignore[misc]
    earlier = Codec()
    earlier.register(schema, {200: earlier_type})
    return present, earlier


class TestEarlierVersion:
    """A process of the version before knows no kind of worker."""

    def test_it_reads_the_other_fields(
        self, codecs: tuple[Codec, Codec]
    ) -> None:
        present, earlier = codecs
        frame = present.encode(SENT._replace(worker_kind='b'))
        assert tuple(earlier.decode(frame)) == tuple(SENT)[:-2]

    def test_its_workers_have_no_kind(
        self, codecs: tuple[Codec, Codec]
    ) -> None:
        present, earlier = codecs
        earlier_type = next(iter(earlier.by_type))
        frame = earlier.encode(earlier_type(*tuple(SENT)[:-2]))
        assert present.decode(frame) == SENT
