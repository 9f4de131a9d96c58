"""Split a stream into whole events and know the last one's id."""

__all__ = ["EventSplitter"]

ID_FIELD = b"id:"
# An event that does not end within so many bytes is no event.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Hold back the part of an event that has no end yet.

    Guards against a stream that breaks in the middle of an event: the piece
    would stand in front of the event that comes when the stream is resumed.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.held
    ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.held = b""

    def feed(self, data: bytes) -> bytes:
        """Return all whole events."""
        self.held += data
        end = self.held.rfind(b"\n\n")
        if end < 0:
            if len(self.held) > MAX_EVENT_BYTES:
                raise ValueError("an event does not end")
            return b""
        whole, self.held = self.held[: end + 2], self.held[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        return whole

    def drop_held(self) -> None:
        """Forget the part of an event that never ended."""
        self.held = b""
