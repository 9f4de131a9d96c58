"""Parser of an engine's event stream, which keeps positions in order."""

import json
from dataclasses import dataclass, field

import orjson

__all__ = ["END_MARK", "EventStream", "Piece", "assemble"]

EVENT_END = b"\n\n"
END_MARK = b"data: [DONE]\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class Piece:
    """Whole events whose tokens follow each other from ``position`` on."""

    position: int
    data: bytes
    tokens: int


@dataclass(slots=True)
class EventStream:
    r"""Cut bytes into events and put them into the order of positions.

    Guards against a doubled or lost token when a stream is taken up again:
    an event below ``position`` was delivered before and is dropped, and one
    above it shows a gap, after which nothing more is taken from this
    connection. ``done`` is set by the end mark only, so that a connection
    that closes early is never taken for a whole answer. ``error`` is the
    engine's word for a request that it ended early. With ``single`` each token
    becomes a piece of its own, so that a receiver can join at any position.

    >>> stream = EventStream(position=1)
    >>> stream.feed(b'data: {"position": 0}\n\ndata: {"position": 1}\n\n')
    [Piece(position=1, data=b'data: {"position": 1}\n\n', tokens=1)]
    >>> stream.feed(b"data: [DONE]\n\n")
    []
    >>> stream.position, stream.done
    (2, True)
    """

    position: int = 0
    single: bool = False
    done: bool = False
    gap: bool = False
    error: str = ""
    _rest: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[Piece]:
        """Take bytes in and return what is new."""
        *events, self._rest = (self._rest + data).split(EVENT_END)
        first = self.position
        taken = [event + EVENT_END for event in events if self._take(event)]
        if self.single:
            return [Piece(first + at, event, 1) for at, event in enumerate(taken)]
        return [Piece(first, b"".join(taken), len(taken))] if taken else []

    def restart(self) -> None:
        """Forget the half event of a connection that is gone."""
        self._rest = b""
        self.gap = False

    def _take(self, event: bytes) -> bool:
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


def assemble(data: bytes) -> bytes:
    r"""Return the body of an answer that is not streamed from its events.

    >>> event = b'data: {"id": "r", "choices": [{"text": "a"}]}\n\n'
    >>> json.loads(assemble(event * 2))["choices"][0]["text"]
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
