"""Tests that the account checks detect violations."""

from bench.soak.accounts import (
    LIMITED,
    REVOCATION_BOUND_S,
    UNLIMITED,
    Accounts,
    check_accounts,
)
from standins.forwarding.workers import RunRecord, Worker
from tests.soak.test_checks import make_result

KEY = f"key-of-{UNLIMITED}-0"


def find_violations(
    key=KEY, at=10.0, account=UNLIMITED, forwarded_key="", revoked_at=None, status=200
):
    accounts = Accounts(1)
    if revoked_at is not None:
        accounts.revoked_at_by_key[key] = revoked_at
    worker = Worker("s")
    if status == 200:
        worker.records.append(RunRecord("1", at, account=account, key=forwarded_key))
    results = [make_result(key=key, status=status, ended_at=at)]
    return [item.invariant for item in check_accounts(accounts, results, [worker])]


class TestChecks:
    def test_correct_run_has_no_violations(self):
        assert find_violations() == []
        assert find_violations(revoked_at=9.0) == []

    def test_each_violation_is_detected(self):
        assert find_violations(forwarded_key="x") == ["key passed on"]
        assert find_violations(account="other") == ["account"]
        assert find_violations(key="made-up", account="") == ["unknown key"]
        assert find_violations(revoked_at=10.0 - REVOCATION_BOUND_S - 1.0) == [
            "key taken away"
        ]
        assert find_violations(status=401) == ["known key"]

    def test_revoked_or_unknown_key_may_be_rejected(self):
        assert find_violations(status=401, revoked_at=5.0) == []
        assert find_violations(key="made-up", status=401) == []

    def test_rate_limit_overrun_is_detected(self):
        worker = Worker("s")
        worker.records += [
            RunRecord(str(number), number * 0.01, account=LIMITED)
            for number in range(300)
        ]
        found = list(check_accounts(Accounts(1), [], [worker]))
        assert [item.invariant for item in found] == ["limit"]
