"""Tests of the choice of peers that relay."""

from collections import Counter

from fescuekeel.components.relay.const import MAX_PEERS_ASKED, MAX_RELAY_PEERS
from fescuekeel.components.relay.peers import RelayPeers

MEMBERS = {f"i{number}" for number in range(195)}


class TestSpread:
    # Guards against many instances that are cut off and all ask the same one.
    def test_instances_that_are_cut_off_spread_over_the_others(self):
        whole = {f"i{number}" for number in range(40)}
        asked = Counter()
        for id in MEMBERS - whole:
            peers = RelayPeers(id)
            for _ in range(20):
                asked[peers.list_next(MEMBERS, MEMBERS - whole, 0.0)[0]] += 1
        mean = sum(asked.values()) / len(whole)
        assert max(asked.values()) <= 3 * mean

    def test_an_instance_uses_few_peers(self):
        peers = RelayPeers("i1")
        used = set()
        for _ in range(100):
            used |= set(peers.list_next(MEMBERS, (), 0.0))
        assert len(used) == MAX_RELAY_PEERS

    def test_it_asks_at_most_some_of_them_for_one_connection(self):
        assert len(RelayPeers("i1").list_next(MEMBERS, (), 0.0)) == MAX_PEERS_ASKED


class TestFailedPeers:
    def test_others_are_asked_first_for_a_while(self):
        peers = RelayPeers("i1")
        peers.record_failed("i2", 0.0)
        for _ in range(10):
            assert peers.list_next({"i1", "i2", "i3"}, (), 0.5) == ["i3", "i2"]
        assert {peers.list_next({"i1", "i2", "i3"}, (), 5.0)[0] for _ in range(50)} == {
            "i2",
            "i3",
        }

    # Guards against requests that fail while the only peer has failed once.
    def test_one_that_has_failed_is_asked_if_there_is_no_other(self):
        peers = RelayPeers("i1")
        peers.record_failed("i2", 0.0)
        assert peers.list_next({"i1", "i2"}, (), 0.5) == ["i2"]

    def test_the_instance_itself_is_never_asked(self):
        assert RelayPeers("i1").list_next({"i1"}, (), 0.0) == []
