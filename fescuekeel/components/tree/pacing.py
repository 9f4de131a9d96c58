"""Pauses in long work that runs beside the event loop."""

import time
from collections.abc import Iterable, Iterator
from typing import TypeVar

__all__ = ["pace"]

T = TypeVar("T")

ITEMS_PER_SLICE = 200
PAUSE_S = 0.0005


def pace(items: Iterable[T], active: bool = True) -> Iterator[T]:
    """Pass items on, with a pause after each slice.

    A thread that works on holds the interpreter lock, so that each turn of
    the event loop waits for a whole switch interval, and streams stutter
    while a tree is read. A pause gives the lock away sooner.

    >>> list(pace("ab"))
    ['a', 'b']
    """
    for number, item in enumerate(items, 1):
        if active and number % ITEMS_PER_SLICE == 0:
            time.sleep(PAUSE_S)
        yield item
