"""Time calls and fit a line to measurements."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["Line", "fit_line", "time_call"]

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Line:
    """A line with a slope and the value at zero.

    >>> Line(2.0, 1.0).value_at(3)
    7.0
    """

    slope: float
    base: float

    def value_at(self, size: float) -> float:
        """Return the value for a size."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least squares fit.

    >>> fit_line([1, 2, 3], [3.0, 5.0, 7.0])
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
    """Return the processor seconds of one call, best of several runs."""
    best = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(number):
            call()
        best = min(best, time.process_time() - started_at)
    return best / number
