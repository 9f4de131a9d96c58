"""The claims that one home has granted or received."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fescuekeel.components.keys.const import MAX_CLAIMS, REQUEST_MAX_S
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import KeyAnswer, KeyClaim, KeyRecord

__all__ = ["Ledger"]

GRANTED = KeyAnswer(True)


@dataclass(slots=True)
class Entry:
    """One claim; ``expires_at`` is in monotonic seconds."""

    request_id: str
    digest: str
    lifetime_s: float
    used: bool
    expires_at: float


class Ledger:
    """Grant each key to one request at a time.

    >>> ledger = Ledger()
    >>> ledger.claim(KeyClaim("k", "r1", "d", 600_000), now=0.0).granted
    True
    >>> ledger.claim(KeyClaim("k", "r2", "d", 600_000), now=1.0).kind
    'key_in_progress'
    """

    def __init__(self) -> None:
        self._entries_by_key: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def claim(self, claim: KeyClaim, now: float) -> KeyAnswer:
        """Grant or refuse a claim; a repeated claim is granted again."""
        entry = self._entries_by_key.get(claim.key)
        if entry is None or entry.expires_at <= now:
            return self._add(claim, now)
        if entry.request_id == claim.request_id and not entry.used:
            return GRANTED
        if entry.digest != claim.digest:
            return KeyAnswer(False, ErrorKind.KEY_MISMATCH.value)
        if entry.used:
            return KeyAnswer(False, ErrorKind.KEY_USED.value)
        return KeyAnswer(False, ErrorKind.KEY_IN_PROGRESS.value)

    def _add(self, claim: KeyClaim, now: float) -> KeyAnswer:
        if len(self._entries_by_key) >= MAX_CLAIMS:
            # Evicting a claim early would allow the key to be granted twice.
            return KeyAnswer(False, ErrorKind.KEY_HOME_UNREACHABLE.value)
        lifetime_s = claim.lifetime_ms / 1000
        self._entries_by_key[claim.key] = Entry(
            claim.request_id,
            claim.digest,
            lifetime_s,
            False,
            now + lifetime_s + REQUEST_MAX_S,
        )
        return GRANTED

    def settle(self, key: str, request_id: str, ran: bool, now: float) -> None:
        """Release the request's claim, or mark the key as used."""
        entry = self._entries_by_key.get(key)
        if entry is None or entry.request_id != request_id or entry.used:
            return
        if not ran:
            del self._entries_by_key[key]
            return
        entry.used = True
        entry.expires_at = now + entry.lifetime_s

    def export_records(
        self, wanted: Callable[[str], bool], now: float
    ) -> list[KeyRecord]:
        """Return the claims of the wanted keys, sorted by key."""
        return [
            KeyRecord(
                key,
                entry.request_id,
                entry.digest,
                entry.used,
                int((entry.expires_at - now) * 1000),
                int(entry.lifetime_s * 1000),
            )
            for key, entry in sorted(self._entries_by_key.items())
            if entry.expires_at > now and wanted(key)
        ]

    def merge_records(self, records: Iterable[KeyRecord], now: float) -> None:
        """Add another home's claims; a used key stays used."""
        for record in records:
            entry = self._entries_by_key.get(record.key)
            if entry is not None and (entry.used or not record.used):
                continue
            self._entries_by_key[record.key] = Entry(
                record.request_id,
                record.digest,
                record.lifetime_ms / 1000,
                record.used,
                now + record.remaining_ms / 1000,
            )

    def expire(self, now: float) -> None:
        """Remove expired claims."""
        for key, entry in list(self._entries_by_key.items()):
            if entry.expires_at <= now:
                del self._entries_by_key[key]
