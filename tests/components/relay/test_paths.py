"""Tests of the decision how an endpoint is reached."""

from hypothesis import given, strategies as st

from fescuekeel.components.relay.const import (
    DOWN_S,
    MAX_PROBES_PER_TICK,
    RECENT_CONTACT_S,
    RELAY_RETRY_S,
)
from fescuekeel.components.relay.paths import ConnectBy, PathState, PathTable


def make_cut_table(endpoints, now=10.0):
    """Return paths of which all are reached by peers only."""
    paths = PathTable()
    for endpoint in endpoints:
        paths.choose(endpoint, now)
        paths.record_failed(endpoint, now)
        paths.record_relayed(endpoint, now)
    return paths


class TestCutOff:
    def test_a_failed_connect_alone_shows_nothing(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        assert not paths.is_cut_off(10.0)

    def test_endpoints_that_no_peer_reaches_do_not_count(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_unreachable("e1", 10.1)
        assert not paths.is_cut_off(10.2)

    def test_contact_with_one_endpoint_is_enough(self):
        paths = make_cut_table(["e1", "e2"])
        assert paths.is_cut_off(10.5)
        paths.record_contact("e3", 10.6)
        assert not paths.is_cut_off(10.7)

    def test_an_earlier_contact_counts_for_a_while(self):
        paths = PathTable()
        paths.record_contact("e3", 9.0)
        paths.record_failed("e1", 10.0)
        paths.record_relayed("e1", 10.0)
        assert not paths.is_cut_off(10.0)
        assert paths.is_cut_off(9.1 + RECENT_CONTACT_S)


class TestRoute:
    # Guards against each waiting request trying a dead endpoint by itself.
    def test_an_endpoint_that_is_down_is_not_tried_for_a_moment(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_unreachable("e1", 10.0)
        assert paths.choose("e1", 10.1) is ConnectBy.NONE
        assert paths.choose("e1", 10.1 + DOWN_S) is ConnectBy.RELAY

    # Guards against each waiting request asking all peers by itself.
    def test_peers_are_not_asked_again_at_once(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_relay_failed("e1", 10.0)
        assert paths.choose("e1", 10.1) is ConnectBy.NONE
        assert paths.choose("e1", 10.1 + RELAY_RETRY_S) is ConnectBy.RELAY

    def test_a_late_answer_of_a_peer_does_not_end_direct_contact(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_contact("e1", 10.1)
        assert not paths.record_relayed("e1", 10.2)
        assert not paths.record_unreachable("e1", 10.2)
        assert paths.choose("e1", 10.3) is ConnectBy.DIRECT


class TestProbes:
    # Guards against a burst of connects when all links come back.
    @given(st.integers(1, 200), st.integers(1, 50))
    def test_their_number_does_not_grow_with_the_endpoints(self, endpoints, ticks):
        paths = make_cut_table([f"e{number}" for number in range(endpoints)])
        for tick in range(ticks):
            probes = paths.take_probes(11.0 + tick / 10)
            assert len(probes) <= MAX_PROBES_PER_TICK
            assert len(set(probes)) == len(probes)

    def test_every_endpoint_is_probed_in_turn(self):
        names = {f"e{number}" for number in range(30)}
        paths = make_cut_table(names)
        probed = set()
        for tick in range(10):
            probed |= set(paths.take_probes(11.0 + tick / 10))
        assert probed == names

    def test_an_endpoint_with_a_direct_path_is_not_probed(self):
        paths = make_cut_table(["e1"])
        paths.record_contact("e1", 10.5)
        assert paths.take_probes(20.0) == []

    def test_an_endpoint_that_is_down_and_not_wanted_is_not_probed(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_unreachable("e1", 10.0)
        assert paths.take_probes(15.0) == ["e1"]
        assert paths.take_probes(100.0) == []

    # Guards against an endpoint that counts as unreachable for good, since no
    # request has asked for it.
    def test_one_that_only_peers_reach_is_probed_without_requests(self):
        paths = PathTable()
        paths.record_failed("e1", 10.0)
        paths.record_relayed("e1", 10.0)
        assert paths.take_probes(100.0) == ["e1"]


class TestForgetting:
    def test_endpoints_that_are_gone_are_forgotten(self):
        paths = make_cut_table(["e1", "e2"])
        paths.retain(["e2"])
        assert paths.get_state("e1") is PathState.DIRECT
        assert paths.list_relayed() == ["e2"]
