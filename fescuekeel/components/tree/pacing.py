"""Pauses for long work in a thread beside the event loop."""

import time
from collections.abc import Iterable, Iterator
from typing import TypeVar

__all__ = ["pace"]

T = TypeVar("T")

ITEMS_PER_SLICE = 200
PAUSE_S = 0.0005


def pace(items: Iterable[T], active: bool = True) -> Iterator[T]:
    """Yield the items, with a pause after each slice.

    Guards against delayed streams while a tree is parsed: a busy thread keeps
    the interpreter lock for a whole switch interval, a pause releases it.

    >>> list(pace("ab"))
    ['a', 'b']
    """
    for number, item in enumerate(items, 1):
        if active and number % ITEMS_PER_SLICE == 0:
            time.sleep(PAUSE_S)
        yield item
