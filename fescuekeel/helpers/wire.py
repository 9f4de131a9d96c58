"""Codec between typed messages and Cap'n Proto frames."""

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
from fescuekeel.helpers.logging import log_event

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

# Shorter frames gain too little from compression.
MIN_COMPRESSED_BYTES = 1024
# First byte of a zlib stream. An uncompressed frame begins with its number of
# segments, which is always lower.
ZLIB_MAGIC = b"\x78"

SCALAR_TYPES = frozenset({bool, bytes, float, int, str})

Decoder = Callable[[Any], Any]
Encoder = Callable[[Any, Any], None]


def _to_camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _to_variant_name(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


KINDS_BY_VARIANT: dict[str, type] = {
    _to_variant_name(kind): kind for kind in typing.get_args(messages.WireMessage)
}
VARIANTS_BY_KIND = {kind: variant for variant, kind in KINDS_BY_VARIANT.items()}


@cache
def _make_encoder(kind: type) -> Encoder:
    """Return a function that sets a builder's fields from a message.

    Setting fields one by one is several times faster than a builder made from
    nested dicts. Zero and empty values are the schema's defaults and are
    omitted.
    """
    direct: list[tuple[str, str]] = []
    nested: list[tuple[str, str, Encoder]] = []
    lists: list[tuple[str, str, Encoder]] = []
    for name, wire_name, hint in _list_fields(kind):
        if isinstance(hint, types.GenericAlias):
            part = typing.get_args(hint)[0]
            if part in SCALAR_TYPES:
                direct.append((name, wire_name))
            else:
                lists.append((name, wire_name, _make_encoder(part)))
        elif dataclasses.is_dataclass(hint):
            nested.append((name, wire_name, _make_encoder(typing.cast(type, hint))))
        else:
            direct.append((name, wire_name))

    def encode_message(builder: Any, message: Any) -> None:
        for name, wire_name in direct:
            value = getattr(message, name)
            if value:
                setattr(builder, wire_name, value)
        for name, wire_name, encode_part in nested:
            encode_part(builder.init(wire_name), getattr(message, name))
        for name, wire_name, encode_part in lists:
            values = getattr(message, name)
            if not values:
                continue
            builders = builder.init(wire_name, len(values))
            for index, value in enumerate(values):
                encode_part(builders[index], value)

    return encode_message


@cache
def _make_decoder(kind: type) -> Decoder:
    """Return a function that builds a message from a reader.

    Reading by field object avoids pycapnp's lookup by name at each access.
    """
    wire_fields = getattr(SCHEMA, kind.__name__).schema.fields
    fields = tuple(
        (wire_fields[wire_name], _make_field_decoder(hint))
        for _, wire_name, hint in _list_fields(kind)
    )

    def decode_message(reader: Any) -> Any:
        read = reader._get_by_field
        values = []
        for wire_field, convert in fields:
            value = read(wire_field)
            values.append(value if convert is None else convert(value))
        return kind(*values)

    return decode_message


def _list_fields(kind: type) -> list[tuple[str, str, Any]]:
    hints = typing.get_type_hints(kind)
    return [
        (item.name, _to_camel(item.name), hints[item.name])
        for item in dataclasses.fields(kind)
    ]


def _make_field_decoder(hint: Any) -> Decoder | None:
    if isinstance(hint, types.GenericAlias):
        part = typing.get_args(hint)[0]
        if part in SCALAR_TYPES:
            return tuple
        decode_message = _make_decoder(part)
        return lambda values: tuple(decode_message(value) for value in values)
    if dataclasses.is_dataclass(hint):
        return _make_decoder(typing.cast(type, hint))
    if hint in SCALAR_TYPES:
        return None
    return typing.cast(Decoder, hint)


@cache
def _list_ranges(kind: type) -> dict[str, tuple[int, int]]:
    """Return the lowest and the highest value of each field with numbers."""
    wire_fields = getattr(SCHEMA, kind.__name__).schema.fields
    ranges_by_name = {}
    for name, wire_name, hint in _list_fields(kind):
        if hint is int:
            wire_type = wire_fields[wire_name].proto.slot.type.which()
            ranges_by_name[name] = _parse_range(str(wire_type))
    return ranges_by_name


def _parse_range(wire_type: str) -> tuple[int, int]:
    """Return the range of a type of numbers.

    >>> _parse_range("uint8"), _parse_range("int8")
    ((0, 255), (-128, 127))
    """
    bits = int(wire_type.lstrip("uint"))
    if wire_type.startswith("u"):
        return 0, 2**bits - 1
    return -(2 ** (bits - 1)), 2 ** (bits - 1) - 1


def _limit_numbers(message: Any) -> Any:
    """Return a message whose numbers fit the fields of its schema."""
    changes: dict[str, Any] = {}
    kind: type = type(message)
    for name, (low, high) in _list_ranges(kind).items():
        changes[name] = min(max(int(getattr(message, name)), low), high)
    for name, _, hint in _list_fields(kind):
        value = getattr(message, name)
        if dataclasses.is_dataclass(hint):
            changes[name] = _limit_numbers(value)
        elif isinstance(hint, types.GenericAlias):
            parts = typing.get_args(hint)[0]
            if dataclasses.is_dataclass(parts):
                changes[name] = tuple(_limit_numbers(part) for part in value)
    return dataclasses.replace(message, **changes)


def encode(envelope: messages.Envelope) -> bytes:
    """Encode a message as a frame; numbers beyond their field's are limited.

    >>> ping = messages.Envelope(7, 0, messages.Ping())
    >>> decode(encode(ping)).unwrap() == ping
    True
    >>> late = messages.Envelope(7, 0, messages.AllowanceAnswer(0.0, 2**40))
    >>> decode(encode(late)).unwrap().body.wait_ms == 2**32 - 1
    True
    """
    try:
        return _encode(envelope)
    except (OverflowError, capnp.KjException) as error:
        kind = type(envelope.body).__name__
        log_event("message_limited", kind=kind, error=str(error).splitlines()[0][:200])
        body = _limit_numbers(envelope.body)
        return _encode(dataclasses.replace(envelope, body=body))


def _encode(envelope: messages.Envelope) -> bytes:
    frame = SCHEMA.Envelope.new_message()
    frame.number = envelope.number
    frame.answers = envelope.answers
    kind: type = type(envelope.body)
    _make_encoder(kind)(frame.body.init(VARIANTS_BY_KIND[kind]), envelope.body)
    payload: bytes = frame.to_bytes()
    if len(payload) < MIN_COMPRESSED_BYTES:
        return payload
    return zlib.compress(payload, level=1)


def _decompress_payload(frame: bytes) -> bytes:
    """Return the payload of a frame, which may be compressed.

    The decompressed size is bounded, to reject decompression bombs.
    """
    if not frame.startswith(ZLIB_MAGIC):
        return frame
    unpacker = zlib.decompressobj()
    payload = unpacker.decompress(frame, MAX_FRAME_BYTES)
    if not unpacker.eof:
        raise ValueError("compressed frame is truncated or too long")
    return payload


def decode(frame: bytes) -> Result[messages.Envelope, Failure]:
    """Decode a frame; any error is returned as ``bad_frame``.

    All exceptions are caught, since pycapnp raises several unrelated types for
    malformed frames and missing fields.

    >>> decode(b"nonsense").failure().kind.value
    'bad_frame'
    """
    if len(frame) > MAX_FRAME_BYTES:
        return Err(Failure(ErrorKind.BAD_FRAME, f"{len(frame)} bytes"))
    try:
        with SCHEMA.Envelope.from_bytes(
            _decompress_payload(frame),
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        ) as reader:
            union = reader._get_by_field(BODY_FIELD)
            variant = union._which_str()
            decode_message = _make_decoder(KINDS_BY_VARIANT[variant])
            body = decode_message(union._get_by_field(VARIANT_FIELDS[variant]))
            number = reader._get_by_field(NUMBER_FIELD)
            answers = reader._get_by_field(ANSWERS_FIELD)
            return Success(messages.Envelope(number, answers, body))
    except Exception as error:
        return Err(Failure(ErrorKind.BAD_FRAME, str(error).splitlines()[0]))
