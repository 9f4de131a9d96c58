"""The client accounts of a run, their keys, and what must hold of them."""

import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.soak.callers import Answer, Ending
from bench.soak.violation import Violation
from standins.forwarding.workers import RunRecord, Worker

__all__ = ["REVOKED_S", "Accounts", "check_accounts"]

# A key that was taken away serves nowhere after this.
REVOKED_S = 5.0
UNAUTHENTICATED = 401
OPEN, LIMITED = "open-end", "limited"
KEYS_PER_ACCOUNT = 6
# How late a run may be seen: the way of a request to an endpoint.
WAY_S = 0.3
# The limited account's rate and burst, in requests, and what the users allow
# beyond them in any window.
RATE_PER_S, BURST = 20.0, 20.0
WINDOW_S, OVERAGE = 8.0, 0.25


def _make_keys() -> dict[str, str]:
    return {
        f"key-of-{account}-{number}": account
        for account in (OPEN, LIMITED)
        for number in range(KEYS_PER_ACCOUNT)
    }


@dataclass(slots=True)
class Accounts:
    """Hold whose key is whose, and when each one was taken away.

    Times are monotonic seconds. Callers go on using keys that were taken
    away, and some that never were any.
    """

    seed: int
    accounts_by_key: dict[str, str] = field(default_factory=_make_keys)
    taken_at_by_key: dict[str, float] = field(default_factory=dict)
    _random: Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = Random(f"{self.seed} keys")

    def choose_key(self) -> str:
        """Return the key of the next request."""
        return self._random.choice([*self.accounts_by_key, "made-up"])

    def take(self, target: int) -> None:
        """Take a key away, as long as its account keeps two."""
        key = sorted(self.accounts_by_key)[target % len(self.accounts_by_key)]
        if len(self._list_keys(self.accounts_by_key[key])) > 2:
            self.taken_at_by_key.setdefault(key, time.monotonic())

    def _list_keys(self, account: str) -> list[str]:
        return [
            key
            for key, owner in self.accounts_by_key.items()
            if owner == account and key not in self.taken_at_by_key
        ]

    def describe(self) -> list[dict[str, Any]]:
        """Return the accounts as the platform writes them."""
        limit = {"rate_per_s": RATE_PER_S, "burst": BURST}
        return [
            {"name": OPEN, "api_keys": self._list_keys(OPEN)},
            {"name": LIMITED, "api_keys": self._list_keys(LIMITED), **limit},
        ]


def check_accounts(
    accounts: Accounts, answers: Sequence[Answer], workers: Iterable[Worker]
) -> Iterable[Violation]:
    """Check whose requests ran, with which key, and how many."""
    records = [record for worker in workers for record in worker.records]
    keys_by_id = {answer.request_id: answer.key for answer in answers}
    for record in records:
        key = keys_by_id.get(record.request_id)
        if key is not None:
            yield from _check_record(accounts, record, key)
    yield from _check_refusals(accounts, answers)
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
        yield Violation("account", f"{record} is {owner}'s")
    taken = accounts.taken_at_by_key.get(key)
    if taken is not None and record.at > taken + REVOKED_S + WAY_S:
        late_s = record.at - taken
        yield Violation("key taken away", f"{record} ran {late_s:.2f} s after")


def _check_refusals(
    accounts: Accounts, answers: Sequence[Answer]
) -> Iterable[Violation]:
    for answer in answers:
        if answer.status != UNAUTHENTICATED or answer.ending is not Ending.WHOLE:
            continue
        known = answer.key in accounts.accounts_by_key
        taken = accounts.taken_at_by_key.get(answer.key, float("inf"))
        if known and answer.ended < taken:
            yield Violation("known key", f"{answer} was called unknown")


def _check_limit(records: Iterable[RunRecord]) -> Iterable[Violation]:
    times = sorted(record.at for record in records if record.account == LIMITED)
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE)
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        if last - first + 1 > allowed:
            yield Violation("limit", f"{last - first + 1} runs in {WINDOW_S} s")
            return
