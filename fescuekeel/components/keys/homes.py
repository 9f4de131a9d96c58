"""Choose the homes of a key."""

from collections.abc import Mapping

from fescuekeel.components.keys.const import HOMES_PER_KEY
from fescuekeel.util.rendezvous import rank

__all__ = ["choose_homes", "count_majority"]


def choose_homes(key: str, data_centres_by_id: Mapping[str, str]) -> tuple[str, ...]:
    """Return the key's homes, in as many data centres as possible.

    With three data centres or more, none holds a majority alone. Adding an
    instance never makes another one a home; removing one may.

    >>> choose_homes("k", {"a1": "a", "a2": "a", "b1": "b", "c1": "c"})
    ('a2', 'b1', 'c1')
    """
    ranked = rank(key, data_centres_by_id)
    first_by_data_centre: dict[str, str] = {}
    for id in ranked:
        first_by_data_centre.setdefault(data_centres_by_id[id], id)
    one_per_data_centre = list(first_by_data_centre.values())[:HOMES_PER_KEY]
    rest = [id for id in ranked if id not in one_per_data_centre]
    return tuple(
        sorted(one_per_data_centre + rest[: HOMES_PER_KEY - len(one_per_data_centre)])
    )


def count_majority(homes: int) -> int:
    """Return the majority: any two sets of this many homes overlap.

    >>> [count_majority(homes) for homes in (1, 2, 3)]
    [1, 2, 2]
    """
    return homes // 2 + 1
