r"""Follow server-sent event streams, whatever ends their lines; pure.

A line ends with LF, CRLF or CR, and an empty line ends an event (WHATWG HTML,
"Server-sent events", 9.2.5). Comments and ``retry`` lines take effect by
themselves, so a stream may end after one of them.

>>> tracker = EventTracker()
>>> tracker.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda")
18
>>> tracker.last_id, tracker.within_event
('1', True)
"""

import re

__all__ = ["BYTE_ORDER_MARK", "EventTracker"]

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")
LINE_FEED = b"\n"
CARRIAGE_RETURN = b"\r"
# Longer lines are followed, but their values are not read.
MAX_LINE_BYTES = 4096
NO_BOUNDARY = -1


def is_header_value(text: str) -> bool:
    r"""Return whether a text can be sent as the value of a header.

    >>> is_header_value("7"), is_header_value(""), is_header_value("7\x00")
    (True, False, False)
    """
    return bool(text) and all(char >= " " and char != "\x7f" for char in text)


class EventTracker:
    """Find where the events of one stream end, without storing them.

    ``last_id`` is the id of the last event that is complete. ``id_is_last``
    is false if events with data but without a usable id have followed it: a
    stream that goes on after ``last_id`` would repeat these. ``has_events`` is
    true once an event is complete.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.has_events = False
        self.id_is_last = True
        self._line = bytearray()
        self._is_first_line = True
        self._has_fields = False
        self._has_data = False
        self._id: str | None = None
        self._has_line_feeds = False
        # Lines have ended with a carriage return alone.
        self._has_bare_returns = False
        self._may_be_half_line_end = False
        self._ignores_line_feed = False

    @property
    def within_event(self) -> bool:
        """Return whether a stream that ended here would break an event off."""
        if self._is_first_line and self._line == BYTE_ORDER_MARK:
            return False
        return self._has_fields or bool(self._line)

    def feed(self, data: bytes) -> int:
        """Read the next bytes.

        Returns how many of them come before the last place that is not within
        an event, or ``NO_BOUNDARY`` if all are within one.
        """
        position, boundary = self._continue_line_end(data)
        for match in LINE_END.finditer(data, position):
            self._append(data[position : match.start()])
            position = match.end()
            if match.group() == CARRIAGE_RETURN:
                if position == len(data) and not self._uses_bare_returns:
                    self._may_be_half_line_end = True
                    break
                self._has_bare_returns = True
                self._ignores_line_feed = position == len(data)
            else:
                self._has_line_feeds = True
            self._end_line()
            if not self._has_fields:
                boundary = position
        self._append(data[position:])
        return boundary

    @property
    def _uses_bare_returns(self) -> bool:
        return self._has_bare_returns and not self._has_line_feeds

    def _continue_line_end(self, data: bytes) -> tuple[int, int]:
        """Decide on a carriage return that ended the data before.

        Returns where the next line begins, and the boundary so far.
        """
        if not data or not (self._may_be_half_line_end or self._ignores_line_feed):
            return 0, NO_BOUNDARY
        position = 1 if data.startswith(LINE_FEED) else 0
        if position:
            self._has_line_feeds = True
        if self._may_be_half_line_end:
            self._has_bare_returns = self._has_bare_returns or not position
            self._end_line()
        self._may_be_half_line_end = self._ignores_line_feed = False
        return position, NO_BOUNDARY if self._has_fields else position

    def _append(self, data: bytes) -> None:
        self._line += data[: MAX_LINE_BYTES - len(self._line)]

    def _end_line(self) -> None:
        line = bytes(self._line)
        self._line.clear()
        if self._is_first_line:
            line = line.removeprefix(BYTE_ORDER_MARK)
            self._is_first_line = False
        if not line:
            self._end_event()
            return
        name, _, value = line.partition(b":")
        if name in (b"", b"retry"):
            return
        self._has_fields = True
        if name == b"data":
            self._has_data = True
        elif name == b"id":
            is_whole = len(line) < MAX_LINE_BYTES
            self._id = value.strip(b" ").decode("latin-1") if is_whole else ""

    def _end_event(self) -> None:
        self.has_events = self.has_events or self._has_fields
        if self._id is not None:
            self.last_id = self._id
            self.id_is_last = is_header_value(self._id)
        elif self._has_data:
            self.id_is_last = False
        self._id = None
        self._has_fields = self._has_data = False
