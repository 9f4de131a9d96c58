"""Play streams that callers send around a late signal, by several ways."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from fescuekeel.components.forward.shutdown import Shutdown
from fescuekeel.helpers.published import RouteKind

__all__ = ["DELAYS_S", "WAYS_BY_NAME", "LateStream", "draw_streams", "play"]

SHUTDOWN_S = 7.2
# Callers' clocks begin at the signal.
EXCUSED_UNTIL_S = 3.0
DELAYS_S = (0.0, 0.1, 0.25, 0.3)
MAX_QUEUE_S = 0.15
MEAN_LENGTH_S = 3.5
LENGTH_SPREAD_S = 1.2
# How far an engine's pace is off the one that was seen.
PACE_SPREAD = 0.25
ESTIMATE_MARGIN = 1.3
FIXED_S = 3.0
NO_END = 1e9


@dataclass(frozen=True, slots=True)
class LateStream:
    """A stream; times count from the signal.

    It is read at ``read_s``, and lasts for ``length_s``, of which an instance
    knows ``expected_s``.
    """

    sent_s: float
    read_s: float
    length_s: float
    expected_s: float


Way = Callable[[Shutdown, LateStream], bool]


def accept_fixed(shutdown: Shutdown, stream: LateStream) -> bool:
    """Accept for as long as callers are excused, from the handling on."""
    return stream.read_s <= shutdown.started_at + FIXED_S


def accept_early(shutdown: Shutdown, stream: LateStream) -> bool:
    """Accept as the instance does."""
    return shutdown.may_send(RouteKind.STREAM, NO_END, stream.read_s)


def accept_if_expected(shutdown: Shutdown, stream: LateStream) -> bool:
    """Accept what is expected to end in time, at any time."""
    expected_s = stream.expected_s * ESTIMATE_MARGIN
    return expected_s < shutdown.left_s(stream.read_s)


def accept_early_if_expected(shutdown: Shutdown, stream: LateStream) -> bool:
    """Accept early, and only what is expected to end in time."""
    early = accept_early(shutdown, stream)
    return early and accept_if_expected(shutdown, stream)


WAYS_BY_NAME: dict[str, Way] = {
    "fixed": accept_fixed,
    "early": accept_early,
    "expected": accept_if_expected,
    "early and expected": accept_early_if_expected,
}


def draw_streams(count: int, seed: int) -> list[LateStream]:
    """Return streams that are sent in the time of a shutdown."""
    draw = random.Random(seed)
    streams = []
    for _ in range(count):
        sent_s = draw.uniform(0.0, SHUTDOWN_S)
        length_s = max(0.2, draw.gauss(MEAN_LENGTH_S, LENGTH_SPREAD_S))
        expected_s = length_s * draw.gauss(1.0, PACE_SPREAD)
        read_s = sent_s + draw.uniform(0.0, MAX_QUEUE_S)
        streams.append(LateStream(sent_s, read_s, length_s, expected_s))
    return streams


def play(way: Way, streams: list[LateStream], delay_s: float) -> Counter[str]:
    """Count how streams end where the signal is handled after a delay."""
    shutdown = Shutdown(delay_s, delay_s + SHUTDOWN_S)
    return Counter(_find_end(way, stream, shutdown) for stream in streams)


def _find_end(way: Way, stream: LateStream, shutdown: Shutdown) -> str:
    # Before the signal is handled, all are accepted.
    handled = stream.read_s >= shutdown.started_at
    if handled and not way(shutdown, stream):
        return "refused"
    if stream.read_s + stream.length_s <= shutdown.ends_at:
        return "whole"
    return "excused" if stream.sent_s <= EXCUSED_UNTIL_S else "cut"


def main() -> None:
    """Print how the same streams end by each way."""
    streams = draw_streams(20_000, seed=1)
    for name, way in WAYS_BY_NAME.items():
        total: Counter[str] = Counter()
        for delay_s in DELAYS_S:
            total += play(way, streams, delay_s)
        print(name, dict(sorted(total.items())))


if __name__ == "__main__":
    main()
