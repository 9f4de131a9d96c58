"""Tests of the settlements that are kept to be sent again."""

from fescuekeel.components.keys.const import MAX_RECENT_REQUESTS, RESEND_SETTLE_S
from fescuekeel.components.keys.recent_settles import RecentSettles
from fescuekeel.messages import KeySettle


def add(recent, number, now=0.0):
    for home in ("i2", "i3"):
        recent.add(home, KeySettle("k", f"r{number}", "no"), now)


def list_request_ids(recent, now=0.0):
    return [settle.request_id for settle in recent.list_for("i2", now)]


class TestRecentSettles:
    def test_request_that_claims_again_is_forgotten(self):
        """Guards against a settlement that releases a newer claim."""
        recent = RecentSettles()
        add(recent, 1)
        add(recent, 2)
        recent.forget("r1")
        assert list_request_ids(recent) == ["r2"]

    def test_oldest_request_is_dropped_beyond_the_limit(self):
        """Guards against memory that grows with the rate of requests."""
        recent = RecentSettles()
        for number in range(MAX_RECENT_REQUESTS + 1):
            add(recent, number)
        request_ids = list_request_ids(recent)
        assert len(request_ids) == MAX_RECENT_REQUESTS
        assert request_ids[0] == "r1"

    def test_old_settlements_are_not_sent_again(self):
        recent = RecentSettles()
        add(recent, 1, now=0.0)
        add(recent, 2, now=RESEND_SETTLE_S)
        assert list_request_ids(recent, now=RESEND_SETTLE_S + 1.0) == ["r2"]
