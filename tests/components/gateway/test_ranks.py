"""Tests of remembered ranks."""

from fescuekeel.components.gateway.ranks import MAX_RANKED, Ranks
from fescuekeel.components.gateway.routing import rank_reachable_endpoints
from fescuekeel.messages import AdapterRef, LiveEntry, LiveRole, Member


def make_endpoints(*ids):
    return {
        id: LiveEntry(id, LiveRole.ENDPOINT, "", "dc1", 1, pool="script") for id in ids
    }


MEMBERS = {"i1": Member("i1", "", "dc1", 1)}
REF = AdapterRef("cups", "1")


class TestRanks:
    def test_a_changed_view_is_ranked_anew(self):
        """An endpoint leaves while its adapters' ranks are remembered.

        Requests would go on to it until each adapter is forgotten.
        """
        ranks = Ranks()
        before, after = make_endpoints("e1", "e2", "e3"), make_endpoints("e1", "e2")
        for endpoints in (before, before, after, before):
            got = ranks.get("script", REF, endpoints, MEMBERS)
            assert got == rank_reachable_endpoints("script", REF, endpoints, MEMBERS)

    def test_data_centres_that_died_come_last(self):
        ranks = Ranks()
        endpoints = make_endpoints("e1", "e2")
        endpoints["far"] = LiveEntry(
            "far", LiveRole.ENDPOINT, "", "dc2", 1, pool="script"
        )
        far = {**MEMBERS, "i2": Member("i2", "", "dc2", 1)}
        for adapter in (AdapterRef(str(number), "1") for number in range(20)):
            both = ranks.get("script", adapter, endpoints, far)
            assert sorted(both) == ["e1", "e2", "far"]
            assert ranks.get("script", adapter, endpoints, MEMBERS)[-1] == "far"

    def test_no_more_is_remembered_than_fits(self):
        ranks = Ranks()
        endpoints = make_endpoints("e1")
        for number in range(MAX_RANKED + 10):
            ranks.get("script", AdapterRef(str(number), "1"), endpoints, MEMBERS)
        assert len(ranks._ranked_by_key) == MAX_RANKED
