"""Split a server-sent event stream into events and track the last id."""

__all__ = ["EventSplitter"]

ID_FIELD = b"id:"
# The limit of buffered bytes without the end of an event.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    r"""Buffer an event until it is complete.

    Guards against a stream that breaks within an event: after a resume, the
    fragment would be prepended to the next event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.buffered
    ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.buffered = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete."""
        self.buffered += data
        end = self.buffered.rfind(b"\n\n")
        if end < 0:
            if len(self.buffered) > MAX_EVENT_BYTES:
                raise ValueError("event is longer than the buffer limit")
            return b""
        whole, self.buffered = self.buffered[: end + 2], self.buffered[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        return whole

    def drop_buffered(self) -> None:
        """Discard an incomplete event."""
        self.buffered = b""
