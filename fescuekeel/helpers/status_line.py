"""Decide what is the status line of a response; pure.

A status is a number from 100 to 599, and all others are invalid (RFC 9110,
15). A response with one belongs to no request that can be answered: what has
become of the request is not known.
"""

__all__ = ["find_status_line_defect", "is_interim"]

FIRST_FINAL_STATUS = 200
MIN_STATUS = 100
MAX_STATUS = 599
# Only a request that asks for another protocol may be answered so.
SWITCHING_PROTOCOLS = 101
MAJOR_VERSION = "1."


def is_interim(status: int) -> bool:
    """Return whether another response to the same request follows."""
    return MIN_STATUS <= status < FIRST_FINAL_STATUS


def find_status_line_defect(version: str, status: int) -> str:
    """Return why a line is no status line, empty if it is one.

    ``version`` is that of HTTP, such as "1.1".

    >>> find_status_line_defect("1.1", 503), find_status_line_defect("1.1", 0)
    ('', 'status 0 is not valid')
    """
    if not version.startswith(MAJOR_VERSION):
        return f"HTTP version {version!r} was not asked for"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status} is not valid"
    if status == SWITCHING_PROTOCOLS:
        return "another protocol was not asked for"
    return ""
