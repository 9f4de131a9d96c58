"""Requests received from peers that are not yet answered."""

import itertools

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import MAX_INCOMING_REQUESTS
from fescuekeel.core import Metrics

__all__ = ["IncomingRequests"]


class IncomingRequests:
    """Assign local numbers to requests and map them to their origins.

    A peer's own numbers are not unique: they restart at one with the peer,
    and a late answer must not match a request sent after the restart. A
    request of this instance to itself has no connection.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._origins_by_number: dict[int, tuple[Connection | None, int]] = {}
        self._numbers = itertools.count(1)

    def add(self, connection: Connection | None, wire_number: int) -> int:
        """Add a request and return its local number.

        The oldest request is dropped beyond ``MAX_INCOMING_REQUESTS``.
        """
        number = next(self._numbers)
        self._origins_by_number[number] = (connection, wire_number)
        if connection is not None:
            connection.request_numbers.add(number)
        if len(self._origins_by_number) > MAX_INCOMING_REQUESTS:
            self.pop(next(iter(self._origins_by_number)))
            self._metrics.count("peers.question_forgotten")
        return number

    def pop(self, number: int) -> tuple[Connection | None, int] | None:
        """Remove a request and return its connection and wire number.

        Returns ``None`` if it is unknown or already answered.
        """
        origin = self._origins_by_number.pop(number, None)
        if origin is not None and origin[0] is not None:
            origin[0].request_numbers.discard(number)
        return origin

    def discard_connection(self, connection: Connection) -> None:
        """Drop all requests of a lost connection."""
        for number in list(connection.request_numbers):
            self.pop(number)
