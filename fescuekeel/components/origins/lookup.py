"""Determine the origin of a stream from several reports; pure.

What is not known is not guessed: without an instance that knows the stream, it
may only go on if one version alone can have begun it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from fescuekeel.components.origins.const import FRESH_ALONE_S, FRESH_S
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

    def shows_all_versions(self, horizon_s: float, max_age_s: float = FRESH_S) -> bool:
        """Return whether no version can have served without being seen."""
        return self.watched_s >= horizon_s and self.age_s <= max_age_s


def decide(
    service: str,
    own: OriginReport,
    others: Sequence[OriginReport],
    horizon_s: float,
) -> StreamOrigin | None:
    """Return the origin of a stream, ``None`` if it cannot be determined.

    ``own`` is this instance's report, ``others`` are those of its peers.

    >>> one = frozenset({"v1"})
    >>> sure = OriginReport(None, one, watched_s=100.0, age_s=1.0)
    >>> young = OriginReport(None, one, watched_s=9.0, age_s=1.0)
    >>> decide("s", young, [sure], horizon_s=60.0)
    StreamOrigin(service='s', software='v1')
    >>> decide("s", young, [], horizon_s=60.0)
    """
    reports = [own, *others]
    known = {report.origin for report in reports if report.origin is not None}
    if known:
        return known.pop() if len(known) == 1 and AMBIGUOUS not in known else None
    seen = frozenset().union(*(report.seen for report in reports))
    if len(seen) != 1:
        return None
    max_age_s = FRESH_S if others else FRESH_ALONE_S
    if not any(report.shows_all_versions(horizon_s, max_age_s) for report in reports):
        return None
    (software,) = seen
    return StreamOrigin(service, software)
