"""Bound the bytes of request bodies that are kept at a time; pure."""

from fescuekeel.components.forward.const import (
    MAX_BODIES_BYTES,
    SMALL_BODY_BYTES,
)

__all__ = ["BodyBudget"]


class BodyBudget:
    """Count the bytes of all bodies, by connection.

    Callers may send bodies that never end, and many of them together. What is
    beyond ``SMALL_BODY_BYTES`` of a body counts, so that small requests are
    read whatever the others send.

    >>> budget = BodyBudget(max_bytes=1000)
    >>> budget.admits("a", SMALL_BODY_BYTES + 900)
    True
    >>> budget.admits("b", SMALL_BODY_BYTES + 101), budget.admits("b", 101)
    (False, True)
    >>> budget.release("a")
    >>> budget.admits("b", SMALL_BODY_BYTES + 101)
    True
    """

    def __init__(self, max_bytes: int = MAX_BODIES_BYTES) -> None:
        self.total_bytes = 0
        self._max_bytes = max_bytes
        self._bytes_by_connection: dict[object, int] = {}

    def admits(self, connection: object, body_bytes: int) -> bool:
        """Count a body that has grown to a length, unless that is too much."""
        counted = max(0, body_bytes - SMALL_BODY_BYTES)
        before = self._bytes_by_connection.get(connection, 0)
        if counted > before:
            if self.total_bytes + counted - before > self._max_bytes:
                return False
            self.total_bytes += counted - before
            self._bytes_by_connection[connection] = counted
        return True

    def release(self, connection: object) -> None:
        """Count the body of a connection no longer."""
        self.total_bytes -= self._bytes_by_connection.pop(connection, 0)
