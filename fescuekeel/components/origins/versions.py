"""The software versions that have served each service; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuekeel.components.origins.const import MAX_VERSIONS
from fescuekeel.helpers.published import EndpointRecord

__all__ = ["SoftwareVersions", "VersionSpan"]


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """A version that has served; ``gone_s`` ago it went, ``None`` if not."""

    service: str
    software: str
    gone_s: float | None = None


@dataclass(slots=True)
class SoftwareVersions:
    """Track when an endpoint of each version was last seen.

    ``watched_since`` is when this instance first knew the endpoints.

    >>> versions = SoftwareVersions()
    >>> old = EndpointRecord("e1", "s", "a:1", "dc1", 8, False, software="v1")
    >>> new = EndpointRecord("e2", "s", "a:2", "dc1", 8, False, software="v2")
    >>> versions.update([old], now=0.0), versions.update([new], now=5.0)
    (None, None)
    >>> sorted(versions.list_seen("s", since=4.0))
    ['v1', 'v2']
    >>> versions.list_seen("s", since=6.0)
    {'v2'}
    """

    watched_since: float | None = None
    _serving_by_service: dict[str, set[str]] = field(default_factory=dict)
    _gone_at_by_service: dict[str, dict[str, float]] = field(default_factory=dict)

    def update(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Apply the endpoints that may get requests now."""
        if self.watched_since is None:
            self.watched_since = now
        serving: dict[str, set[str]] = {}
        for record in records:
            serving.setdefault(record.service, set()).add(record.software)
        for service, before in self._serving_by_service.items():
            gone = before - serving.get(service, set())
            for software in gone:
                self._record_gone(service, software, now)
        self._serving_by_service = serving

    def _record_gone(self, service: str, software: str, now: float) -> None:
        gone = self._gone_at_by_service.setdefault(service, {})
        gone.pop(software, None)
        if len(gone) >= MAX_VERSIONS:
            del gone[next(iter(gone))]
        gone[software] = now

    def list_seen(self, service: str, since: float) -> set[str]:
        """Return the versions that have served a service since a time."""
        gone = self._gone_at_by_service.get(service, {})
        recent = {software for software, at in gone.items() if at >= since}
        return recent | self._serving_by_service.get(service, set())

    def list_history(self, now: float, horizon_s: float) -> list[VersionSpan]:
        """Return the versions of all services since a time."""
        spans = [
            VersionSpan(service, software)
            for service, versions in self._serving_by_service.items()
            for software in versions
        ]
        for service, gone in self._gone_at_by_service.items():
            serving = self._serving_by_service.get(service, set())
            spans += [
                VersionSpan(service, software, now - at)
                for software, at in gone.items()
                if now - at <= horizon_s and software not in serving
            ]
        return spans

    def extend(
        self, watched_s: float, history: Iterable[VersionSpan], now: float
    ) -> None:
        """Add what a peer saw before this instance watched.

        A version that serves for the peer and not here has gone by now.
        """
        for span in history:
            if span.software in self._serving_by_service.get(span.service, set()):
                continue
            gone_at = now - (span.gone_s or 0.0)
            known_at = self._gone_at_by_service.get(span.service, {}).get(span.software)
            if known_at is None or known_at < gone_at:
                self._record_gone(span.service, span.software, gone_at)
        if self.watched_since is not None:
            self.watched_since = min(self.watched_since, now - watched_s)

    def get_watched_s(self, now: float) -> float:
        """Return for how long this instance has known the endpoints."""
        return 0.0 if self.watched_since is None else now - self.watched_since
