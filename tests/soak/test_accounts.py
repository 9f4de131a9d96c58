"""Each check of the accounts must notice what it is there for."""

from bench.soak.accounts import (
    LIMITED,
    OPEN,
    REVOKED_S,
    Accounts,
    check_accounts,
)
from standins.forwarding.workers import RunRecord, Worker
from tests.soak.test_checks import make_answer

KEY = f"key-of-{OPEN}-0"


def find(key=KEY, at=10.0, account=OPEN, passed="", taken_at=None, status=200):
    accounts = Accounts(1)
    if taken_at is not None:
        accounts.taken_at_by_key[key] = taken_at
    worker = Worker("s")
    if status == 200:
        worker.records.append(RunRecord("1", at, account=account, key=passed))
    answers = [make_answer(key=key, status=status, ended=at)]
    return [item.promise for item in check_accounts(accounts, answers, [worker])]


class TestChecks:
    def test_a_sound_run_is_none(self):
        assert find() == []
        assert find(taken_at=9.0) == []

    def test_each_fault_is_noticed(self):
        assert find(passed="x") == ["key passed on"]
        assert find(account="other") == ["account"]
        assert find(key="made-up", account="") == ["unknown key"]
        assert find(taken_at=10.0 - REVOKED_S - 1.0) == ["key taken away"]
        assert find(status=401) == ["known key"]

    def test_a_key_that_was_taken_away_may_be_unknown(self):
        assert find(status=401, taken_at=5.0) == []
        assert find(key="made-up", status=401) == []

    def test_too_many_runs_in_a_window_are_noticed(self):
        worker = Worker("s")
        worker.records += [
            RunRecord(str(number), number * 0.01, account=LIMITED)
            for number in range(300)
        ]
        found = list(check_accounts(Accounts(1), [], [worker]))
        assert [item.promise for item in found] == ["limit"]
