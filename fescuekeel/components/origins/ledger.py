"""Store which service and software version began a stream; pure."""

from dataclasses import dataclass, field

from fescuekeel.components.origins.const import MAX_STREAMS

__all__ = ["AMBIGUOUS", "OriginLedger", "StreamOrigin"]


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version whose endpoint began a stream."""

    service: str
    software: str


# Marks an id that was used for streams of two origins.
AMBIGUOUS = StreamOrigin("", "")


@dataclass(slots=True)
class OriginLedger:
    """Streams by the id of the attempt that brought their first event.

    Bounded in number and time; the oldest go first. An id that comes again
    with another origin is ambiguous.

    >>> ledger = OriginLedger()
    >>> ledger.record("r1", StreamOrigin("s", "v1"), until=9.0, now=0.0)
    >>> ledger.find("r1", now=2.0).software, ledger.find("r1", now=9.0)
    ('v1', None)
    >>> ledger.record("r1", StreamOrigin("s", "v2"), until=9.0, now=1.0)
    >>> ledger.find("r1", now=2.0) is AMBIGUOUS
    True
    """

    max_streams: int = MAX_STREAMS
    _entries_by_id: dict[str, tuple[StreamOrigin, float]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of streams, with those that have expired."""
        return len(self._entries_by_id)

    def record(self, id: str, origin: StreamOrigin, until: float, now: float) -> None:
        """Store the origin of a stream until a time."""
        known = self.find(id, now)
        if known is not None and known != origin:
            origin = AMBIGUOUS
        self._entries_by_id.pop(id, None)
        if len(self._entries_by_id) >= self.max_streams:
            del self._entries_by_id[next(iter(self._entries_by_id))]
        self._entries_by_id[id] = origin, until

    def find(self, id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it is not known."""
        origin, until = self._entries_by_id.get(id, (None, 0.0))
        return origin if now < until else None

    def expire(self, now: float) -> None:
        """Remove streams that have expired."""
        for id, (_, until) in list(self._entries_by_id.items()):
            if now >= until:
                del self._entries_by_id[id]
