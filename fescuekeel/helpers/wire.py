"""Codec between typed messages and pycapnp frames."""

import dataclasses
import types
import typing
import zlib
from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any

import capnp
from returns.result import Failure as Err, Result, Success

from fescuekeel import messages
from fescuekeel.const import MAX_FRAME_BYTES
from fescuekeel.errors import ErrorKind, Failure

__all__ = ["decode", "encode"]

SCHEMA = capnp.load(
    str(Path(__file__).parent.parent / "schema" / "peer.capnp"), imports=[]
)
NUMBER_FIELD = SCHEMA.Envelope.schema.fields["number"]
ANSWERS_FIELD = SCHEMA.Envelope.schema.fields["answers"]
BODY_FIELD = SCHEMA.Envelope.schema.fields["body"]
VARIANT_FIELDS = BODY_FIELD.schema.fields
NESTING_LIMIT = 16
# The traversal limit counts words read, and text is read once.
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES

# Frames from this length on are compressed: news of a hundred members shrinks
# from 12 KB to 2, for 0.1 ms of processor. Short ones would gain a few bytes.
PACKED_BYTES = 1024
# The first byte of what zlib writes; a frame of pycapnp begins with the number
# of its segments, which is less.
PACKED_MARK = b"\x78"

PLAIN_TYPES = frozenset({bool, bytes, float, int, str})

Convert = Callable[[Any], Any]
Fill = Callable[[Any, Any], None]


def _to_camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _to_variant(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


KINDS_BY_VARIANT: dict[str, type] = {
    _to_variant(kind): kind for kind in typing.get_args(messages.WireMessage)
}
VARIANTS_BY_KIND = {kind: variant for variant, kind in KINDS_BY_VARIANT.items()}


@cache
def _make_fill(kind: type) -> Fill:
    """Return a function that sets a builder's fields from a message.

    Fields are set one by one, since a builder made from nested dicts costs
    several times as much. Zero and empty values are the schema's defaults and
    are left out.
    """
    plain: list[tuple[str, str]] = []
    nested: list[tuple[str, str, Fill]] = []
    lists: list[tuple[str, str, Fill]] = []
    for name, wire_name, hint in _list_fields(kind):
        if isinstance(hint, types.GenericAlias):
            part = typing.get_args(hint)[0]
            if part in PLAIN_TYPES:
                plain.append((name, wire_name))
            else:
                lists.append((name, wire_name, _make_fill(part)))
        elif dataclasses.is_dataclass(hint):
            nested.append((name, wire_name, _make_fill(typing.cast(type, hint))))
        else:
            plain.append((name, wire_name))

    def fill(builder: Any, message: Any) -> None:
        for name, wire_name in plain:
            value = getattr(message, name)
            if value:
                setattr(builder, wire_name, value)
        for name, wire_name, fill_part in nested:
            fill_part(builder.init(wire_name), getattr(message, name))
        for name, wire_name, fill_part in lists:
            values = getattr(message, name)
            if not values:
                continue
            builders = builder.init(wire_name, len(values))
            for index, value in enumerate(values):
                fill_part(builders[index], value)

    return fill


@cache
def _make_unpack(kind: type) -> Convert:
    """Return a function that makes a message from a reader.

    pycapnp looks a field up by its name at each access; by the field object
    it is four times as fast.
    """
    wire_fields = getattr(SCHEMA, kind.__name__).schema.fields
    fields = tuple(
        (wire_fields[wire_name], _make_converter(hint))
        for _, wire_name, hint in _list_fields(kind)
    )

    def unpack(reader: Any) -> Any:
        read = reader._get_by_field
        values = []
        for wire_field, convert in fields:
            value = read(wire_field)
            values.append(value if convert is None else convert(value))
        return kind(*values)

    return unpack


def _list_fields(kind: type) -> list[tuple[str, str, Any]]:
    hints = typing.get_type_hints(kind)
    return [
        (item.name, _to_camel(item.name), hints[item.name])
        for item in dataclasses.fields(kind)
    ]


def _make_converter(hint: Any) -> Convert | None:
    if isinstance(hint, types.GenericAlias):
        part = typing.get_args(hint)[0]
        if part in PLAIN_TYPES:
            return tuple
        unpack = _make_unpack(part)
        return lambda values: tuple(unpack(value) for value in values)
    if dataclasses.is_dataclass(hint):
        return _make_unpack(typing.cast(type, hint))
    if hint in PLAIN_TYPES:
        return None
    return typing.cast(Convert, hint)


def encode(envelope: messages.Envelope) -> bytes:
    """Return the frame of a message.

    >>> ping = messages.Envelope(7, 0, messages.Ping())
    >>> decode(encode(ping)).unwrap() == ping
    True
    """
    frame = SCHEMA.Envelope.new_message()
    frame.number = envelope.number
    frame.answers = envelope.answers
    kind: type = type(envelope.body)
    _make_fill(kind)(frame.body.init(VARIANTS_BY_KIND[kind]), envelope.body)
    payload: bytes = frame.to_bytes()
    if len(payload) < PACKED_BYTES:
        return payload
    return zlib.compress(payload, level=1)


def _unpack_payload(frame: bytes) -> bytes:
    """Return the payload of a frame, which may be compressed.

    Guards against a small frame that would unpack to more than any may hold.
    """
    if not frame.startswith(PACKED_MARK):
        return frame
    unpacker = zlib.decompressobj()
    payload = unpacker.decompress(frame, MAX_FRAME_BYTES)
    if not unpacker.eof:
        raise ValueError("a compressed frame that is cut, or too long")
    return payload


def decode(frame: bytes) -> Result[messages.Envelope, Failure]:
    """Parse a frame; whatever is wrong with it becomes ``bad_frame``.

    pycapnp raises its own exceptions, and more than one kind of them, on a
    malformed frame or a missing field, so that all are caught here.

    >>> decode(b"nonsense").failure().kind.value
    'bad_frame'
    """
    if len(frame) > MAX_FRAME_BYTES:
        return Err(Failure(ErrorKind.BAD_FRAME, f"{len(frame)} bytes"))
    try:
        with SCHEMA.Envelope.from_bytes(
            _unpack_payload(frame),
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        ) as reader:
            union = reader._get_by_field(BODY_FIELD)
            variant = union._which_str()
            unpack = _make_unpack(KINDS_BY_VARIANT[variant])
            body = unpack(union._get_by_field(VARIANT_FIELDS[variant]))
            number = reader._get_by_field(NUMBER_FIELD)
            answers = reader._get_by_field(ANSWERS_FIELD)
            return Success(messages.Envelope(number, answers, body))
    except Exception as error:
        return Err(Failure(ErrorKind.BAD_FRAME, str(error).splitlines()[0]))
