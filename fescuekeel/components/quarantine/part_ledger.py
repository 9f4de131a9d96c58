"""Decide which parts of prompts crash the endpoints that run them; pure.

Requests share parts of their prompts, in order, as branches of a tree. All
parts of all requests that ran on an endpoint when it crashed are suspects.
Most of them are innocent: they are in requests that complete at other
endpoints, shortly before or afterwards, and are released. A part that crashes
each endpoint is in no request that completes.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fescuekeel.components.quarantine.const import (
    COMPLETION_TTL_S,
    CRASH_TTL_S,
    CRASHES_TO_QUARANTINE,
    MAX_COMPLETED_PARTS,
    MAX_EXPLAINED_CRASHES,
    MAX_SHARED_CRASHES,
    MAX_SUSPECT_PARTS,
    MIN_REQUESTS,
    QUARANTINE_S,
    SIMULTANEOUS_CRASHES_S,
)
from fescuekeel.components.quarantine.ledger import Crash

__all__ = ["PartLedger", "SuspectRun"]


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A request that ran on an endpoint when it crashed.

    ``parts`` are the keys of the suspected parts of its prompt, the first one
    first. ``has_sound_part`` says that another part of it completed lately.
    """

    fingerprint: str
    parts: tuple[str, ...]
    has_sound_part: bool = False


@dataclass(slots=True)
class PartCrash:
    """A crash that a part was in.

    ``deeper`` are the parts that came after it in these requests, and
    ``before`` those in front of it. ``is_contrasted`` says that some other
    part of them has completed, so that it tells something that this one has
    not.
    """

    crash: Crash
    fingerprints: set[str] = field(default_factory=set)
    before: set[str] = field(default_factory=set)
    deeper: set[str] = field(default_factory=set)
    is_contrasted: bool = False


@dataclass(slots=True)
class PartLedger:
    """The crashes of each part that has not completed since.

    >>> ledger = PartLedger()
    >>> for number in range(3):
    ...     crash = Crash(f"e{number}", "i1", float(number))
    ...     ledger.record_crash(crash, SuspectRun(f"f{number}", ("p",), True))
    >>> [ledger.is_quarantined(part, now=3.0) for part in ("p", "q")]
    [True, False]
    """

    _crashes_by_part: dict[str, dict[str, PartCrash]] = field(default_factory=dict)
    _parts_by_endpoint: dict[str, set[str]] = field(default_factory=dict)
    _completed_at_by_part: dict[str, float] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no part is suspected."""
        return not self._crashes_by_part

    def list_suspects(self) -> list[str]:
        """Return the keys of all suspected parts."""
        return list(self._crashes_by_part)

    def list_crashes(self, part: str) -> list[Crash]:
        """Return the crashes that a part was in, the first one first."""
        found = self._crashes_by_part.get(part, {}).values()
        return sorted((each.crash for each in found), key=lambda crash: crash.seen_at)

    # Evidence.

    def record_crash(self, crash: Crash, run: SuspectRun) -> None:
        """Record that a request with some parts ran on a crashed endpoint."""
        for number, part in enumerate(run.parts):
            seen = self._get_crash(part, crash)
            seen.fingerprints.add(run.fingerprint)
            seen.is_contrasted = seen.is_contrasted or run.has_sound_part
            seen.before.update(run.parts[:number])
            seen.deeper.update(run.parts[number + 1 :])

    def _get_crash(self, part: str, crash: Crash) -> PartCrash:
        suspects = self._crashes_by_part
        if part not in suspects and len(suspects) >= MAX_SUSPECT_PARTS:
            self.release(next(iter(suspects)))
        crashes = suspects.setdefault(part, {})
        seen = crashes.get(crash.endpoint)
        if seen is None:
            seen = crashes[crash.endpoint] = PartCrash(crash)
        elif crash.seen_at < seen.crash.seen_at:
            seen.crash = crash
        self._parts_by_endpoint.setdefault(crash.endpoint, set()).add(part)
        return seen

    def record_completed(self, parts: Iterable[str], now: float) -> None:
        """Record that an endpoint has completed a request with these parts."""
        completed = self._completed_at_by_part
        for part in parts:
            completed.pop(part, None)
            completed[part] = now
        while completed:
            oldest = next(iter(completed))
            recent = now - completed[oldest] < COMPLETION_TTL_S
            if recent and len(completed) <= MAX_COMPLETED_PARTS:
                break
            del completed[oldest]

    def has_completed_lately(self, part: str, now: float) -> bool:
        """Return whether a request with this part has completed recently."""
        completed_at = self._completed_at_by_part.get(part)
        return completed_at is not None and now - completed_at < COMPLETION_TTL_S

    def release(self, part: str, endpoint: str | None = None) -> None:
        """Drop one crash, or all, that a part has not caused."""
        crashes = self._crashes_by_part.get(part, {})
        released = list(crashes) if endpoint is None else [endpoint]
        for each in released:
            seen = crashes.pop(each, None)
            if seen is None:
                continue
            self._record_contrast(seen)
            suspects = self._parts_by_endpoint[each]
            suspects.discard(part)
            if not suspects:
                del self._parts_by_endpoint[each]
        if not crashes:
            self._crashes_by_part.pop(part, None)

    def _record_contrast(self, released: PartCrash) -> None:
        """Record that a part of these requests has completed."""
        endpoint = released.crash.endpoint
        for other in released.before | released.deeper:
            seen = self._crashes_by_part.get(other, {}).get(endpoint)
            if seen is not None:
                seen.is_contrasted = True

    def expire(self, now: float) -> None:
        """Drop old crashes."""
        old = [
            (part, endpoint)
            for part, crashes in self._crashes_by_part.items()
            for endpoint, seen in crashes.items()
            if now - seen.crash.seen_at >= CRASH_TTL_S
        ]
        for part, endpoint in old:
            self.release(part, endpoint)

    # Judgement.

    def list_quarantined(self, now: float) -> set[str]:
        """Return the parts whose requests are not sent to any endpoint."""
        return {
            part for part in self._crashes_by_part if self.is_quarantined(part, now)
        }

    def is_quarantined(self, part: str, now: float) -> bool:
        """Return whether requests with a part are not sent to any endpoint."""
        crashes = self._crashes_by_part.get(part, {})
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return False
        if now - max(seen.crash.seen_at for seen in crashes.values()) >= QUARANTINE_S:
            return False
        if self._stands_out(part):
            return True
        if len(crashes) < MAX_EXPLAINED_CRASHES:
            return False
        left = self._count_without_deeper(crashes.values())
        return left >= CRASHES_TO_QUARANTINE and _has_enough_evidence(crashes.values())

    def _stands_out(self, part: str) -> bool:
        """Return whether nothing explains enough of the crashes better."""
        crashes = self._crashes_by_part[part]
        unexplained = [
            seen for seen in crashes.values() if not self._is_explained(part, seen)
        ]
        if len(unexplained) < CRASHES_TO_QUARANTINE:
            return False
        if not _has_enough_evidence(crashes.values()):
            return False
        if len(crashes) >= MAX_SHARED_CRASHES:
            return True
        is_contrasted = any(seen.is_contrasted for seen in unexplained)
        return is_contrasted and not self._has_twin(part)

    def explains(self, endpoint: str, crashes: int, except_for: Sequence[str]) -> bool:
        """Return whether a part explains a crash that others were in as well.

        It does if it was in at least as many crashes, and is none of the
        ``except_for``.
        """
        return any(
            len(self._crashes_by_part[part]) >= crashes
            for part in self._parts_by_endpoint.get(endpoint, ())
            if part not in except_for
        )

    def _is_explained(self, part: str, seen: PartCrash) -> bool:
        """Return whether another part explains a crash better.

        A deeper part of the same request does as soon as it comes again: what
        requests share further up is in more of them. Of other requests, the
        part does that was in more crashes.
        """
        own = len(self._crashes_by_part[part])
        for other in self._parts_by_endpoint[seen.crash.endpoint]:
            crashes = len(self._crashes_by_part[other])
            if other in seen.deeper:
                if crashes > 1:
                    return True
            elif other not in seen.before and crashes > own:
                return True
        return False

    def _count_without_deeper(self, crashes: Iterable[PartCrash]) -> int:
        """Count the crashes without a deeper part that stands out."""
        suspects = self._crashes_by_part
        deeper = {part for seen in crashes for part in seen.deeper if part in suspects}
        blamed = {part for part in deeper if self._stands_out(part)}
        return sum(not seen.deeper & blamed for seen in crashes)

    def _has_twin(self, part: str) -> bool:
        """Return whether a part of other requests was in the same crashes."""
        crashes = self._crashes_by_part[part]
        related = {
            other for seen in crashes.values() for other in seen.before | seen.deeper
        }
        endpoint = next(iter(crashes))
        return any(
            self._crashes_by_part[other].keys() == crashes.keys()
            for other in self._parts_by_endpoint[endpoint] - related - {part}
        )


def _has_enough_evidence(crashes: Iterable[PartCrash]) -> bool:
    """Return whether several requests crashed endpoints at several times.

    One request that comes again is judged as a whole, and endpoints that crash
    together, as those of one rack do, have one cause.
    """
    crashes = list(crashes)
    fingerprints = {each for seen in crashes for each in seen.fingerprints}
    if len(fingerprints) < MIN_REQUESTS:
        return False
    moments, latest = 0, float("-inf")
    for seen_at in sorted(seen.crash.seen_at for seen in crashes):
        if seen_at - latest >= SIMULTANEOUS_CRASHES_S:
            moments, latest = moments + 1, seen_at
    return moments >= CRASHES_TO_QUARANTINE
