"""Time a call and fit a line through what was measured."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["Line", "fit", "time_call"]

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Line:
    """A slope and what is there at zero.

    >>> Line(2.0, 1.0).at(3)
    7.0
    """

    slope: float
    base: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least squares line.

    >>> fit([1, 2, 3], [3.0, 5.0, 7.0])
    Line(slope=2.0, base=1.0)
    """
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs)
    slope /= spread
    return Line(slope, mean_value - slope * mean_size)


def time_call(call: Callable[[], object], number: int) -> float:
    """Return the processor seconds of one call, the best of several runs."""
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(number):
            call()
        best = min(best, time.process_time() - began)
    return best / number
