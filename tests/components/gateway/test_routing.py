"""Tests of the choice of endpoint and owner."""

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
    def test_all_entries_agree_without_hints(self):
        assert choose(request_id="r1") == choose(request_id="r2")

    def test_homes_are_spread_over_the_pool(self):
        homes = Counter(choose(AdapterRef(f"a{n}", "1")).endpoint for n in range(600))
        assert len(homes) == 6
        assert max(homes.values()) < 2 * min(homes.values())

    def test_tried_endpoints_are_left_out(self):
        first = choose().endpoint
        assert choose(tried={first}).endpoint != first
        assert choose(tried=set(make_endpoints())) is None

    def test_other_pools_are_left_out(self):
        endpoints = make_endpoints(pool="other")
        assert choose(endpoints_by_id=endpoints) is None


class TestMoved:
    def test_requests_follow_for_a_while(self):
        ranked = routing.rank_endpoints("script", CUPS, make_endpoints())
        hints = routing.Hints()
        hints.note_moved(ranked[0], ranked[1], CUPS, now=0.0)
        choice = choose(hints=hints, now=1.0)
        assert (choice.endpoint, choice.reason) == (
            ranked[1],
            routing.RouteReason.MOVED,
        )
        assert choose(hints=hints, now=1.0, tried={ranked[1]}).endpoint == ranked[0]
        assert choose(hints=hints, now=6.0).endpoint == ranked[0]

    def test_nothing_follows_behind_a_cut(self):
        """Data centres are cut apart right after a home sent requests on.

        The entry would send all to an endpoint that it cannot reach, for as
        long as it remembers the place.
        """
        endpoints = make_endpoints(3)
        ranked = routing.rank_endpoints("script", CUPS, endpoints)
        lost = endpoints[ranked[1]].data_centre
        live = sorted({"dc0", "dc1", "dc2"} - {lost})
        hints = routing.Hints()
        hints.note_moved(ranked[0], ranked[1], CUPS, now=0.0)
        members = make_members(live)
        choice = choose(hints=hints, endpoints_by_id=endpoints, members_by_id=members)
        assert choice.reason == routing.RouteReason.HOME
        assert endpoints[choice.endpoint].data_centre != lost

    def test_the_places_are_bounded(self):
        hints = routing.Hints()
        for number in range(routing.MAX_HINTS + 5):
            hints.note_moved("e1", "e2", AdapterRef(f"a{number}", "1"), now=0.0)
        assert hints.get_moved(AdapterRef("a4", "1"), 0.0) is None
        assert hints.get_moved(AdapterRef("a5", "1"), 0.0) == "e2"


class TestSpread:
    def test_only_when_waiting_costs_more_than_a_load(self):
        home = choose().endpoint
        hints = routing.Hints()
        hints.note_ended(home, CUPS, wait_s=0.4, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.HOME
        hints.note_ended(home, CUPS, wait_s=0.6, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.SPREAD

    def test_a_known_copy_saves_the_load(self):
        ranked = routing.rank_endpoints("script", CUPS, make_endpoints())
        hints = routing.Hints()
        hints.note_ended(ranked[0], CUPS, wait_s=0.4, now=0.0)
        hints.note_ended(ranked[2], CUPS, wait_s=0.1, now=0.0)
        choice = choose(hints=hints)
        assert (choice.endpoint, choice.reason) == (
            ranked[2],
            routing.RouteReason.COPY,
        )

    def test_hints_fade(self):
        hints = routing.Hints()
        hints.note_full(choose().endpoint, 30.0, now=0.0)
        assert choose(hints=hints).reason == routing.RouteReason.SPREAD
        late = choose(hints=hints, now=60.0)
        assert late.reason == routing.RouteReason.HOME

    def test_hints_are_bounded(self):
        hints = routing.Hints()
        for n in range(routing.MAX_HINTS + 10):
            hints.note_ended("e1", AdapterRef(f"a{n}", "1"), 0.0, now=n / 1e6)
        assert len(hints._copies_by_adapter) <= routing.MAX_HINTS


class TestPlain:
    def test_the_less_loaded_of_two(self):
        hints = routing.Hints()
        first = choose(PLAIN, hints=hints).endpoint
        hints.note_sent(first)
        second = choose(PLAIN, hints=hints).endpoint
        assert second != first
        hints.note_done(first)
        assert choose(PLAIN, hints=hints).endpoint == first


class TestCut:
    def test_endpoints_behind_a_cut_come_last(self):
        # The network between data centres fails. All instances behind the cut
        # look dead here; requests whose home is there must go elsewhere.
        members = make_members(("dc0", "dc1"))
        for n in range(50):
            choice = choose(AdapterRef(f"a{n}", "1"), members_by_id=members)
            assert make_endpoints()[choice.endpoint].data_centre != "dc2"

    def test_owner_is_near_while_one_is_left(self):
        for endpoint in make_endpoints().values():
            owner = choose_owner(endpoint, make_members().values())
            assert make_members()[owner].data_centre == endpoint.data_centre

    def test_no_members_no_choice(self):
        assert choose(members_by_id={}) is None
