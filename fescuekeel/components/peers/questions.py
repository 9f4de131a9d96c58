"""The questions of peers that wait for an answer of ours."""

import itertools

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import MAX_QUESTIONS
from fescuekeel.core import Metrics

__all__ = ["Questions"]


class Questions:
    """Number questions and remember where each answer goes.

    Numbers seen by handlers are our own: a peer that starts anew counts from
    one again, and a late answer to its earlier life must not reach a question
    of the present one. A question of our own has no connection.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._places_by_number: dict[int, tuple[Connection | None, int]] = {}
        self._numbers = itertools.count(1)

    def add(self, connection: Connection | None, wire_number: int) -> int:
        """Return our number for a question; the oldest gives way if needed."""
        number = next(self._numbers)
        self._places_by_number[number] = (connection, wire_number)
        if connection is not None:
            connection.question_numbers.add(number)
        if len(self._places_by_number) > MAX_QUESTIONS:
            self.take(next(iter(self._places_by_number)))
            self._metrics.count("peers.question_forgotten")
        return number

    def take(self, number: int) -> tuple[Connection | None, int] | None:
        """Return where the answer goes, once, with the peer's own number."""
        place = self._places_by_number.pop(number, None)
        if place is not None and place[0] is not None:
            place[0].question_numbers.discard(number)
        return place

    def drop(self, connection: Connection) -> None:
        """Forget the questions of a lost connection."""
        for number in list(connection.question_numbers):
            self.take(number)
