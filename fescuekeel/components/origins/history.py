"""What an instance that has started learns from peers that watched before.

In a rolling restart the instances that go on are younger than the streams that
they take up. What served meanwhile is passed on from one to the next, as long
as one is left that has watched without a gap. Decisions are pure.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from fescuekeel.components.origins.const import HISTORY_S
from fescuekeel.components.origins.versions import VersionSpan
from fescuekeel.messages import SeenVersion, StreamOriginAnswer

__all__ = ["VersionHistory", "choose_history", "encode_history", "read_history"]

MS_PER_S = 1000
# A version that has gone just now is told from one that serves.
MIN_GONE_MS = 1


@dataclass(frozen=True, slots=True)
class VersionHistory:
    """What a peer has seen for ``watched_s``, with a catalog of ``age_s``."""

    peer: str
    watched_s: float
    age_s: float
    spans: tuple[VersionSpan, ...]


def choose_history(
    histories: Iterable[VersionHistory], watched_s: float
) -> VersionHistory | None:
    """Return the longest history that leaves no gap, ``None`` if none helps.

    This instance has watched for ``watched_s``; a peer whose catalog is older
    may have missed what served in between.

    >>> seen = (VersionSpan("s", "v1"),)
    >>> long = VersionHistory("i1", 90.0, 0.5, seen)
    >>> stale = VersionHistory("i2", 200.0, 8.0, seen)
    >>> choose_history([long, stale], watched_s=2.0).peer
    'i1'
    """
    joined = [
        history
        for history in histories
        if history.spans and history.age_s <= watched_s < history.watched_s
    ]
    return max(joined, key=lambda history: history.watched_s, default=None)


def encode_history(spans: Iterable[VersionSpan]) -> tuple[SeenVersion, ...]:
    """Return the records of a message."""
    return tuple(
        SeenVersion(span.service, span.software, _encode_gone(span.gone_s))
        for span in spans
    )


def _encode_gone(gone_s: float | None) -> int:
    return 0 if gone_s is None else max(MIN_GONE_MS, int(gone_s * MS_PER_S))


def read_history(peer: str, answer: StreamOriginAnswer) -> VersionHistory:
    """Return what a peer has told; it tells of no more than ``HISTORY_S``."""
    spans = tuple(
        VersionSpan(
            seen.service,
            seen.software,
            seen.gone_ms / MS_PER_S if seen.gone_ms else None,
        )
        for seen in answer.history
    )
    return VersionHistory(
        peer,
        min(HISTORY_S, answer.watched_ms / MS_PER_S),
        answer.catalog_age_ms / MS_PER_S,
        spans,
    )
