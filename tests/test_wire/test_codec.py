"""Tests of encoding and decoding messages."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.configuration import messages as configuration
from jackdawridge.errors import WireError
from jackdawridge.execution import messages as execution
from jackdawridge.membership import messages as membership
from jackdawridge.wire.codec import Codec


class Offer(NamedTuple):
    """A message whose field `memory` has another type than in the schema."""

    cores: float
    memory: str
    accelerators: int
    hold: float


def make_codec() -> Codec:
    codec = Codec()
    codec.register(configuration.SCHEMA, configuration.MESSAGES)
    codec.register(execution.SCHEMA, execution.MESSAGES)
    codec.register(membership.SCHEMA, membership.MESSAGES)
    return codec


CODEC = make_codec()


def messages() -> st.SearchStrategy[Any]:
    st.register_type_strategy(int, st.integers(0, 2**31 - 1))
    st.register_type_strategy(float, st.floats(allow_nan=False))
    return st.sampled_from(list(CODEC.by_type)).flatmap(st.from_type)


class TestCodec:
    @given(messages())
    def test_decoding_reverses_encoding(self, message: Any) -> None:
        assert CODEC.decode(CODEC.encode(message)) == message

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_wire_errors(self, frame: bytes) -> None:
        try:
            CODEC.decode(frame)
        except WireError as error:
            assert error.step == 'decode'

    @given(messages(), st.data())
    def test_corrupt_messages_raise_only_wire_errors(
        self, message: Any, data: st.DataObject
    ) -> None:
        frame = bytearray(CODEC.encode(message))
        position = data.draw(st.integers(0, len(frame) - 1))
        frame[position] ^= data.draw(st.integers(1, 255))
        end = data.draw(st.integers(0, len(frame)))
        try:
            CODEC.decode(bytes(frame[:end]))
        except WireError as error:
            assert error.step == 'decode'

    def test_kind_cannot_be_registered_twice(self) -> None:
        codec = make_codec()
        with pytest.raises(ValueError, match='already registered'):
            codec.register(execution.SCHEMA, execution.MESSAGES)

    def test_field_type_must_match_the_schema(self) -> None:
        with pytest.raises(ValueError, match="'memory' of Offer"):
            Codec().register(execution.SCHEMA, {1: Offer})
