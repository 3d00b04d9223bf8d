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

#: Maximum number of 8-byte words that decoding one message may traverse.
TRAVERSAL_LIMIT_WORDS = 1048576
#: Maximum nesting depth of structures in a received message.
NESTING_LIMIT = 16

_INTEGER_BITS = (8, 16, 32, 64)
_KIND_HEADER = struct.Struct('>H')
#: Cap'n Proto types that a field of a Python type may have in its schema.
_SCALARS: Mapping[type[Any], frozenset[str]] = MappingProxyType(
    {
        bool: frozenset(('bool',)),
        int: frozenset(
            f'{sign}int{bits}' for sign in ('', 'u') for bits in _INTEGER_BITS
        ),
        float: frozenset(('float32', 'float64')),
        str: frozenset(('text',)),
        bytes: frozenset(('data',)),
    }
)


class Registration(NamedTuple):
    """A registered message type with its schema and conversions."""

    kind: int
    message_type: type[Any]
    schema: Any
    write: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


class Codec:
    """Encodes and decodes registered message types.

    A message is a `NamedTuple` whose fields are named after the fields of a
    Cap'n Proto structure and are of type int, float, str, bytes, bool,
    another such `NamedTuple`, or a `tuple[X, ...]` of these.
    """

    def __init__(self) -> None:
        """Create a codec without message types."""
        self.by_kind: dict[int, Registration] = {}
        self.by_type: dict[type[Any], Registration] = {}

    def register(
        self,
        schema_file: Path,
        messages: Mapping[int, type[Any]],
    ) -> None:
        """Register the message types of one slice.

        :param schema_file: `.capnp` file of the slice; each message type is
            named after its structure.
        :param messages: message types by kind number, 0 to 65535.
        :raises ValueError: if a kind is already registered or the fields of
            a message type do not match its structure.
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
                _make_writer(message_type, schema.schema),
                _make_reader(message_type, schema.schema),
            )
            self.by_kind[kind] = registration
            self.by_type[message_type] = registration

    def encode(self, message: Any) -> bytes:
        """Return a message as its kind followed by its packed structure.

        :param message: an instance of a registered message type.
        """
        registration = self.by_type[type(message)]
        builder = registration.schema.new_message()
        registration.write(builder, message)
        packed: bytes = builder.to_bytes_packed()
        return _KIND_HEADER.pack(registration.kind) + packed

    def decode(self, frame: bytes, peer: str = '') -> Any:
        """Return the message in a frame.

        :param frame: bytes as returned by `encode`.
        :param peer: name or address of the sender, for the error.
        :raises WireError: if the kind is not registered or the frame is not
            a valid message of its kind.
        """
        if len(frame) < _KIND_HEADER.size:
            raise WireError(
                f'frame of {len(frame)} bytes has no message kind',
                step='decode',
                peer=peer,
            )
        kind = _KIND_HEADER.unpack_from(frame)[0]
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
        """Return the message in a frame of a known kind.

        :param registration: registration of the frame's kind.
        :param frame: the whole frame, with its kind.
        """
        reader = registration.schema.from_bytes_packed(
            frame[_KIND_HEADER.size :],
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        )
        return registration.read(reader)


class _Field(NamedTuple):
    """A field of a message type, matched with the field of its structure."""

    #: Index in the message.
    position: int
    #: Python type of the field in the message.
    type_hint: Any
    #: Descriptor of the field in the Cap'n Proto structure.
    descriptor: Any


def _match_fields(message_type: type[Any], schema: Any) -> list[_Field]:
    """Return the fields of a message type.

    Raises `ValueError` unless they match the fields of the structure.
    """
    message_names = set(message_type._fields)
    schema_names = {_to_snake_case(name) for name in schema.fieldnames}
    if message_names != schema_names:
        differing = ', '.join(sorted(message_names ^ schema_names))
        raise ValueError(
            f'fields of {message_type.__name__} and its schema differ:'
            f' {differing}',
        )
    hints = get_type_hints(message_type)
    fields = [
        _Field(position, hints[name], schema.fields[_to_camel_case(name)])
        for position, name in enumerate(message_type._fields)
    ]
    for field in fields:
        _check_type(message_type, field)
    return fields


def _check_type(message_type: type[Any], field: _Field) -> None:
    """Raise `ValueError` unless the type of a field matches its schema.

    Explicit defaults in a schema are refused: `_make_writer` leaves out
    fields whose value is zero or empty.
    """
    slot = field.descriptor.proto.slot
    schema_type = slot.type.which()
    nested = 'list' if _element_type(field.type_hint) else 'struct'
    allowed = _SCALARS.get(field.type_hint, frozenset((nested,)))
    if schema_type not in allowed or slot.hadExplicitDefault:
        name = message_type._fields[field.position]
        raise ValueError(
            f'field {name!r} of {message_type.__name__} cannot be'
            f' a {schema_type} of its schema',
        )


def _to_snake_case(name: str) -> str:
    """Convert a camelCase name to snake_case."""
    return ''.join(
        f'_{char.lower()}' if char.isupper() else char for char in name
    )


def _to_camel_case(name: str) -> str:
    """Convert a snake_case name to camelCase."""
    head, *tail = name.split('_')
    return head + ''.join(part.capitalize() for part in tail)


def _element_type(type_hint: Any) -> Any:
    """Return X for `tuple[X, ...]`, None for any other type."""
    if get_origin(type_hint) is tuple:
        return get_args(type_hint)[0]
    return None


def _make_writer(
    message_type: type[Any], schema: Any
) -> Callable[[Any, Any], None]:
    """Return a function that copies a message into a builder."""
    field_writers = [
        (field.descriptor, _make_field_writer(field))
        for field in _match_fields(message_type, schema)
    ]

    def write(builder: Any, message: Any) -> None:  # noqa: WPS430
        # Setting by descriptor avoids a lookup by name. Zero and empty
        # values are the defaults of the schema and need not be written.
        set_field = builder._set_by_field  # noqa: WPS437
        for (descriptor, write_field), value in zip(
            field_writers, message, strict=True
        ):
            if not value:
                continue
            if write_field is None:
                set_field(descriptor, value)
            else:
                write_field(builder, value)

    return write


def _make_field_writer(field: _Field) -> Callable[[Any, Any], None] | None:
    """Return a function that writes a field, None if the field is a scalar."""
    if field.type_hint in _SCALARS:
        return None
    element = _element_type(field.type_hint)
    name = field.descriptor.proto.name
    if element is None:
        return _make_struct_writer(
            name, _make_writer(field.type_hint, field.descriptor.schema)
        )
    if element in _SCALARS:
        return _make_scalar_list_writer(name)
    return _make_list_writer(
        name, _make_writer(element, field.descriptor.schema.elementType)
    )


def _make_scalar_list_writer(name: str) -> Callable[[Any, Any], None]:
    """Return a function that writes a list of scalars."""

    def write_scalars(builder: Any, values: Any) -> None:  # noqa: WPS430
        setattr(builder, name, list(values))

    return write_scalars


def _make_struct_writer(
    name: str, write: Callable[[Any, Any], None]
) -> Callable[[Any, Any], None]:
    """Return a function that writes a nested message."""

    def write_struct(builder: Any, message: Any) -> None:  # noqa: WPS430
        write(builder.init(name), message)

    return write_struct


def _make_list_writer(
    name: str, write: Callable[[Any, Any], None]
) -> Callable[[Any, Any], None]:
    """Return a function that writes a list of nested messages."""

    def write_list(builder: Any, messages: Any) -> None:  # noqa: WPS430
        builders = builder.init(name, len(messages))
        for position, message in enumerate(messages):
            write(builders[position], message)

    return write_list


def _make_reader(message_type: type[Any], schema: Any) -> Callable[[Any], Any]:
    """Return a function that converts a Cap'n Proto reader to a message."""
    fields = _match_fields(message_type, schema)
    descriptors = [field.descriptor for field in fields]
    nested = [
        (field.position, _make_field_reader(field))
        for field in fields
        if field.type_hint not in _SCALARS
    ]
    make_message = message_type._make

    def read(reader: Any) -> Any:  # noqa: WPS430
        # Reading by descriptor avoids a lookup by name.
        values = list(map(reader._get_by_field, descriptors))  # noqa: WPS437
        for position, convert in nested:
            values[position] = convert(values[position])
        return make_message(values)

    return read


def _make_field_reader(field: _Field) -> Callable[[Any], Any]:
    """Return a function that converts a field that is not a scalar."""
    element = _element_type(field.type_hint)
    if element is None:
        return _make_reader(field.type_hint, field.descriptor.schema)
    if element in _SCALARS:
        return tuple
    convert = _make_reader(element, field.descriptor.schema.elementType)

    def read_list(elements: Any) -> Any:  # noqa: WPS430
        return tuple(map(convert, elements))

    return read_list
