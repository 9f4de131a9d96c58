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
NOT_FOUND = -1
# A field's name with each line end before it, and with what may follow the
# name: the first group is all that streams without carriage returns need.
FieldName = tuple[tuple[bytes, ...], tuple[bytes, ...]]
ID: FieldName = (
    (b"\nid:", b"\nid\n"),
    (b"\rid:", b"\nid\r", b"\rid\n", b"\rid\r"),
)
DATA: FieldName = (
    (b"\ndata:", b"\ndata\n"),
    (b"\rdata:", b"\ndata\r", b"\rdata\n", b"\rdata\r"),
)
# An empty line behind the end of the line before it.
EMPTY_LINE = re.compile(rb"\n\n|\n\r\n?|\r\r\n?")
# Lines that belong to no event: empty ones, comments and ``retry``.
LINES_OF_NO_EVENT = re.compile(
    rb"(?:(?:(?::|retry(?=[:\r\n]))[^\r\n]*+)?+(?:\r\n|\n|\r))*+"
)


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

        Lines that are complete are searched for what matters, not looked at
        one by one: an endpoint chooses how many there are.
        """
        position, boundary = self._continue_line_end(data)
        if self._line or self._is_first_line:
            position, boundary = self._finish_line(data, position, boundary)
        end = _find_lines_end(data, position)
        if end > position:
            passed = self._read_lines(data[position:end])
            if passed != NO_BOUNDARY:
                boundary = position + passed
            position = end
        if position < len(data) and data.endswith(CARRIAGE_RETURN):
            self._append(data[position:-1])
            return self._read_last_return(len(data), boundary)
        self._append(data[position:])
        return boundary

    def _finish_line(
        self, data: bytes, position: int, boundary: int
    ) -> tuple[int, int]:
        """Read up to the end of a line that began before, if it has come.

        A carriage return at the end of the data is left: it may be half of a
        line end. Returns where to go on, and the boundary so far.
        """
        match = LINE_END.search(data, position)
        if match is None or _is_last_return(data, match.start()):
            return position, boundary
        self._append(data[position : match.start()])
        if match.group() == CARRIAGE_RETURN:
            self._has_bare_returns = True
        else:
            self._has_line_feeds = True
        self._end_line()
        return match.end(), boundary if self._has_fields else match.end()

    def _read_last_return(self, length: int, boundary: int) -> int:
        """Read a carriage return that ends the data; return the boundary."""
        if not self._uses_bare_returns:
            self._may_be_half_line_end = True
            return boundary
        self._ignores_line_feed = True
        self._end_line()
        return boundary if self._has_fields else length

    def _read_lines(self, lines: bytes) -> int:
        """Read complete lines.

        Returns how many of their bytes come before the last place that is not
        within an event, or ``NO_BOUNDARY``.
        """
        text = LINE_FEED + lines
        self._note_line_ends(lines)
        last_event_end = _find_last_event_end(text)
        boundary = NO_BOUNDARY
        if last_event_end != NOT_FOUND:
            self._end_events(text[:last_event_end])
            boundary = last_event_end - 1
            text = LINE_FEED + text[last_event_end:]
        if text == LINE_FEED:
            return boundary
        if not self._has_fields:
            before_fields = _find_field_line(text)
            boundary = max(boundary, 0) + before_fields - 1
            boundary = boundary if boundary else NO_BOUNDARY
            self._has_fields = before_fields < len(text)
        self._read_open_event(text)
        return boundary

    def _note_line_ends(self, lines: bytes) -> None:
        returns = lines.count(CARRIAGE_RETURN)
        if returns:
            self._has_bare_returns |= returns > lines.count(b"\r\n")
        self._has_line_feeds |= LINE_FEED in lines

    def _end_events(self, text: bytes) -> None:
        """Read events that are complete, with what began before ``text``."""
        if not self.has_events:
            has_fields = _find_field_line(text) < len(text)
            self.has_events = self._has_fields or has_fields
        at = _find_last_line(text, ID)
        data_from = 0
        if at != NOT_FOUND:
            self._id = _read_id(text, at)
            data_from = _find_event_end(text, at)
        elif self._id is not None:
            data_from = _find_event_end(text, 0)
        if self._id is not None:
            self.last_id = self._id
            self.id_is_last = is_header_value(self._id)
            self._has_data = False
        if self._has_data:
            self.id_is_last = False
        elif data_from < len(text):
            rest = LINE_FEED + text[data_from:]
            if _find_last_line(rest, DATA) != NOT_FOUND:
                self.id_is_last = False
        self._id = None
        self._has_fields = self._has_data = False

    def _read_open_event(self, text: bytes) -> None:
        """Read the lines of an event that is not complete."""
        if not self._has_fields:
            return
        if _find_last_line(text, DATA) != NOT_FOUND:
            self._has_data = True
        at = _find_last_line(text, ID)
        if at != NOT_FOUND:
            self._id = _read_id(text, at)

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
            self._id = _decode_id(line, value)

    def _end_event(self) -> None:
        self.has_events = self.has_events or self._has_fields
        if self._id is not None:
            self.last_id = self._id
            self.id_is_last = is_header_value(self._id)
        elif self._has_data:
            self.id_is_last = False
        self._id = None
        self._has_fields = self._has_data = False


def _is_last_return(data: bytes, position: int) -> bool:
    return position == len(data) - 1 and data.endswith(CARRIAGE_RETURN)


def _find_lines_end(data: bytes, start: int) -> int:
    """Return where the complete lines end, ``start`` if there are none.

    A carriage return at the end of the data may be half of a line end.
    """
    end = len(data) - data.endswith(CARRIAGE_RETURN)
    line_feed = data.rfind(LINE_FEED, start, end)
    bare_return = data.rfind(CARRIAGE_RETURN, max(start, line_feed), end)
    return max(start, line_feed + 1, bare_return + 1)


def _find_event_end(text: bytes, start: int) -> int:
    """Return the end of the first empty line; there must be one."""
    match = EMPTY_LINE.search(text, start)
    assert match is not None
    return match.end()


def _find_last_event_end(text: bytes) -> int:
    r"""Return the end of the last empty line, or ``NOT_FOUND``.

    >>> _find_last_event_end(b"\na\n\nb\r\n\r\nc\n")
    9
    """
    at = text.rfind(b"\n\n")
    if CARRIAGE_RETURN in text:
        at = max(at, text.rfind(b"\n\r"), text.rfind(b"\r\r"))
    if at == NOT_FOUND:
        return NOT_FOUND
    return _find_event_end(text, at)


def _find_field_line(text: bytes) -> int:
    """Return where the first line of an event begins; the length if none.

    ``text`` consists of complete lines.
    """
    match = LINES_OF_NO_EVENT.match(text)
    assert match is not None
    return match.end()


def _find_last_line(text: bytes, name: FieldName) -> int:
    r"""Return where the last line of a field begins, or ``NOT_FOUND``.

    ``text`` is a line end and complete lines.

    >>> _find_last_line(b"\nid: 1\nid\nidle: 2\n", ID)
    7
    """
    before_line_feed, before_return = name
    at = NOT_FOUND
    for start in before_line_feed:
        at = max(at, text.rfind(start))
    if CARRIAGE_RETURN in text:
        for start in before_return:
            at = max(at, text.rfind(start))
    return NOT_FOUND if at == NOT_FOUND else at + 1


def _read_id(text: bytes, at: int) -> str:
    """Return the id of the ``id`` line that begins at a position."""
    match = LINE_END.search(text, at)
    assert match is not None
    line = text[at : min(match.start(), at + MAX_LINE_BYTES)]
    return _decode_id(line, line.partition(b":")[2])


def _decode_id(line: bytes, value: bytes) -> str:
    """Return the id of a line; that of one too long is not usable."""
    if len(line) >= MAX_LINE_BYTES:
        return ""
    return value.strip(b" ").decode("latin-1")
