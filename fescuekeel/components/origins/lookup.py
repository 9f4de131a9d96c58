"""Decide what began a stream from what several instances know; pure.

What is not known is not guessed: without an instance that knows the stream, it
may only go on if one version alone can have begun it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescuekeel.components.origins.ledger import AMBIGUOUS, StreamOrigin

__all__ = ["OriginReport", "decide"]


@dataclass(frozen=True, slots=True)
class OriginReport:
    """What one instance knows of a stream, and of the service asked for.

    ``seen`` are the versions that it saw serve within the time in which the
    stream can have begun, and ``watched_s`` for how long it has seen them.
    """

    origin: StreamOrigin | None
    seen: frozenset[str]
    watched_s: float


def decide(
    service: str,
    own: OriginReport,
    own_is_fresh: bool,
    others: Sequence[OriginReport],
    horizon_s: float,
) -> StreamOrigin | None:
    """Return what began the stream, ``None`` if that is not known.

    ``own_is_fresh`` says that this instance's catalog is confirmed, so that
    its report counts without a peer's.

    >>> nothing = OriginReport(None, frozenset({"v1"}), watched_s=100.0)
    >>> decide("s", nothing, False, [nothing], horizon_s=60.0)
    StreamOrigin(service='s', software='v1')
    >>> decide("s", nothing, False, [], horizon_s=60.0)
    """
    reports = [own, *others]
    known = {report.origin for report in reports if report.origin is not None}
    if known:
        return known.pop() if len(known) == 1 and AMBIGUOUS not in known else None
    seen = frozenset().union(*(report.seen for report in reports))
    if len(seen) != 1:
        return None
    witnesses = [*others, own] if own_is_fresh else others
    if not any(report.watched_s >= horizon_s for report in witnesses):
        return None
    (software,) = seen
    return StreamOrigin(service, software)
