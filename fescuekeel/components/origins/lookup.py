"""Determine the origin of a stream from several reports; pure.

What is not known is not guessed: without an instance that knows the stream, it
may only go on if one version alone can have begun it. Only the store's answer
to a call that was sent after the stream began proves that: instances that were
cut off together know the same old catalog, and would confirm it to each other.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescuekeel.components.origins.ledger import AMBIGUOUS, StreamOrigin

__all__ = ["OriginReport", "decide"]


@dataclass(frozen=True, slots=True)
class OriginReport:
    """The report of one instance about a stream and a service.

    ``seen`` are the versions that it saw serve within the time in which the
    stream can have begun, ``watched_s`` is for how long it has seen them, and
    ``age_s`` the age of its catalog.
    """

    origin: StreamOrigin | None
    seen: frozenset[str]
    watched_s: float
    age_s: float


def decide(
    service: str,
    own: OriginReport,
    others: Sequence[OriginReport],
    horizon_s: float,
    is_confirmed: bool,
) -> StreamOrigin | None:
    """Return the origin of a stream, ``None`` if it cannot be determined.

    ``own`` is this instance's report, ``others`` are those of its peers. With
    ``is_confirmed`` this instance knows all that was published until its
    caller resumed the stream.

    >>> one = frozenset({"v1"})
    >>> sure = OriginReport(None, one, watched_s=100.0, age_s=1.0)
    >>> young = OriginReport(None, one, watched_s=9.0, age_s=0.0)
    >>> decide("s", young, [sure], horizon_s=60.0, is_confirmed=True)
    StreamOrigin(service='s', software='v1')
    >>> decide("s", young, [sure], horizon_s=60.0, is_confirmed=False)
    >>> decide("s", young, [], horizon_s=60.0, is_confirmed=True)
    """
    reports = [own, *others]
    known = {report.origin for report in reports if report.origin is not None}
    if known:
        return known.pop() if len(known) == 1 and AMBIGUOUS not in known else None
    seen = frozenset().union(*(report.seen for report in reports))
    if len(seen) != 1 or not is_confirmed:
        return None
    if not _cover(own, others, horizon_s):
        return None
    (software,) = seen
    return StreamOrigin(service, software)


def _cover(own: OriginReport, others: Sequence[OriginReport], horizon_s: float) -> bool:
    """Return whether reports leave no time unwatched since the horizon.

    A peer may have watched before this instance did, if its catalog is not
    older than this instance's watch.
    """
    if own.watched_s >= horizon_s:
        return True
    return any(
        other.watched_s >= horizon_s and other.age_s <= own.watched_s
        for other in others
    )
