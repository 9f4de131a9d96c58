"""Choose the instances that store the origin of a stream; pure."""

from collections.abc import Mapping

from fescuekeel.components.origins.const import (
    HOMES,
    HOMES_OF_LARGE_FLEET,
    LARGE_FLEET,
    MAX_ASKED,
)
from fescuekeel.util import rendezvous

__all__ = ["list_asked", "list_homes"]


def list_homes(
    stream: str, data_centres_by_id: Mapping[str, str], count: int = 0
) -> list[str]:
    """Return the homes of a stream among the instances.

    Without a ``count`` it follows from the size of the fleet.

    The first by rank, the first by rank of another data centre, then the next
    ones. Each home that is left stays a home when others end.

    >>> centres = {"i1": "a", "i2": "a", "i3": "a", "i4": "b"}
    >>> "i4" in list_homes("r1", centres, count=2)
    True
    """
    if not count:
        is_large = len(data_centres_by_id) > LARGE_FLEET
        count = HOMES_OF_LARGE_FLEET if is_large else HOMES
    ranked = rendezvous.rank(stream, data_centres_by_id)
    if not ranked:
        return []
    first = ranked[0]
    elsewhere = [
        id for id in ranked if data_centres_by_id[id] != data_centres_by_id[first]
    ]
    preferred = [first, *elsewhere[:1]]
    others = [id for id in ranked if id not in preferred]
    return [*preferred, *others][:count]


def list_asked(stream: str, data_centres_by_id: Mapping[str, str]) -> list[str]:
    """Return the instances to ask for a stream."""
    return list_homes(stream, data_centres_by_id, MAX_ASKED)
