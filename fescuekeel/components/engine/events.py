"""Parser for an engine's event stream, ordered by token position."""

import json
from dataclasses import dataclass, field
from typing import Any

import orjson

__all__ = ["END_MARK", "BodyAssembler", "EventStream", "StreamChunk"]

EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"
# An event holds a few tokens. Each part of a longer one would be searched
# again for its end.
MAX_EVENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class StreamChunk:
    """Complete events with consecutive tokens starting at ``position``."""

    position: int
    data: bytes
    tokens: int


@dataclass(slots=True)
class EventStream:
    r"""Split a byte stream into events and check their token positions.

    Guards against duplicate or lost tokens when a stream is resumed: events
    below ``position`` were already delivered and are dropped; one above it
    sets ``gap``, after which the rest of the connection is ignored, and so
    does an event that does not end. Only the end mark sets ``done``, so a
    connection that closes early never counts as a complete response.
    ``error`` is the error that the engine reported for a request that it
    aborted. With ``one_token_per_chunk``, a receiver can join at any position.

    >>> stream = EventStream(position=1)
    >>> stream.feed(b'data: {"position": 0}\n\ndata: {"position": 1}\n\n')
    [StreamChunk(position=1, data=b'data: {"position": 1}\n\n', tokens=1)]
    >>> stream.feed(b"data: [DONE]\n\n")
    []
    >>> stream.position, stream.done
    (2, True)
    """

    position: int = 0
    one_token_per_chunk: bool = False
    done: bool = False
    gap: bool = False
    error: str = ""
    _buffer: bytes = field(default=b"")
    _after_return: bool = False

    def feed(self, data: bytes) -> list[StreamChunk]:
        """Parse received bytes and return the new chunks."""
        if self.gap:
            return []
        received = self._buffer + self._normalize_line_ends(data)
        *events, self._buffer = received.split(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.gap, self._buffer = True, b""
        first = self.position
        accepted = [event + EVENT_END for event in events if self._accept(event)]
        if self.one_token_per_chunk:
            return [
                StreamChunk(first + at, event, 1) for at, event in enumerate(accepted)
            ]
        return (
            [StreamChunk(first, b"".join(accepted), len(accepted))] if accepted else []
        )

    def reset(self) -> None:
        """Discard the partial event of a closed connection."""
        self._buffer = b""
        self._after_return = False
        self.gap = False

    def _normalize_line_ends(self, data: bytes) -> bytes:
        """Let each line end with LF; engines may use CRLF or CR."""
        if self._after_return:
            data = data.removeprefix(b"\n")
        if data:
            self._after_return = data.endswith(b"\r")
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _accept(self, event: bytes) -> bool:
        if self.done or self.gap or not event.startswith(DATA_PREFIX):
            return False
        payload = event[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.done = True
            return False
        position = self._read_position(payload)
        if position is None or position > self.position:
            self.gap = True
            return False
        if position < self.position:
            return False
        self.position += 1
        return True

    def _read_position(self, payload: bytes) -> int | None:
        try:
            fields = orjson.loads(payload)
        except orjson.JSONDecodeError:
            return None
        if not isinstance(fields, dict):
            return None
        if "error" in fields:
            self.error = str(fields["error"]) or "error"
        position = fields.get("position")
        return position if isinstance(position, int) else None


class BodyAssembler:
    r"""Build the body of a response that is not streamed from stream events.

    Events are decoded as they come, so that no iteration of the event loop
    decodes all of a long response.

    >>> assembler = BodyAssembler()
    >>> event = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
    >>> assembler.add(event)
    >>> assembler.add(event)
    >>> json.loads(assembler.build())["choices"][0]["text"]
    'aa'
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._last: dict[str, Any] = {}

    def add(self, data: bytes) -> None:
        """Add complete events."""
        for event in filter(None, data.split(EVENT_END)):
            self._last = json.loads(event[len(DATA_PREFIX) :])
            self._texts.append(self._last["choices"][0].get("text", ""))

    def build(self) -> bytes:
        """Return the body."""
        if not self._texts:
            return b"{}"
        whole = {key: value for key, value in self._last.items() if key != "position"}
        whole["choices"] = [{**self._last["choices"][0], "text": "".join(self._texts)}]
        whole["usage"] = {"completion_tokens": len(self._texts)}
        return json.dumps(whole).encode()
