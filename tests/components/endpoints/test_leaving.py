"""Tests of tracking endpoints that leave."""

from fescuekeel.components.endpoints.const import (
    LEAVING_REFRESH_S,
    LEAVING_TTL_S,
    MAX_LEAVING,
)
from fescuekeel.components.endpoints.leaving import LeavingEndpoints

OLD, NEW = "e1@1700", "e1@1800"


class TestLeavingEndpoints:
    # Guards against a restarted endpoint that gets no requests.
    def test_a_new_incarnation_does_not_inherit_it(self):
        leaving = LeavingEndpoints()
        leaving.record(OLD, 1.0)
        assert not leaving.is_leaving(NEW)

    # Guards against requests to an endpoint that takes long to end.
    def test_it_is_not_forgotten_while_it_is_listed(self):
        leaving = LeavingEndpoints()
        leaving.record(OLD, 0.0)
        for now in range(0, 5000, 30):
            leaving.expire({OLD}, float(now))
        assert leaving.is_leaving(OLD)

    def test_it_is_forgotten_a_time_after_it_was_listed(self):
        leaving = LeavingEndpoints()
        leaving.record(OLD, 0.0)
        leaving.expire({OLD}, 100.0)
        leaving.expire(set(), 100.0 + LEAVING_TTL_S - 1)
        assert leaving.is_leaving(OLD)
        leaving.expire(set(), 100.0 + LEAVING_TTL_S)
        assert not leaving.is_leaving(OLD)

    def test_it_is_announced_again_while_it_is_listed(self):
        leaving = LeavingEndpoints()
        leaving.record(OLD, 0.0)
        assert leaving.list_due({OLD}, LEAVING_REFRESH_S - 1) == []
        assert leaving.list_due({OLD}, LEAVING_REFRESH_S) == [OLD]
        assert leaving.list_due(set(), LEAVING_REFRESH_S) == []
        leaving.record(OLD, LEAVING_REFRESH_S)
        assert leaving.list_due({OLD}, LEAVING_REFRESH_S) == []

    def test_their_number_is_bounded(self):
        leaving = LeavingEndpoints()
        for number in range(MAX_LEAVING + 5):
            leaving.record(f"e{number}", float(number))
        assert len(leaving.list_ids()) == MAX_LEAVING
        assert not leaving.is_leaving("e0")
