"""Decide whether an answer belongs to the request that was sent; pure.

An endpoint may answer once more, late, where the answer to a later request is
due. Neither the position on the connection nor the status tells whose answer
it is: only the id that endpoints repeat, as long as no connection carries the
same id twice. Where an answer has no id, only the first answer on a
connection can belong to no other request.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Correlation", "Match", "match_answer"]


class Match(StrEnum):
    """What an answer belongs to.

    ``OWN``: to the request that was sent last. ``OTHER``: to another request.
    ``UNKNOWN``: it may belong to any request of its connection.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Correlation:
    """The id of a request, and the header in which its answer repeats it.

    ``header`` is in lower case. ``id`` is empty if the request has none.
    """

    header: str
    id: str


def match_answer(sent_id: str, answered_id: str, position: int) -> Match:
    """Return what an answer belongs to.

    ``position`` counts the requests that were sent on the connection, the
    last one included.

    >>> match_answer("r1", "r1", position=7).value
    'own'
    >>> match_answer("r1", "r0", position=1).value
    'other'
    >>> match_answer("r1", "", position=1).value
    'own'
    >>> match_answer("r1", "", position=2).value
    'unknown'
    """
    if answered_id:
        return Match.OWN if answered_id == sent_id else Match.OTHER
    return Match.OWN if position == 1 else Match.UNKNOWN
