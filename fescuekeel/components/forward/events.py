"""Hold back an event of a stream until it is complete."""

from fescuekeel.helpers.event_stream import BYTE_ORDER_MARK, EventTracker

__all__ = ["EventSplitter"]

# Longer events are passed on before they are complete.
MAX_HELD_BYTES = 1024 * 1024


class EventSplitter:
    r"""Return the whole events of a stream that several endpoints may send.

    Guards against a stream that breaks within an event: the caller would get
    its fragment together with the event with which the stream goes on.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.within_event
    ('1', True)
    """

    def __init__(self) -> None:
        self._tracker = EventTracker()
        self._last_id = ""
        self._id_is_last = True
        self._held = bytearray()
        self._is_later_part = False
        self._passed_fragment = False

    @property
    def last_id(self) -> str:
        """Return the id of the last whole event that has one."""
        return self._tracker.last_id or self._last_id

    @property
    def within_event(self) -> bool:
        """Return whether a stream that ended here would break an event off."""
        return self._tracker.within_event

    @property
    def has_events(self) -> bool:
        """Return whether this part has brought a whole event."""
        return self._tracker.has_events

    @property
    def can_go_on(self) -> bool:
        """Return whether a stream after ``last_id`` repeats nothing."""
        if self._passed_fragment:
            return False
        return self._tracker.id_is_last and (
            bool(self._tracker.last_id) or self._id_is_last
        )

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that are not part of an unfinished event."""
        held_before = len(self._held)
        boundary = self._tracker.feed(data)
        self._held += data
        if boundary >= 0:
            passed = self._take(held_before + boundary)
            self._passed_fragment = False
        else:
            passed = b""
        if len(self._held) > MAX_HELD_BYTES:
            passed += self._take(len(self._held))
            self._passed_fragment = True
        return passed

    def take_rest(self) -> bytes:
        """Return what is left at the end of a stream, such as a comment."""
        return self._take(len(self._held))

    def _take(self, length: int) -> bytes:
        taken = bytes(self._held[:length])
        del self._held[:length]
        if self._is_later_part and taken:
            # Within a stream the mark would be part of a field's name.
            taken = taken.removeprefix(BYTE_ORDER_MARK)
            self._is_later_part = False
        return taken

    def begin_next_part(self) -> None:
        """Discard an unfinished event before another endpoint resumes."""
        self._last_id = self.last_id
        self._id_is_last = self.can_go_on
        self._held.clear()
        self._tracker = EventTracker()
        self._is_later_part = True
