"""Conversion between typed messages and packed Cap'n Proto bytes."""

from __future__ import annotations

import struct
from typing import (
    TYPE_CHECKING,
    Any,
    NamedTuple,
    get_args,
    get_origin,
    get_type_hints,
)

import capnp

from jackdawridge.errors import WireError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

#: Most 8-byte words that a received message may make the reader visit.
TRAVERSAL_LIMIT_WORDS = 1048576
#: Deepest nesting of structures in a received message.
NESTING_LIMIT = 16

_KIND = struct.Struct('>H')
_SCALARS = (int, float, str, bytes, bool)


class Registration(NamedTuple):
    """How one message type is written and read."""

    kind: int
    message_type: type[Any]
    schema: Any
    write: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


class Codec:
    """Encodes and decodes the message types that were registered.

    A message is a `NamedTuple` whose fields have the names of the fields of
    a Cap'n Proto structure and are of type int, float, str, bytes, bool,
    another such `NamedTuple`, or a `tuple[X, ...]` of these.
    """

    def __init__(self) -> None:
        """Make a codec that knows no message yet."""
        self.by_kind: dict[int, Registration] = {}
        self.by_type: dict[type[Any], Registration] = {}

    def register(
        self,
        schema_file: Path,
        messages: Mapping[int, type[Any]],
    ) -> None:
        """Add the messages of one slice.

        :param schema_file: the slice's `.capnp` file; each message has the
            name of its structure.
        :param messages: message types by their kind number, 0 to 65535.
        :raises ValueError: if a kind is taken or a field does not match.
        """
        module = capnp.load(str(schema_file))
        for kind, message_type in messages.items():
            if kind in self.by_kind:
                raise ValueError(f'message kind {kind} is already registered')
            schema = getattr(module, message_type.__name__)
            _check_fields(message_type, schema)
            registration = Registration(
                kind,
                message_type,
                schema,
                _writer(message_type),
                _reader(message_type),
            )
            self.by_kind[kind] = registration
            self.by_type[message_type] = registration

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message.

        :param message: an instance of a registered type.
        """
        registration = self.by_type[type(message)]
        builder = registration.schema.new_message()
        registration.write(builder, message)
        packed: bytes = builder.to_bytes_packed()
        return _KIND.pack(registration.kind) + packed

    def decode(self, frame: bytes, peer: str = '') -> Any:
        """Return the message in a frame.

        :param frame: the bytes that `encode` returned.
        :param peer: named in the error.
        :raises WireError: if the frame is not a valid known message.
        """
        if len(frame) < _KIND.size:
            raise WireError(
                f'frame of {len(frame)} bytes has no message kind',
                step='decode',
                peer=peer,
            )
        kind = _KIND.unpack_from(frame)[0]
        registration = self.by_kind.get(kind)
        if registration is None:
            raise WireError(
                f'message kind {kind} is not known', step='decode', peer=peer
            )
        try:
            return self.read(registration, frame)
        except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
            name = registration.message_type.__name__
            raise WireError(
                f'message {name} is malformed: {error}',
                step='decode',
                peer=peer,
            ) from error

    def read(self, registration: Registration, frame: bytes) -> Any:
        """Read a frame by its registration.

        :param registration: that of the frame's kind.
        :param frame: the whole frame.
        """
        reader = registration.schema.from_bytes_packed(
            frame[_KIND.size :],
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        )
        return registration.read(reader)


def _check_fields(message_type: type[Any], schema: Any) -> None:
    """Raise unless a message type and its structure have the same fields."""
    ours = set(message_type._fields)
    theirs = {_snake(name) for name in schema.schema.fieldnames}
    if ours != theirs:
        differing = ', '.join(sorted(ours ^ theirs))
        raise ValueError(
            f'fields of {message_type.__name__} and its schema differ:'
            f' {differing}',
        )


def _snake(name: str) -> str:
    """Return a camelCase name in snake_case."""
    return ''.join(
        f'_{char.lower()}' if char.isupper() else char for char in name
    )


def _camel(name: str) -> str:
    """Return a snake_case name in camelCase."""
    head, *tail = name.split('_')
    return head + ''.join(part.capitalize() for part in tail)


def _element_type(hint: Any) -> Any:
    """Return X for `tuple[X, ...]`, else None."""
    if get_origin(hint) is tuple:
        return get_args(hint)[0]
    return None


def _writer(message_type: type[Any]) -> Callable[[Any, Any], None]:
    """Return a function that copies a message into a builder."""
    hints = get_type_hints(message_type)
    steps = [
        (name, _camel(name), _field_writer(hints[name]))
        for name in message_type._fields
    ]

    def write(builder: Any, message: Any) -> None:  # noqa: WPS430
        for name, wire_name, copy in steps:
            copy(builder, wire_name, getattr(message, name))

    return write


def _field_writer(hint: Any) -> Callable[[Any, str, Any], None]:
    """Return a function that writes one field of a builder."""
    element = _element_type(hint)
    if element is None:
        return setattr if hint in _SCALARS else _struct_writer(hint)
    if element in _SCALARS:
        return _write_scalars
    return _list_writer(element)


def _write_scalars(builder: Any, name: str, values: Any) -> None:
    """Write a list of scalars."""
    if values:
        setattr(builder, name, list(values))


def _struct_writer(hint: Any) -> Callable[[Any, str, Any], None]:
    """Return a function that writes a nested message."""
    write = _writer(hint)

    def copy(builder: Any, name: str, message: Any) -> None:  # noqa: WPS430
        write(builder.init(name), message)

    return copy


def _list_writer(element: Any) -> Callable[[Any, str, Any], None]:
    """Return a function that writes a list of nested messages."""
    write = _writer(element)

    def copy(builder: Any, name: str, messages: Any) -> None:  # noqa: WPS430
        if not messages:
            return
        builders = builder.init(name, len(messages))
        for position, message in enumerate(messages):
            write(builders[position], message)

    return copy


def _reader(message_type: type[Any]) -> Callable[[Any], Any]:
    """Return a function that makes a message from a reader."""
    hints = get_type_hints(message_type)
    steps = [
        (_camel(name), _field_reader(hints[name]))
        for name in message_type._fields
    ]

    def read(reader: Any) -> Any:  # noqa: WPS430
        return message_type(
            *(convert(getattr(reader, name)) for name, convert in steps)
        )

    return read


def _field_reader(hint: Any) -> Callable[[Any], Any]:
    """Return a function that converts one field of a reader."""
    element = _element_type(hint)
    if element is None:
        return hint if hint in _SCALARS else _reader(hint)
    convert = element if element in _SCALARS else _reader(element)

    def read_all(elements: Any) -> Any:  # noqa: WPS430
        return tuple(convert(item) for item in elements)

    return read_all
