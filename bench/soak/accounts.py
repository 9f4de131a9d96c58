"""Client accounts and API keys of a run, and the checks on them."""

import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.callers import CallResult, Ending
from bench.soak.violation import Violation
from standins.forwarding.workers import RunRecord, Worker

__all__ = ["REVOCATION_BOUND_S", "Accounts", "check_accounts"]

# Daemons reject a revoked key at the latest after this.
REVOCATION_BOUND_S = 5.0
UNAUTHENTICATED = 401
UNLIMITED, LIMITED = "open-end", "limited"
KEYS_PER_ACCOUNT = 6
# Delay between authentication at the gateway and the run at the endpoint.
FORWARDING_SLACK_S = 0.3
# Rate and burst of the limited account, in requests, and the share by which
# each window may exceed them.
RATE_PER_S, BURST = 20.0, 20.0
WINDOW_S, OVERAGE = 8.0, 0.25


def _make_keys() -> dict[str, str]:
    return {
        f"key-of-{account}-{number}": account
        for account in (UNLIMITED, LIMITED)
        for number in range(KEYS_PER_ACCOUNT)
    }


@dataclass(slots=True)
class Accounts:
    """API keys by account, and when each key was revoked.

    Times are monotonic seconds. Callers also send revoked and unknown keys.
    """

    seed: int
    accounts_by_key: dict[str, str] = field(default_factory=_make_keys)
    revoked_at_by_key: dict[str, float] = field(default_factory=dict)
    _random: Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = Random(f"{self.seed} keys")

    def choose_key(self) -> str:
        """Return the key of the next request."""
        return self._random.choice([*self.accounts_by_key, "made-up"])

    def revoke(self, target: int) -> None:
        """Revoke a key if its account keeps at least two."""
        key = sorted(self.accounts_by_key)[target % len(self.accounts_by_key)]
        if len(self._list_keys(self.accounts_by_key[key])) > 2:
            self.revoked_at_by_key.setdefault(key, time.monotonic())

    def _list_keys(self, account: str) -> list[str]:
        return [
            key
            for key, owner in self.accounts_by_key.items()
            if owner == account and key not in self.revoked_at_by_key
        ]

    def describe(self) -> list[dict[str, Any]]:
        """Return the accounts in the format of the configuration."""
        limit = {"rate_per_s": RATE_PER_S, "burst": BURST}
        return [
            {"name": UNLIMITED, "api_keys": self._list_keys(UNLIMITED)},
            {"name": LIMITED, "api_keys": self._list_keys(LIMITED), **limit},
        ]


def check_accounts(
    accounts: Accounts, results: Sequence[CallResult], workers: Iterable[Worker]
) -> Iterable[Violation]:
    """Check the account and key of each run, and the rate limit."""
    records = [record for worker in workers for record in worker.records]
    keys_by_id = {result.request_id: result.key for result in results}
    for record in records:
        key = keys_by_id.get(record.request_id)
        if key is not None:
            yield from _check_record(accounts, record, key)
    yield from _check_rejections(accounts, results)
    yield from _check_limit(records)


def _check_record(
    accounts: Accounts, record: RunRecord, key: str
) -> Iterable[Violation]:
    if record.key:
        yield Violation("key passed on", f"{record}")
    owner = accounts.accounts_by_key.get(key)
    if owner is None:
        yield Violation("unknown key", f"{record} ran with {key}")
    elif record.account != owner:
        yield Violation("account", f"{record} belongs to {owner}")
    revoked_at = accounts.revoked_at_by_key.get(key)
    if (
        revoked_at is not None
        and record.started_at > revoked_at + REVOCATION_BOUND_S + FORWARDING_SLACK_S
    ):
        late_s = record.started_at - revoked_at
        yield Violation(
            "key taken away", f"{record} ran {late_s:.2f} s after revocation"
        )


def _check_rejections(
    accounts: Accounts, results: Sequence[CallResult]
) -> Iterable[Violation]:
    for result in results:
        if result.status != UNAUTHENTICATED or result.ending is not Ending.WHOLE:
            continue
        known = result.key in accounts.accounts_by_key
        revoked_at = accounts.revoked_at_by_key.get(result.key, float("inf"))
        if known and result.ended_at < revoked_at:
            yield Violation("known key", f"{result} was rejected as unknown")


def _check_limit(records: Iterable[RunRecord]) -> Iterable[Violation]:
    times = sorted(record.started_at for record in records if record.account == LIMITED)
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE)
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        if last - first + 1 > allowed:
            yield Violation("limit", f"{last - first + 1} runs in {WINDOW_S} s")
            return
