"""Tests of the smaller parts of the forward component."""

from fescuekeel.components.endpoints import EndpointLoad
from fescuekeel.components.forward.budget import RetryBudget
from fescuekeel.components.forward.routes import RouteTable, choose_service
from fescuekeel.components.forward.slack_share import SlackShare
from fescuekeel.components.forward.use import make_use
from fescuekeel.components.forward.versions import VersionTracker
from fescuekeel.components.placement.const import USE_TTL_S
from fescuekeel.helpers.published import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    WeightedService,
    Weights,
)

LIMITS = CallerLimits(1, 1, 1.0, 1.0)
CARDS = Weights("m", "cards")


def make_route(name, prefix="/a/", host="h.example", targets=(("s", 1.0),)):
    weighted = tuple(WeightedService(*target) for target in targets)
    return Route(name, host, prefix, RouteKind.SAFE, 1.0, 1.0, 1, weighted)


class TestRouteTable:
    def test_longest_prefix_wins(self):
        routes = (make_route("short"), make_route("long", "/a/b/"))
        table = RouteTable(Configuration(1, routes, {}, LIMITS))
        assert table.find("h.example", "/a/b/c").name == "long"
        assert table.find("H.example:80", "/a/c").name == "short"
        assert table.find("h.example", "/b/") is None
        assert table.find("other.example", "/a/") is None


class TestChooseService:
    def test_services_are_chosen_by_weight(self):
        route = make_route("r", targets=(("s", 90.0), ("t", 10.0)))
        chosen = [choose_service(route, str(number)) for number in range(2000)]
        assert 120 < chosen.count("t") < 280

    def test_service_of_zero_weight_is_not_chosen(self):
        route = make_route("r", targets=(("s", 0.0), ("t", 10.0)))
        assert {choose_service(route, str(n)) for n in range(100)} == {"t"}


def make_budget(ratio, slack):
    """Return the budget of an instance that has run for long."""
    share = SlackShare("dc1", 1, has_seeds=False, settle_s=10.5, started_at=-20.0)
    budget = RetryBudget(ratio, slack, 10.0, share)
    budget.share._alive_at = 0.0
    budget.update_members({"i0": "dc1"}, set(), 0.0)
    return budget


def keep_alive(budget, start, end):
    """Let an instance run from one time to another."""
    for second in range(int(start), int(end) + 1):
        budget.record_alive(float(second))


class TestRetryBudget:
    def test_budget_is_shared_among_instances(self):
        """Guards against each instance using the whole budget."""
        alone, shared = make_budget(0.0, 40.0), make_budget(0.0, 40.0)
        centres_by_id = {f"i{number}": "dc1" for number in range(8)}
        shared.update_members(centres_by_id, set(), 0.0)
        assert sum(alone.spend("s", 0.0) for _ in range(100)) == 40
        assert sum(shared.spend("s", 0.0) for _ in range(100)) == 5

    def test_retries_expire_from_the_window(self):
        budget = make_budget(0.0, 2.0)
        assert budget.spend("s", 0.0)
        assert budget.spend("s", 1.0)
        keep_alive(budget, 0.0, 10.0)
        assert not budget.spend("s", 10.0)
        assert budget.spend("s", 10.6)

    def test_budget_grows_with_requests(self):
        budget = make_budget(0.2, 0.0)
        for tenth in range(300):
            budget.record_request("s", tenth / 10)
        assert 14 <= sum(budget.spend("s", 30.0) for _ in range(100)) <= 20

    def test_a_new_instance_retries_a_part_of_its_own_requests_at_once(self):
        budget = make_budget(0.2, 0.0)
        for _ in range(100):
            budget.record_request("s", 0.0)
        assert sum(budget.spend("s", 1.0) for _ in range(100)) == 4

    def test_a_paused_instance_has_no_slack_until_it_knows_the_others(self):
        budget = make_budget(0.0, 40.0)
        keep_alive(budget, 0.0, 1.0)
        budget.record_alive(5.0)
        assert not budget.may_spend("s", 5.0)
        keep_alive(budget, 5.0, 21.0)
        assert budget.may_spend("s", 21.0)


class TestVersionTracker:
    def test_previous_version_may_serve_for_the_grace_period(self):
        tracker = VersionTracker()
        tracker.update({CARDS: 1}, 0.0)
        tracker.update({CARDS: 2}, 10.0)
        assert tracker.get_newest(CARDS) == 2
        assert tracker.get_oldest_allowed(CARDS, 10.5) == 1
        assert tracker.get_oldest_allowed(CARDS, 15.0) == 2

    def test_lower_version_is_ignored(self):
        tracker = VersionTracker()
        tracker.update({CARDS: 2}, 0.0)
        tracker.update({CARDS: 1}, 10.0)
        assert tracker.get_newest(CARDS) == 2


class TestUse:
    def test_end_of_use_is_reported_once(self):
        """Guards against an unused adapter that counts as in use."""
        load = EndpointLoad()
        load.begin(CARDS, 100)
        assert make_use("e1", load, 0.0).uses[0].running == 1
        load.end(CARDS, 100)
        assert make_use("e1", load, 0.0).running == 0
        assert make_use("e1", load, 0.0) is None

    def test_end_of_one_use_among_others_is_reported(self):
        """Guards against a place that stays occupied after its last use."""
        load = EndpointLoad()
        rings = Weights("m", "rings")
        load.begin(CARDS, 0)
        load.begin(rings, 0)
        make_use("e1", load, 0.0)
        load.end(CARDS, 0)
        reported = {use.adapter: use.running for use in make_use("e1", load, 0.1).uses}
        assert reported == {"cards": 0, "rings": 1}

    def test_unchanged_use_is_repeated_before_it_expires(self):
        """Guards against an unload of an adapter that a stream uses."""
        load = EndpointLoad()
        load.begin(CARDS, 100)
        make_use("e1", load, 0.0)
        assert make_use("e1", load, 0.2) is None
        assert make_use("e1", load, USE_TTL_S / 2).uses[0].running == 1
