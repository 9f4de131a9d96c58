"""Decide whether an answer is whole; pure.

An answer ends with its declared length, with its last chunk or, if it declares
neither, with its connection (RFC 9112, 6.3). Only an orderly close ends it
then: after a reset nobody knows what was lost. A stream of events must also
end between two events, however it is framed; the last event needs its empty
line, since callers drop an event without it.

>>> find_defect(Framing.CLOSE, BodyEnd.CLOSED, within_event=False)
''
>>> find_defect(Framing.CLOSE, BodyEnd.RESET, within_event=False)
'connection was reset within the answer'
"""

from collections.abc import Mapping
from enum import StrEnum

__all__ = ["BodyEnd", "Framing", "find_defect", "find_framing", "is_event_stream"]

EVENT_STREAM_TYPE = "text/event-stream"
# Status codes of answers without a body (RFC 9110, 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Framing(StrEnum):
    """What ends the body of an answer."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class BodyEnd(StrEnum):
    """What ended the body that was received.

    ``DECLARED``: its length or its last chunk. ``CLOSED``: an orderly close of
    the connection. ``RESET``: any other loss of the connection.
    """

    DECLARED = "declared"
    CLOSED = "closed"
    RESET = "reset"


def find_framing(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return the framing of an answer; header names are in lower case.

    >>> find_framing("GET", 200, {"content-length": "3"}).value
    'length'
    """
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    if "transfer-encoding" in headers:
        return Framing.CHUNKS
    if "content-length" in headers:
        return Framing.LENGTH
    return Framing.CLOSE


def find_defect(framing: Framing | None, end: BodyEnd, within_event: bool) -> str:
    """Return why an answer is not whole, empty if it is.

    Without ``framing`` its head has not been received.
    """
    if framing is None:
        return "connection ended before the answer"
    if end is BodyEnd.RESET:
        return "connection was reset within the answer"
    if end is BodyEnd.CLOSED and framing is not Framing.CLOSE:
        return "connection was closed within the answer"
    if within_event:
        return "stream ended within an event"
    return ""


def is_event_stream(status: int, content_type: str, expected: bool = False) -> bool:
    """Return whether a successful answer is a stream of events.

    ``expected`` decides for answers without a content type.

    >>> is_event_stream(200, "text/event-stream; charset=utf-8")
    True
    """
    if not 200 <= status < 300:
        return False
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == EVENT_STREAM_TYPE if media_type else expected
