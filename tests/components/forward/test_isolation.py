"""Tests of detecting that an instance is cut off."""

from fescuekeel.components.forward.const import (
    CONNECT_FAILURE_TTL_S,
    ISOLATION_TIMEOUT_S,
)
from fescuekeel.components.forward.isolation import Isolation


def make_isolation(unreachable=("dc2", "dc3"), reached=(), now=10.0):
    isolation = Isolation("dc1")
    for centre in reached:
        isolation.record_reached(centre, now)
    for centre in unreachable:
        isolation.record_connect_failed(centre, now + 0.1)
    return isolation


class TestCutOff:
    """Guards against a partitioned instance that still reports ready.

    Its callers would be refused although other data centres could serve them.
    """

    def test_all_other_data_centres_are_unreachable(self):
        assert make_isolation().is_cut_off(10.2)

    def test_contact_with_another_data_centre_ends_it(self):
        isolation = make_isolation()
        isolation.record_reached("dc2", 10.5)
        assert not isolation.is_cut_off(10.6)

    def test_it_begins_after_a_time_without_contact(self):
        isolation = make_isolation(reached=("dc2", "dc3"))
        assert not isolation.is_cut_off(10.2)
        assert isolation.is_cut_off(10.1 + ISOLATION_TIMEOUT_S)

    def test_loss_of_one_data_centre_does_not_cut_off_the_others(self):
        """Guards against all instances becoming not ready at once."""
        isolation = make_isolation(unreachable=("dc2",))
        assert not isolation.is_cut_off(10.2)
        isolation = make_isolation(unreachable=("dc2", "dc3"))
        isolation.record_reached("dc4", 10.1)
        assert not isolation.is_cut_off(10.2)

    def test_own_data_centre_does_not_count(self):
        isolation = make_isolation(unreachable=("dc1", "dc2"))
        assert not isolation.is_cut_off(10.2)
        isolation = make_isolation()
        isolation.record_reached("dc1", 10.2)
        assert isolation.is_cut_off(10.3)

    def test_old_failures_expire(self):
        assert not make_isolation().is_cut_off(10.2 + CONNECT_FAILURE_TTL_S)

    def test_not_cut_off_at_the_start(self):
        assert not Isolation("dc1").is_cut_off(0.0)
