"""The form in which instances tell each other of crashes.

A report has the requests of one instance that ran on an endpoint when it
crashed. It grows as further answers break, and the longest one replaces the
others.
"""

from dataclasses import dataclass, field

from fescuekeel.components.quarantine.const import MAX_FINGERPRINTS, MAX_REPORTS

__all__ = ["OwnReports", "pack_fingerprints", "unpack_fingerprints"]

FINGERPRINT_BYTES = 16


def pack_fingerprints(fingerprints: list[str]) -> bytes:
    """Return fingerprints in their wire format.

    >>> unpack_fingerprints(pack_fingerprints(["0" * 32, "f" * 32]))[1][:4]
    'ffff'
    """
    return b"".join(bytes.fromhex(fingerprint) for fingerprint in fingerprints)


def unpack_fingerprints(payload: bytes) -> list[str]:
    """Return the fingerprints of a report; an incomplete one is left out."""
    whole = len(payload) - len(payload) % FINGERPRINT_BYTES
    return [
        payload[start : start + FINGERPRINT_BYTES].hex()
        for start in range(0, whole, FINGERPRINT_BYTES)
    ]


@dataclass(slots=True)
class OwnReport:
    """The requests in one crash, and when the first one was added."""

    crash: str
    reported_at: float
    fingerprints: list[str] = field(default_factory=list)


@dataclass(slots=True)
class OwnReports:
    """The latest report of this instance for each endpoint.

    An endpoint may crash, restart and crash again before this instance learns
    of its new incarnation. A run that began after the first crash was reported
    belongs to another crash, which gets a number.

    >>> reports = OwnReports()
    >>> first = reports.add("e1", "f1", began_at=0.0, now=1.0)
    >>> first.crash, first.fingerprints
    ('e1', ['f1'])
    >>> reports.add("e1", "f1", began_at=0.5, now=1.1) is None
    True
    >>> reports.add("e1", "f1", began_at=3.0, now=4.0).crash
    'e1+2'
    """

    _reports_by_endpoint: dict[str, OwnReport] = field(default_factory=dict)
    _counts_by_endpoint: dict[str, int] = field(default_factory=dict)

    def add(
        self, endpoint: str, fingerprint: str, began_at: float, now: float
    ) -> OwnReport | None:
        """Add a request; return its report, ``None`` if that is unchanged."""
        report = self._reports_by_endpoint.get(endpoint)
        if report is None or began_at > report.reported_at:
            report = self._begin_report(endpoint, now)
        known = report.fingerprints
        if fingerprint in known or len(known) >= MAX_FINGERPRINTS:
            return None
        known.append(fingerprint)
        return report

    def _begin_report(self, endpoint: str, now: float) -> OwnReport:
        counts = self._counts_by_endpoint
        if endpoint not in counts and len(counts) >= MAX_REPORTS:
            oldest = next(iter(counts))
            del counts[oldest], self._reports_by_endpoint[oldest]
        number = counts[endpoint] = counts.get(endpoint, 0) + 1
        crash = f"{endpoint}+{number}" if number > 1 else endpoint
        report = self._reports_by_endpoint[endpoint] = OwnReport(crash, now)
        return report
