"""Tests of the decisions on idempotency keys."""

import dataclasses

import pytest
from hypothesis import given, strategies as st

from fescuekeel.components.keys.const import (
    DEFAULT_LIFETIME_S,
    DELISTED_HOLD_S,
    REQUEST_MAX_S,
)
from fescuekeel.components.keys.decision import KeyHome
from fescuekeel.components.keys.homes import choose_homes, count_majority
from fescuekeel.components.keys.ledger import Ledger
from fescuekeel.components.keys.quorum import QuorumCounter
from fescuekeel.errors import ErrorKind
from fescuekeel.messages import (
    KeyAnswer,
    KeyClaim,
    KeyCopy,
    KeyPull,
    KeySettle,
    LiveEntry,
    LiveList,
    LiveRole,
)

LIFETIME_MS = int(DEFAULT_LIFETIME_S * 1000)


def make_live(ids, incarnation=1):
    return LiveList(
        {id: LiveEntry(id, LiveRole.INSTANCE, "", "dc", incarnation) for id in ids}
    )


def make_claim(request="r1", digest="d", homes=(), key="k"):
    return KeyClaim(key, request, digest, LIFETIME_MS, tuple(homes))


class TestHomes:
    @given(
        st.dictionaries(st.text("abcdef", min_size=1), st.sampled_from("xyz")),
        st.text("abcdef", min_size=1),
        st.sampled_from("xyz"),
    )
    def test_adding_an_instance_makes_no_other_a_home(self, data_centres, id, where):
        before = choose_homes("k", data_centres)
        after = choose_homes("k", {id: where, **data_centres})
        assert set(after) <= {*before, id}

    def test_homes_lie_in_different_data_centres(self):
        data_centres = {f"{dc}{number}": dc for dc in "abc" for number in range(9)}
        for key in map(str, range(50)):
            homes = choose_homes(key, data_centres)
            assert {data_centres[home] for home in homes} == set("abc")

    def test_any_two_majorities_overlap(self):
        for homes in (1, 2, 3):
            assert 2 * count_majority(homes) > homes


class TestLedger:
    @pytest.mark.parametrize(
        ("digest", "ran", "kind"),
        [
            ("d", None, ErrorKind.KEY_IN_PROGRESS),
            ("d", True, ErrorKind.KEY_USED),
            ("other", None, ErrorKind.KEY_MISMATCH),
            ("other", True, ErrorKind.KEY_MISMATCH),
        ],
    )
    def test_a_second_request_is_refused(self, digest, ran, kind):
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        if ran is not None:
            ledger.settle("k", "r1", ran, 1.0)
        assert ledger.claim(make_claim("r2", digest), 2.0).kind == kind.value

    def test_a_request_that_did_not_run_releases_the_key(self):
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        ledger.settle("k", "r2", False, 1.0)
        assert not ledger.claim(make_claim("r2"), 1.0).granted
        ledger.settle("k", "r1", False, 1.0)
        assert ledger.claim(make_claim("r2"), 1.0).granted

    def test_a_used_key_is_kept_for_its_lifetime(self):
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        ledger.settle("k", "r1", True, 100.0)
        ledger.expire(99.0 + DEFAULT_LIFETIME_S)
        assert not ledger.claim(make_claim("r2"), 99.0 + DEFAULT_LIFETIME_S).granted
        assert ledger.claim(make_claim("r2"), 101.0 + DEFAULT_LIFETIME_S).granted

    def test_an_unsettled_claim_expires(self):
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        ledger.expire(DEFAULT_LIFETIME_S + REQUEST_MAX_S)
        assert len(ledger) == 0

    def test_a_full_ledger_refuses_and_evicts_nothing(self, monkeypatch):
        monkeypatch.setattr("fescuekeel.components.keys.ledger.MAX_CLAIMS", 1)
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        answer = ledger.claim(make_claim("r2", key="other"), 0.0)
        assert answer.kind == ErrorKind.KEY_HOME_UNREACHABLE.value
        assert not ledger.claim(make_claim("r2"), 0.0).granted

    def test_a_used_key_stays_used_after_a_merge(self):
        ledger = Ledger()
        ledger.claim(make_claim(), 0.0)
        ledger.settle("k", "r1", True, 1.0)
        (record,) = ledger.export_records(lambda key: True, 1.0)
        other = Ledger()
        other.claim(make_claim("r2"), 1.0)
        other.merge_records([record], 1.0)
        other.merge_records([dataclasses.replace(record, used=False)], 1.0)
        assert other.claim(make_claim("r3"), 2.0).kind == ErrorKind.KEY_USED.value


class TestQuorumCounter:
    @pytest.mark.parametrize(
        ("answers", "won", "kind"),
        [
            ("gg", True, None),
            ("g-g", True, None),
            ("--", False, ErrorKind.KEY_HOME_UNREACHABLE),
            ("g--", False, ErrorKind.KEY_HOME_UNREACHABLE),
            ("gp-", False, ErrorKind.KEY_IN_PROGRESS),
            ("up", False, ErrorKind.KEY_USED),
        ],
    )
    def test_a_majority_of_three_wins(self, answers, won, kind):
        by_letter = {
            "g": KeyAnswer(True),
            "-": None,
            "p": KeyAnswer(False, ErrorKind.KEY_IN_PROGRESS.value),
            "u": KeyAnswer(False, ErrorKind.KEY_USED.value),
        }
        counter = QuorumCounter(3)
        decided = [counter.add(by_letter[letter]) for letter in answers]
        assert decided == [False] * (len(answers) - 1) + [True]
        assert counter.won is won
        if kind:
            assert counter.get_failure().kind is kind


class TestKeyHome:
    def test_nothing_is_granted_before_the_list_is_known(self):
        home = KeyHome("i1", "dc")
        home.apply_list(LiveList(), 0.0)
        assert home.find_homes("k", 0.0) == ()
        assert not home.claim(make_claim(homes=["i1"]), 0.0).granted

    def test_a_restarted_home_grants_nothing_before_it_has_synced(self):
        # Guards against a request that runs twice: a home that restarts has
        # lost its grant, and could grant the key again with the third home.
        live = make_live(["i1", "i2", "i3"])
        homes = ("i1", "i2", "i3")
        first, restarted = KeyHome("i1", "dc"), KeyHome("i2", "dc")
        for home in (first, restarted):
            home.apply_list(live, 0.0)
        for other in ("i2", "i3"):
            first.apply_copy(other, KeyCopy(), 0.0)
        assert first.claim(make_claim(homes=homes), 1.0).granted
        assert not restarted.claim(make_claim("r2", homes=homes), 2.0).granted
        restarted.apply_copy("i3", KeyCopy(), 3.0)
        assert not restarted.claim(make_claim("r2", homes=homes), 3.0).granted
        restarted.apply_copy("i1", first.handle_pull("i2", KeyPull("dc"), 4.0), 4.0)
        answer = restarted.claim(make_claim("r2", homes=homes), 4.0)
        assert answer.kind == ErrorKind.KEY_IN_PROGRESS.value

    def test_a_home_that_chooses_other_homes_refuses(self):
        # Guards against two winners under two sets of homes, chosen from the
        # list before and after an instance was added.
        old, new = ("i1", "i2", "i3"), ["i1", "i2", "i3", "i4", "i5", "i6"]
        home = KeyHome("i1", "dc")
        home.apply_list(make_live(["i1"]), 0.0)
        home.apply_list(make_live(new), 0.0)
        moved = [key for key in map(str, range(30)) if home.find_homes(key, 0.0) != old]
        assert moved
        for key in moved:
            assert not home.claim(make_claim(key=key, homes=old), 0.0).granted

    def test_claims_come_in_pages(self, monkeypatch):
        monkeypatch.setattr("fescuekeel.components.keys.decision.PAGE_RECORDS", 2)
        first = KeyHome("i1", "dc")
        first.apply_list(make_live(["i1"]), 0.0)
        keys = list("abcde")
        for key in keys:
            assert first.claim(make_claim(key=key, homes=["i1"]), 0.0).granted
        seen, after, more = [], "", True
        while more:
            copy = first.handle_pull("i2", KeyPull("dc", after), 0.0)
            seen += [record.key for record in copy.records]
            after, more = seen[-1], copy.more
        assert seen == keys

    def test_a_delisted_instance_counts_until_its_claims_expire(self):
        home = KeyHome("i1", "dc")
        home.apply_list(make_live(["i1", "i2", "i3"]), 0.0)
        home.apply_list(make_live(["i1", "i2"]), 1.0)
        home.tick(DELISTED_HOLD_S)
        assert "i3" in home.find_homes("k", DELISTED_HOLD_S)
        home.tick(DELISTED_HOLD_S + 2)
        assert "i3" not in home.find_homes("k", DELISTED_HOLD_S + 2)

    def test_a_leaving_home_hands_its_claims_over(self):
        ids = ["i1", "i2", "i3", "i4"]
        homes_by_id = {id: KeyHome(id, "dc") for id in ids}
        for id, home in homes_by_id.items():
            home.apply_list(make_live(ids), 0.0)
            for other in set(ids) - {id}:
                home.apply_copy(other, KeyCopy(), 0.0)
        homes = homes_by_id["i1"].find_homes("k", 0.0)
        leaver, stays, _ = homes
        (joins,) = set(ids) - set(homes)
        for id in (leaver, stays):
            assert homes_by_id[id].claim(make_claim(homes=homes), 1.0).granted
        for id, copies in homes_by_id[leaver].hand_over(2.0).items():
            for copy in copies:
                homes_by_id[id].apply_copy(leaver, copy, 2.0)
        assert not homes_by_id[leaver].claim(make_claim(homes=homes), 3.0).granted
        new_homes = homes_by_id[joins].find_homes("k", 3.0)
        assert joins in new_homes and leaver not in new_homes
        answer = homes_by_id[joins].claim(make_claim("r2", homes=new_homes), 3.0)
        assert answer.kind == ErrorKind.KEY_IN_PROGRESS.value

    def test_settling_releases_the_key_or_marks_it_used(self):
        home = KeyHome("i1", "dc")
        home.apply_list(make_live(["i1"]), 0.0)
        home.claim(make_claim(homes=["i1"]), 0.0)
        home.settle(KeySettle("k", "r1", "no"), 1.0)
        assert home.claim(make_claim("r2", homes=["i1"]), 2.0).granted
        home.settle(KeySettle("k", "r2", "unknown"), 3.0)
        answer = home.claim(make_claim("r3", homes=["i1"]), 4.0)
        assert answer.kind == ErrorKind.KEY_USED.value
