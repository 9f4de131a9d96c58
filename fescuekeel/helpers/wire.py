"""Codec between typed messages and pycapnp frames."""

import dataclasses
import types
import typing
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
NESTING_LIMIT = 16
# The traversal limit counts words read, and text is read once.
TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES

Convert = Callable[[Any], Any]


def _to_camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _to_variant(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


KINDS_BY_VARIANT: dict[str, type] = {
    _to_variant(kind): kind for kind in typing.get_args(messages.WireMessage)
}


@cache
def _get_fields(kind: type) -> tuple[tuple[str, str, Convert, Convert], ...]:
    """Return name, wire name, packer and unpacker for each field."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (item.name, _to_camel(item.name), *_get_converters(hints[item.name]))
        for item in dataclasses.fields(kind)
    )


def _get_converters(hint: Any) -> tuple[Convert, Convert]:
    if isinstance(hint, types.GenericAlias):
        pack, unpack = _get_converters(typing.get_args(hint)[0])
        return (
            lambda values: [pack(value) for value in values],
            lambda values: tuple(unpack(value) for value in values),
        )
    if dataclasses.is_dataclass(hint):
        return _pack, lambda reader: _unpack(typing.cast(type, hint), reader)
    if hint is bytes:
        return bytes, bytes
    return hint, hint


def _pack(message: Any) -> dict[str, Any]:
    return {
        wire_name: pack(getattr(message, name))
        for name, wire_name, pack, _ in _get_fields(type(message))  # type: ignore[arg-type]
    }


def _unpack(kind: type, reader: Any) -> Any:
    return kind(
        *[
            unpack(getattr(reader, wire_name))
            for _, wire_name, _, unpack in _get_fields(kind)
        ]
    )


def encode(envelope: messages.Envelope) -> bytes:
    """Return the frame of a message.

    >>> ping = messages.Envelope(7, 0, messages.Ping())
    >>> decode(encode(ping)).unwrap() == ping
    True
    """
    body = {_to_variant(type(envelope.body)): _pack(envelope.body)}
    frame = SCHEMA.Envelope.new_message(
        number=envelope.number, answers=envelope.answers, body=body
    )
    return frame.to_bytes()


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
            frame,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        ) as reader:
            variant = reader.body.which()
            kind = KINDS_BY_VARIANT[str(variant)]
            body = _unpack(kind, getattr(reader.body, str(variant)))
            return Success(messages.Envelope(reader.number, reader.answers, body))
    except Exception as error:
        return Err(Failure(ErrorKind.BAD_FRAME, str(error).splitlines()[0]))
