"""Parser for an engine's event stream, ordered by token position."""

import json
from dataclasses import dataclass, field

import orjson

__all__ = ["END_MARK", "EventStream", "StreamChunk", "assemble_body"]

EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"


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
    sets ``gap``, after which the rest of the connection is ignored. Only the
    end mark sets ``done``, so a connection that closes early never counts as
    a complete response. ``error`` is the error that the engine reported for a
    request that it aborted. With ``one_token_per_chunk``, a receiver can join
    at any position.

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
        received = self._buffer + self._normalize_line_ends(data)
        *events, self._buffer = received.split(EVENT_END)
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


def assemble_body(data: bytes) -> bytes:
    r"""Build the body of a response that is not streamed from stream events.

    >>> event = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
    >>> json.loads(assemble_body(event * 2))["choices"][0]["text"]
    'aa'
    """
    events = [
        json.loads(event[len(DATA_PREFIX) :])
        for event in data.split(EVENT_END)
        if event
    ]
    if not events:
        return b"{}"
    texts = [event["choices"][0].get("text", "") for event in events]
    whole = {key: value for key, value in events[-1].items() if key != "position"}
    whole["choices"] = [{**events[-1]["choices"][0], "text": "".join(texts)}]
    whole["usage"] = {"completion_tokens": len(events)}
    return json.dumps(whole).encode()
