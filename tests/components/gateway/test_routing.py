"""Tests of the choice of an endpoint and its owner."""

from collections import Counter

from fescuekeel.components.gateway import routing
from fescuekeel.helpers.owners import choose_owner
from fescuekeel.messages import AdapterRef, LiveEntry, LiveRole, Member

CUPS = AdapterRef("cups", "1")
PLAIN = AdapterRef()


def make_endpoints(count=6, pool="script"):
    entries = [
        LiveEntry(f"e{n}", LiveRole.ENDPOINT, "", f"dc{n % 3}", 1, pool=pool)
        for n in range(count)
    ]
    return {entry.id: entry for entry in entries}


def make_members(data_centres=("dc0", "dc1", "dc2")):
    members = [Member(f"{dc}-i{n}", "", dc, 1) for dc in data_centres for n in range(2)]
    return {member.id: member for member in members}


def choose(adapter=CUPS, request_id="r1", hints=None, now=0.0, **kwargs):
    kwargs.setdefault("endpoints_by_id", make_endpoints())
    kwargs.setdefault("members_by_id", make_members())
    hints = hints or routing.Hints()
    return routing.choose("script", adapter, request_id, hints=hints, now=now, **kwargs)


class TestHome:
    def test_home_does_not_depend_on_the_request(self):
        assert choose(request_id="r1") == choose(request_id="r2")

    def test_homes_are_distributed_evenly_over_the_pool(self):
        homes = Counter(choose(AdapterRef(f"a{n}", "1")).endpoint for n in range(600))
        assert len(homes) == 6
        assert max(homes.values()) < 2 * min(homes.values())

    def test_tried_endpoints_are_excluded(self):
        first = choose().endpoint
        assert choose(tried={first}).endpoint != first
        assert choose(tried=set(make_endpoints())) is None

    def test_other_pools_are_excluded(self):
        endpoints = make_endpoints(pool="other")
        assert choose(endpoints_by_id=endpoints) is None


class TestMoved:
    def test_requests_follow_a_move_until_its_hint_expires(self):
        ranked = routing.rank_endpoints("script", CUPS, make_endpoints())
        hints = routing.Hints()
        hints.record_moved(ranked[0], ranked[1], CUPS, now=0.0)
        choice = choose(hints=hints, now=1.0)
        assert (choice.endpoint, choice.reason) == (
            ranked[1],
            routing.RouteReason.MOVED,
        )
        assert choose(hints=hints, now=1.0, tried={ranked[1]}).endpoint == ranked[0]
        assert choose(hints=hints, now=6.0).endpoint == ranked[0]

    def test_move_to_a_partitioned_endpoint_is_ignored(self):
        """Guards against routing to an unreachable endpoint after a partition.

        The hint was recorded just before the data centres were partitioned.
        """
        endpoints = make_endpoints(3)
        ranked = routing.rank_endpoints("script", CUPS, endpoints)
        lost = endpoints[ranked[1]].data_centre
        live = sorted({"dc0", "dc1", "dc2"} - {lost})
        hints = routing.Hints()
        hints.record_moved(ranked[0], ranked[1], CUPS, now=0.0)
        members = make_members(live)
        choice = choose(hints=hints, endpoints_by_id=endpoints, members_by_id=members)
        assert choice.reason == routing.RouteReason.HOME
        assert endpoints[choice.endpoint].data_centre != lost

    def test_recorded_moves_are_bounded(self):
        hints = routing.Hints()
        for number in range(routing.MAX_HINTS + 5):
            hints.record_moved("e1", "e2", AdapterRef(f"a{number}", "1"), now=0.0)
        assert hints.get_move_target(AdapterRef("a4", "1"), 0.0) is None
        assert hints.get_move_target(AdapterRef("a5", "1"), 0.0) == "e2"


class TestSpread:
    def test_request_spreads_only_if_the_wait_exceeds_a_load(self):
        home = choose().endpoint
        hints = routing.Hints()
        hints.record_answer(home, CUPS, wait_s=0.4, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.HOME
        hints.record_answer(home, CUPS, wait_s=0.6, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.SPREAD

    def test_loaded_copy_is_preferred_over_a_load(self):
        ranked = routing.rank_endpoints("script", CUPS, make_endpoints())
        hints = routing.Hints()
        hints.record_answer(ranked[0], CUPS, wait_s=0.4, now=0.0)
        hints.record_answer(ranked[2], CUPS, wait_s=0.1, now=0.0)
        choice = choose(hints=hints)
        assert (choice.endpoint, choice.reason) == (
            ranked[2],
            routing.RouteReason.COPY,
        )

    def test_hints_decay(self):
        hints = routing.Hints()
        hints.record_full(choose().endpoint, 30.0, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.SPREAD
        late = choose(hints=hints, now=60.0)
        assert late.reason == routing.RouteReason.HOME

    def test_recorded_copies_are_bounded(self):
        hints = routing.Hints()
        for n in range(routing.MAX_HINTS + 10):
            hints.record_answer("e1", AdapterRef(f"a{n}", "1"), 0.0, now=n / 1e6)
        assert len(hints._copies_by_adapter) <= routing.MAX_HINTS


class TestPlain:
    def test_less_loaded_of_two_candidates_is_chosen(self):
        hints = routing.Hints()
        first = choose(PLAIN, hints=hints).endpoint
        hints.record_sent(first)
        second = choose(PLAIN, hints=hints).endpoint
        assert second != first
        hints.record_done(first)
        assert choose(PLAIN, hints=hints).endpoint == first


class TestPartition:
    def test_partitioned_endpoints_rank_last(self):
        # All members of dc2 look dead from here, so requests whose home is
        # there must go to another data centre.
        members = make_members(("dc0", "dc1"))
        for n in range(50):
            choice = choose(AdapterRef(f"a{n}", "1"), members_by_id=members)
            assert make_endpoints()[choice.endpoint].data_centre != "dc2"

    def test_owner_is_in_the_data_centre_of_its_endpoint(self):
        for endpoint in make_endpoints().values():
            owner = choose_owner(endpoint, make_members().values())
            assert make_members()[owner].data_centre == endpoint.data_centre

    def test_no_members_means_no_choice(self):
        assert choose(members_by_id={}) is None
