"""The wire format of crash reports between instances.

A report has the requests of one instance that ran on an endpoint when it
crashed. It grows as further answers break, and the longest one replaces the
others.
"""

from dataclasses import dataclass, field

from fescuekeel.components.quarantine.const import MAX_FINGERPRINTS, MAX_REPORTS

__all__ = ["SEPARATOR", "OwnReports", "pack_fingerprints", "unpack_fingerprints"]

FINGERPRINT_BYTES = 16
# Separates the parts of a fact's key.
SEPARATOR = "|"
# Before the number of a crash, from the second one on.
NUMBER_SEPARATOR = "+"


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
    """The requests of this instance in one crash of an endpoint."""

    crash: str
    fingerprints: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LatestCrash:
    """The number of an endpoint's latest crash, and when it became known."""

    number: int
    known_since: float


@dataclass(slots=True)
class OwnReports:
    """The reports of this instance, and the latest crash of each endpoint.

    An endpoint may crash, restart and crash again before instances learn of
    its new incarnation. A run that began after a crash was known here belongs
    to the next one, which gets the next number.

    >>> reports = OwnReports()
    >>> first = reports.add("e1", "f1", began_at=0.0, now=1.0)
    >>> first.crash, first.fingerprints
    ('e1', ['f1'])
    >>> reports.add("e1", "f1", began_at=0.5, now=1.1) is None
    True
    >>> reports.add("e1", "f1", began_at=3.0, now=4.0).crash
    'e1+2'
    """

    _reports_by_crash: dict[str, OwnReport] = field(default_factory=dict)
    _latest_by_endpoint: dict[str, LatestCrash] = field(default_factory=dict)

    def record_known(self, crash: str, now: float) -> None:
        """Record that a crash has become known, whoever saw it."""
        endpoint, number = split_crash(crash)
        latest = self._latest_by_endpoint
        known = latest.get(endpoint)
        if known is not None and known.number >= number:
            return
        if known is None and len(latest) >= MAX_REPORTS:
            del latest[next(iter(latest))]
        latest[endpoint] = LatestCrash(number, now)

    def add(
        self, endpoint: str, fingerprint: str, began_at: float, now: float
    ) -> OwnReport | None:
        """Add a request; return its report, ``None`` if that is unchanged."""
        number = self._find_number(endpoint, began_at)
        crash = endpoint if number == 1 else f"{endpoint}{NUMBER_SEPARATOR}{number}"
        self.record_known(crash, now)
        report = self._get_report(crash)
        known = report.fingerprints
        if fingerprint in known or len(known) >= MAX_FINGERPRINTS:
            return None
        known.append(fingerprint)
        return report

    def _find_number(self, endpoint: str, began_at: float) -> int:
        latest = self._latest_by_endpoint.get(endpoint)
        if latest is None:
            return 1
        return latest.number + (began_at > latest.known_since)

    def _get_report(self, crash: str) -> OwnReport:
        reports = self._reports_by_crash
        if crash not in reports and len(reports) >= MAX_REPORTS:
            del reports[next(iter(reports))]
        return reports.setdefault(crash, OwnReport(crash))


def split_crash(crash: str) -> tuple[str, int]:
    """Return the endpoint of a crash, and which crash of it this is.

    >>> split_crash("e1"), split_crash("e1+2")
    (('e1', 1), ('e1', 2))
    """
    endpoint, separator, number = crash.rpartition(NUMBER_SEPARATOR)
    if not separator or not number.isdigit():
        return crash, 1
    return endpoint, int(number)
