"""Which instances are the homes of a key."""

from collections.abc import Mapping

from fescuekeel.components.keys.const import HOMES
from fescuekeel.util.rendezvous import rank

__all__ = ["choose_homes", "count_majority"]


def choose_homes(key: str, data_centres_by_id: Mapping[str, str]) -> tuple[str, ...]:
    """Return the key's homes, in different data centres as far as there are.

    So one data centre that is cut off never holds a majority by itself once
    there are three. An instance that comes never makes another one a home
    that was none; only one that goes does.

    >>> choose_homes("k", {"a1": "a", "a2": "a", "b1": "b", "c1": "c"})
    ('a2', 'b1', 'c1')
    """
    ranked = rank(key, data_centres_by_id)
    first_by_data_centre: dict[str, str] = {}
    for id in ranked:
        first_by_data_centre.setdefault(data_centres_by_id[id], id)
    spread = list(first_by_data_centre.values())[:HOMES]
    rest = [id for id in ranked if id not in spread]
    return tuple(sorted(spread + rest[: HOMES - len(spread)]))


def count_majority(homes: int) -> int:
    """Return how many grants win: any two such sets share a home.

    With two homes that is both of them.

    >>> [count_majority(homes) for homes in (1, 2, 3)]
    [1, 2, 2]
    """
    return homes // 2 + 1
