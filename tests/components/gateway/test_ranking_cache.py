"""Tests of the cache of endpoint rankings."""

from fescuekeel.components.gateway.ranking_cache import (
    MAX_CACHED_RANKINGS,
    RankingCache,
)
from fescuekeel.components.gateway.routing import rank_reachable_endpoints
from fescuekeel.messages import AdapterRef, LiveEntry, LiveRole, Member


def make_endpoints(*ids):
    return {
        id: LiveEntry(id, LiveRole.ENDPOINT, "", "dc1", 1, pool="script") for id in ids
    }


MEMBERS = {"i1": Member("i1", "", "dc1", 1)}
REF = AdapterRef("cups", "1")


class TestRankingCache:
    def test_changed_view_invalidates_the_rankings(self):
        """Guards against routing to an endpoint that has left the view."""
        rankings = RankingCache()
        before, after = make_endpoints("e1", "e2", "e3"), make_endpoints("e1", "e2")
        for endpoints in (before, before, after, before):
            got = rankings.get("script", REF, endpoints, MEMBERS)
            assert got == rank_reachable_endpoints("script", REF, endpoints, MEMBERS)

    def test_endpoints_of_lost_data_centres_rank_last(self):
        rankings = RankingCache()
        endpoints = make_endpoints("e1", "e2")
        endpoints["far"] = LiveEntry(
            "far", LiveRole.ENDPOINT, "", "dc2", 1, pool="script"
        )
        far = {**MEMBERS, "i2": Member("i2", "", "dc2", 1)}
        for adapter in (AdapterRef(str(number), "1") for number in range(20)):
            ranked = rankings.get("script", adapter, endpoints, far)
            assert sorted(ranked) == ["e1", "e2", "far"]
            assert rankings.get("script", adapter, endpoints, MEMBERS)[-1] == "far"

    def test_cache_size_is_bounded(self):
        rankings = RankingCache()
        endpoints = make_endpoints("e1")
        for number in range(MAX_CACHED_RANKINGS + 10):
            rankings.get("script", AdapterRef(str(number), "1"), endpoints, MEMBERS)
        assert len(rankings._rankings_by_key) == MAX_CACHED_RANKINGS
