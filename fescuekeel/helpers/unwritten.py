"""How much of what was written to a stream has not left it."""

from tornado.iostream import BaseIOStream

__all__ = ["count_unwritten_bytes"]


def count_unwritten_bytes(stream: BaseIOStream) -> int:
    """Return the bytes that the kernel has not taken, also after a close.

    Tornado has no public count of them, and drops its buffer with the close.
    """
    return stream._total_write_index - stream._total_write_done_index
