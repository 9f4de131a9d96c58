"""Tests of limits over all instances, on a virtual clock.

The users' bound: in any window of eight seconds no more than the rate and the
burst, and a quarter.
"""

from dataclasses import replace

import pytest

from fescuekeel.helpers.published import ClientAccount
from tests.components.allowance.fleet import Fleet

PRICE = 1540.0
LARGE = ClientAccount("large", None, 118_000.0, 118_000.0, True, 200)
SMALL = ClientAccount("small", None, 5_400.0, 5_400.0, True, 200)
SIZES = (9, 75, 195)


def count_per_s(account, share):
    """Return the requests a second that use a share of a limit."""
    return account.rate_per_s / PRICE * share


class TestBound:
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    @pytest.mark.parametrize("seed", range(3))
    def test_one_account_sends_six_times_its_usual(self, size, account, seed):
        """One account's crowd took the places of all the others."""
        fleet = Fleet(account, size, seed)
        fleet.play(10.0, count_per_s(account, 0.55), PRICE)
        fleet.play(12.0, count_per_s(account, 3.3), PRICE)
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_crowd_on_three_instances_only(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.play(20.0, count_per_s(LARGE, 3.3), PRICE, ["i1", "i2", "i3"])
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("apart", [1, 25, 37])
    @pytest.mark.parametrize("seed", range(3))
    def test_a_cut_gives_each_side_its_part(self, apart, seed):
        """In a cut, both sides granted the whole limit."""
        fleet = Fleet(LARGE, 75, seed)
        fleet.play(10.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.cut(list(fleet.nodes)[:apart])
        fleet.play(6.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.heal()
        fleet.play(10.0, count_per_s(LARGE, 2.0), PRICE)
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_lost_home_is_followed_without_granting_twice(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.play(10.0, count_per_s(LARGE, 2.0), PRICE)
        home = fleet.find_home(fleet.nodes["i0"])
        fleet.cut([home])
        others = [id for id in fleet.nodes if id != home]
        fleet.play(10.0, count_per_s(LARGE, 2.0), PRICE, others)
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_limit_lowered_tenfold_binds_within_a_window(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.play(12.0, count_per_s(LARGE, 2.0), PRICE)
        lower = replace(LARGE, rate_per_s=11_800.0, burst=11_800.0)
        fleet.account = lower
        fleet.play(8.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.admitted.clear()
        fleet.play(16.0, count_per_s(LARGE, 2.0), PRICE)
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("calm_share", [0.0, 0.02, 0.55])
    @pytest.mark.parametrize("crowd_s", [1.0, 2.0, 3.0, 4.0, 5.0, 7.0])
    @pytest.mark.parametrize("seed", range(3))
    def test_all_lose_power_in_a_crowd(self, calm_share, crowd_s, seed):
        """An account ran more in eight seconds than is allowed.

        It had used its whole window up when all instances lost power, and
        those that started knew nothing of it.
        """
        fleet = Fleet(LARGE, 75, seed)
        if calm_share:
            fleet.play(15.0, count_per_s(LARGE, calm_share), PRICE)
        fleet.play(crowd_s, count_per_s(LARGE, 6.0), PRICE)
        fleet.lose_power(down_s=0.5)
        fleet.play(10.0, count_per_s(LARGE, 6.0), PRICE)
        assert fleet.count_worst_window() <= fleet.allowed

    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    def test_without_any_home_each_instance_keeps_to_its_part(self, size, account):
        """An account's requests are larger than an instance's whole part.

        While its home was silent each instance let them all pass, since what
        it had to spend could never pay for one.
        """
        fleet = Fleet(account, size)
        fleet.ask = lambda node, price: node.holding.note_silent(fleet.now)
        fleet.play(30.0, count_per_s(account, 3.3), PRICE)
        assert fleet.count_worst_window() <= fleet.allowed


class TestService:
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    def test_a_small_crowd_on_few_instances_is_served(self, size, account):
        """An account far below its limit got 429 after 429.

        Its callers reach five instances of many, and each had an even part of
        the limit, less than one request in a second.
        """
        fleet = Fleet(account, size)
        callers = list(fleet.nodes)[:5]
        fleet.play(30.0, count_per_s(account, 0.55), PRICE, callers)
        sent = len(fleet.admitted) + fleet.refused
        assert fleet.refused <= 0.02 * sent

    @pytest.mark.parametrize("seed", range(3))
    def test_beyond_a_limit_an_account_is_served_steadily(self, seed):
        """For two seconds all of an account's requests were refused.

        It sent half as much again as it may, ever since its limit had been
        lowered. Whoever was refused once did not ask its home again for as
        long as all that had been refused would take, four seconds at most.
        """
        before = replace(LARGE, rate_per_s=3 * LARGE.rate_per_s)
        fleet = Fleet(before, 75, seed)
        callers = list(fleet.nodes)[:16]
        fleet.play(12.0, count_per_s(LARGE, 1.5), PRICE, callers)
        fleet.account = LARGE
        began = fleet.now
        fleet.admitted.clear()
        fleet.play(24.0, count_per_s(LARGE, 1.5), PRICE, callers)
        times = [at - began for at, _ in fleet.admitted]
        fair = count_per_s(LARGE, 2.0)
        for start in range(0, 24, 2):
            served = sum(start <= at < start + 2 for at in times)
            assert served >= fair / 2

    def test_most_requests_wait_for_no_answer(self):
        fleet = Fleet(LARGE, 75)
        fleet.play(30.0, count_per_s(LARGE, 0.55), PRICE, list(fleet.nodes)[:16])
        assert fleet.asked <= len(fleet.admitted) / 2

    def test_in_a_cut_each_side_serves_its_own(self):
        """A whole data centre got 429 while it was cut off."""
        fleet = Fleet(LARGE, 75)
        fleet.play(10.0, count_per_s(LARGE, 0.55), PRICE)
        fleet.cut(list(fleet.nodes)[:25])
        fleet.refused = 0
        fleet.admitted.clear()
        fleet.play(6.0, count_per_s(LARGE, 0.55), PRICE)
        sent = len(fleet.admitted) + fleet.refused
        assert fleet.refused <= 0.1 * sent
