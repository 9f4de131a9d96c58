"""Decide which requests crash the endpoints that run them; pure.

Every request that runs on an endpoint when it crashes is a suspect. Most of
them are innocent: they are sent to further endpoints, where they complete, or
crash again beside the same culprit. A crash therefore only counts against a
request if no other suspect of that crash has been in more crashes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.quarantine.const import (
    COMPLETION_TTL_S,
    CRASH_TTL_S,
    CRASHES_TO_QUARANTINE,
    MAX_COMPLETIONS,
    MAX_EXPLAINED_CRASHES,
    MAX_SHARED_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_S,
)

__all__ = ["Crash", "CrashLedger", "Verdict"]


Explains = Callable[[str, int], bool]


def explain_nothing(endpoint: str, crashes: int) -> bool:
    """Leave each crash unexplained."""
    return False


class Verdict(StrEnum):
    """What is known of a request.

    ``CLEAR``: it was in no crash, or has completed since. ``SUSPECT``: it was
    in a crash. ``QUARANTINED``: it is not sent to any endpoint.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an endpoint, as an instance saw it at ``seen_at``."""

    endpoint: str
    seen_by: str
    seen_at: float


@dataclass(slots=True)
class CrashLedger:
    """The crashes of each request, by its fingerprint.

    >>> ledger = CrashLedger()
    >>> for number, at in enumerate([1.0, 2.0, 3.0]):
    ...     ledger.record_crash("f", Crash(f"e{number}", "i1", at))
    >>> ledger.judge("f", now=3.0).value, ledger.judge("g", now=3.0).value
    ('quarantined', 'clear')
    >>> ledger.judge("f", now=3.0 + QUARANTINE_S).value
    'suspect'
    """

    _crashes_by_fingerprint: dict[str, dict[str, Crash]] = field(default_factory=dict)
    _suspects_by_endpoint: dict[str, set[str]] = field(default_factory=dict)
    _completed_at_by_fingerprint: dict[str, float] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._crashes_by_fingerprint

    def list_suspects(self) -> list[str]:
        """Return the fingerprints of all suspects."""
        return list(self._crashes_by_fingerprint)

    def list_crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes that a request was in, the first one first."""
        crashes = self._crashes_by_fingerprint.get(fingerprint, {})
        return sorted(crashes.values(), key=lambda crash: crash.seen_at)

    # Evidence.

    def record_crash(self, fingerprint: str, crash: Crash) -> None:
        """Record that a request ran on an endpoint that crashed."""
        suspects = self._crashes_by_fingerprint
        if fingerprint not in suspects and len(suspects) >= MAX_SUSPECTS:
            self._forget(next(iter(suspects)))
        crashes = suspects.setdefault(fingerprint, {})
        known = crashes.get(crash.endpoint)
        if known is None or crash.seen_at < known.seen_at:
            crashes[crash.endpoint] = crash
        self._suspects_by_endpoint.setdefault(crash.endpoint, set()).add(fingerprint)

    def record_completed(self, fingerprint: str, now: float) -> None:
        """Record that an endpoint has completed a request."""
        completed = self._completed_at_by_fingerprint
        completed.pop(fingerprint, None)
        completed[fingerprint] = now
        if len(completed) > MAX_COMPLETIONS:
            del completed[next(iter(completed))]

    def has_completed_lately(self, fingerprint: str, now: float) -> bool:
        """Return whether a request of this content has completed recently."""
        completed_at = self._completed_at_by_fingerprint.get(fingerprint)
        return completed_at is not None and now - completed_at < COMPLETION_TTL_S

    def release(self, fingerprint: str, endpoint: str) -> None:
        """Drop a crash that a request has not caused."""
        crashes = self._crashes_by_fingerprint.get(fingerprint, {})
        if crashes.pop(endpoint, None) is None:
            return
        if not crashes:
            del self._crashes_by_fingerprint[fingerprint]
        suspects = self._suspects_by_endpoint[endpoint]
        suspects.discard(fingerprint)
        if not suspects:
            del self._suspects_by_endpoint[endpoint]

    def _forget(self, fingerprint: str) -> None:
        for endpoint in list(self._crashes_by_fingerprint[fingerprint]):
            self.release(fingerprint, endpoint)

    def expire(self, now: float) -> list[str]:
        """Drop old crashes; return the requests that are no longer suspect."""
        old = [
            (fingerprint, crash.endpoint)
            for fingerprint, crashes in self._crashes_by_fingerprint.items()
            for crash in crashes.values()
            if now - crash.seen_at >= CRASH_TTL_S
        ]
        for fingerprint, endpoint in old:
            self.release(fingerprint, endpoint)
        forgotten = {fingerprint for fingerprint, _ in old}
        return sorted(forgotten - self._crashes_by_fingerprint.keys())

    # Judgement.

    def judge(
        self, fingerprint: str, now: float, explains: Explains = explain_nothing
    ) -> Verdict:
        """Return the verdict on a request.

        ``explains`` says of a crash of an endpoint, and the number of crashes
        that the request was in, whether something else caused it.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return Verdict.CLEAR
        if now - max(crash.seen_at for crash in crashes.values()) >= QUARANTINE_S:
            return Verdict.SUSPECT
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return Verdict.SUSPECT
        if len(crashes) >= MAX_EXPLAINED_CRASHES:
            return Verdict.QUARANTINED
        unexplained = [
            endpoint
            for endpoint in crashes
            if not self._is_explained(fingerprint, endpoint)
            and not explains(endpoint, len(crashes))
        ]
        if len(unexplained) < CRASHES_TO_QUARANTINE:
            return Verdict.SUSPECT
        if len(crashes) < MAX_SHARED_CRASHES and self._has_twin(fingerprint):
            return Verdict.SUSPECT
        return Verdict.QUARANTINED

    def _is_explained(self, fingerprint: str, endpoint: str) -> bool:
        """Return whether another suspect of a crash was in more crashes."""
        own = len(self._crashes_by_fingerprint[fingerprint])
        return any(
            len(self._crashes_by_fingerprint[other]) > own
            for other in self._suspects_by_endpoint[endpoint]
        )

    def _has_twin(self, fingerprint: str) -> bool:
        """Return whether another request was in exactly the same crashes."""
        crashes = self._crashes_by_fingerprint[fingerprint]
        endpoint = next(iter(crashes))
        return any(
            other != fingerprint
            and self._crashes_by_fingerprint[other].keys() == crashes.keys()
            for other in self._suspects_by_endpoint[endpoint]
        )
