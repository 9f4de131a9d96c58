"""Tests of limits across all instances, on a virtual clock.

In any window of eight seconds an account is admitted at most 1.25 times what
its rate and burst allow.
"""

from dataclasses import replace

import pytest

from fescuekeel.helpers.published import ClientAccount
from tests.components.allowance.simulation import Fleet

PRICE = 1540.0
LARGE = ClientAccount("large", None, 118_000.0, 118_000.0, True, 200)
SMALL = ClientAccount("small", None, 5_400.0, 5_400.0, True, 200)
SIZES = (9, 75, 195)


def count_per_s(account, share):
    """Return the request rate that uses a share of an account's limit."""
    return account.rate_per_s / PRICE * share


class TestBound:
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    @pytest.mark.parametrize("seed", range(3))
    def test_an_account_far_above_its_limit_is_bounded(self, size, account, seed):
        """Guards against one account that takes the capacity of all others."""
        fleet = Fleet(account, size, seed)
        fleet.send_requests(10.0, count_per_s(account, 0.55), PRICE)
        fleet.send_requests(12.0, count_per_s(account, 3.3), PRICE)
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_burst_on_three_instances_is_bounded(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.send_requests(20.0, count_per_s(LARGE, 3.3), PRICE, ["i1", "i2", "i3"])
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("isolated", [1, 25, 37])
    @pytest.mark.parametrize("seed", range(3))
    def test_a_partition_gives_each_side_its_share(self, isolated, seed):
        """Guards against both sides granting the whole limit."""
        fleet = Fleet(LARGE, 75, seed)
        fleet.send_requests(10.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.partition(list(fleet.nodes)[:isolated])
        fleet.send_requests(6.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.heal()
        fleet.send_requests(10.0, count_per_s(LARGE, 2.0), PRICE)
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_new_home_does_not_grant_again_what_a_lost_one_granted(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.send_requests(10.0, count_per_s(LARGE, 2.0), PRICE)
        home = fleet.find_home(fleet.nodes["i0"])
        fleet.partition([home])
        others = [id for id in fleet.nodes if id != home]
        fleet.send_requests(10.0, count_per_s(LARGE, 2.0), PRICE, others)
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_a_lowered_limit_holds_after_one_window(self, seed):
        fleet = Fleet(LARGE, 75, seed)
        fleet.send_requests(12.0, count_per_s(LARGE, 2.0), PRICE)
        lower = replace(LARGE, rate_per_s=11_800.0, burst=11_800.0)
        fleet.account = lower
        fleet.send_requests(8.0, count_per_s(LARGE, 2.0), PRICE)
        fleet.admitted.clear()
        fleet.send_requests(16.0, count_per_s(LARGE, 2.0), PRICE)
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("base_share", [0.0, 0.02, 0.55])
    @pytest.mark.parametrize("burst_s", [1.0, 2.0, 3.0, 4.0, 5.0, 7.0])
    @pytest.mark.parametrize("seed", range(3))
    def test_a_restart_of_all_in_a_burst_is_bounded(self, base_share, burst_s, seed):
        """Guards against granting a used-up window again after a restart."""
        fleet = Fleet(LARGE, 75, seed)
        if base_share:
            fleet.send_requests(15.0, count_per_s(LARGE, base_share), PRICE)
        fleet.send_requests(burst_s, count_per_s(LARGE, 6.0), PRICE)
        fleet.restart_all(down_s=0.5)
        fleet.send_requests(10.0, count_per_s(LARGE, 6.0), PRICE)
        assert fleet.find_max_total() <= fleet.max_allowed

    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    def test_without_a_home_each_instance_keeps_to_its_share(self, size, account):
        """Guards against admitting any request larger than the share."""
        fleet = Fleet(account, size)
        fleet.ask = lambda node, price: node.local.start_fallback(fleet.now)
        fleet.send_requests(30.0, count_per_s(account, 3.3), PRICE)
        assert fleet.find_max_total() <= fleet.max_allowed


class TestService:
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("account", [LARGE, SMALL], ids=["large", "small"])
    def test_low_load_on_few_instances_is_served(self, size, account):
        """Guards against a limit split evenly over instances without traffic.

        An even share may be smaller than one request.
        """
        fleet = Fleet(account, size)
        targets = list(fleet.nodes)[:5]
        fleet.send_requests(30.0, count_per_s(account, 0.55), PRICE, targets)
        sent = len(fleet.admitted) + fleet.refused
        assert fleet.refused <= 0.02 * sent

    @pytest.mark.parametrize("seed", range(3))
    def test_above_its_limit_an_account_is_served_steadily(self, seed):
        """Guards against refusing everything until the returned wait is over.

        The wait grows with the demand refused before, up to seconds.
        """
        before = replace(LARGE, rate_per_s=3 * LARGE.rate_per_s)
        fleet = Fleet(before, 75, seed)
        targets = list(fleet.nodes)[:16]
        fleet.send_requests(12.0, count_per_s(LARGE, 1.5), PRICE, targets)
        fleet.account = LARGE
        started_at = fleet.now
        fleet.admitted.clear()
        fleet.send_requests(24.0, count_per_s(LARGE, 1.5), PRICE, targets)
        times = [at - started_at for at, _ in fleet.admitted]
        expected = count_per_s(LARGE, 2.0)
        for start in range(0, 24, 2):
            served = sum(start <= at < start + 2 for at in times)
            assert served >= expected / 2

    def test_most_requests_need_no_query_to_the_home(self):
        fleet = Fleet(LARGE, 75)
        fleet.send_requests(
            30.0, count_per_s(LARGE, 0.55), PRICE, list(fleet.nodes)[:16]
        )
        assert fleet.asked <= len(fleet.admitted) / 2

    def test_in_a_partition_each_side_serves_its_callers(self):
        """Guards against refusing all requests of an isolated data centre."""
        fleet = Fleet(LARGE, 75)
        fleet.send_requests(10.0, count_per_s(LARGE, 0.55), PRICE)
        fleet.partition(list(fleet.nodes)[:25])
        fleet.refused = 0
        fleet.admitted.clear()
        fleet.send_requests(6.0, count_per_s(LARGE, 0.55), PRICE)
        sent = len(fleet.admitted) + fleet.refused
        assert fleet.refused <= 0.1 * sent
