"""Conversion between typed messages and packed Cap'n Proto bytes."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from types import MappingProxyType
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
    from collections.abc import Callable
    from pathlib import Path

#: Most 8-byte words that a received message may make the reader visit.
TRAVERSAL_LIMIT_WORDS = 1048576
#: Deepest nesting of structures in a received message.
NESTING_LIMIT = 16

_SIZES = (8, 16, 32, 64)
_KIND = struct.Struct('>H')
#: Types of Cap'n Proto that a Python type may have in a schema.
_SCALARS: Mapping[type[Any], frozenset[str]] = MappingProxyType(
    {
        bool: frozenset(('bool',)),
        int: frozenset(
            f'{sign}int{size}' for sign in ('', 'u') for size in _SIZES
        ),
        float: frozenset(('float32', 'float64')),
        str: frozenset(('text',)),
        bytes: frozenset(('data',)),
    }
)


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
            registration = Registration(
                kind,
                message_type,
                schema,
                _writer(message_type, schema.schema),
                _reader(message_type, schema.schema),
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


class _Field(NamedTuple):
    """One field of a message and of its structure."""

    #: Position in the message.
    position: int
    #: Type in the message.
    hint: Any
    #: How Cap'n Proto knows it.
    wire: Any


def _fields(message_type: type[Any], schema: Any) -> list[_Field]:
    """Return the fields of a message; raise unless they match the schema."""
    ours = set(message_type._fields)
    theirs = {_snake(name) for name in schema.fieldnames}
    if ours != theirs:
        differing = ', '.join(sorted(ours ^ theirs))
        raise ValueError(
            f'fields of {message_type.__name__} and its schema differ:'
            f' {differing}',
        )
    hints = get_type_hints(message_type)
    fields = [
        _Field(position, hints[name], schema.fields[_camel(name)])
        for position, name in enumerate(message_type._fields)
    ]
    for field in fields:
        _check_type(message_type, field)
    return fields


def _check_type(message_type: type[Any], field: _Field) -> None:
    """Raise unless a field has the type and the default of its schema."""
    slot = field.wire.proto.slot
    wire_type = slot.type.which()
    nested = 'list' if _element_type(field.hint) else 'struct'
    allowed = _SCALARS.get(field.hint, frozenset((nested,)))
    if wire_type not in allowed or slot.hadExplicitDefault:
        name = message_type._fields[field.position]
        raise ValueError(
            f'field {name!r} of {message_type.__name__} cannot be'
            f' a {wire_type} of its schema',
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


def _writer(message_type: type[Any], schema: Any) -> Callable[[Any, Any], None]:
    """Return a function that copies a message into a builder."""
    steps = [
        (field.wire, _field_writer(field))
        for field in _fields(message_type, schema)
    ]

    def write(builder: Any, message: Any) -> None:  # noqa: WPS430
        # Access by field spares the search for the name, and a schema's
        # default need not be written.
        set_field = builder._set_by_field  # noqa: WPS437
        for (wire, copy), value in zip(steps, message, strict=True):
            if not value:
                continue
            if copy is None:
                set_field(wire, value)
            else:
                copy(builder, value)

    return write


def _field_writer(field: _Field) -> Callable[[Any, Any], None] | None:
    """Return a function that writes a field, None for a scalar."""
    if field.hint in _SCALARS:
        return None
    element = _element_type(field.hint)
    name = field.wire.proto.name
    if element is None:
        return _struct_writer(name, _writer(field.hint, field.wire.schema))
    if element in _SCALARS:
        return _scalars_writer(name)
    return _list_writer(name, _writer(element, field.wire.schema.elementType))


def _scalars_writer(name: str) -> Callable[[Any, Any], None]:
    """Return a function that writes a list of scalars."""

    def copy(builder: Any, values: Any) -> None:  # noqa: WPS430
        setattr(builder, name, list(values))

    return copy


def _struct_writer(
    name: str, write: Callable[[Any, Any], None]
) -> Callable[[Any, Any], None]:
    """Return a function that writes a nested message."""

    def copy(builder: Any, message: Any) -> None:  # noqa: WPS430
        write(builder.init(name), message)

    return copy


def _list_writer(
    name: str, write: Callable[[Any, Any], None]
) -> Callable[[Any, Any], None]:
    """Return a function that writes a list of nested messages."""

    def copy(builder: Any, messages: Any) -> None:  # noqa: WPS430
        builders = builder.init(name, len(messages))
        for position, message in enumerate(messages):
            write(builders[position], message)

    return copy


def _reader(message_type: type[Any], schema: Any) -> Callable[[Any], Any]:
    """Return a function that makes a message from a reader."""
    fields = _fields(message_type, schema)
    wires = [field.wire for field in fields]
    nested = [
        (field.position, _field_reader(field))
        for field in fields
        if field.hint not in _SCALARS
    ]
    make = message_type._make

    def read(reader: Any) -> Any:  # noqa: WPS430
        # Access by field spares the search for the name.
        values = list(map(reader._get_by_field, wires))  # noqa: WPS437
        for position, convert in nested:
            values[position] = convert(values[position])
        return make(values)

    return read


def _field_reader(field: _Field) -> Callable[[Any], Any]:
    """Return a function that converts one field of a reader."""
    element = _element_type(field.hint)
    if element is None:
        return _reader(field.hint, field.wire.schema)
    if element in _SCALARS:
        return tuple
    convert = _reader(element, field.wire.schema.elementType)

    def read_all(elements: Any) -> Any:  # noqa: WPS430
        return tuple(map(convert, elements))

    return read_all
