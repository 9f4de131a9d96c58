"""Tests of what endpoints name about the rejections they stand."""

from fescuekeel.components.endpoints.const import (
    MAX_REJECTION_LIMITS,
    REJECTION_LIMIT_REFRESH_S,
    REJECTION_LIMIT_TTL_S,
)
from fescuekeel.components.endpoints.rejection_limits import RejectionLimits


class TestTelling:
    # Guards against a message to all instances for each answer.
    def test_peers_are_announced_once_in_a_while(self):
        services = RejectionLimits()
        announced = [services.record("s", 4.0, now / 100) for now in range(1000)]
        assert sum(announced) == 1 + int(10.0 / REJECTION_LIMIT_REFRESH_S) - 1

    def test_another_number_is_announced_at_once(self):
        services = RejectionLimits()
        assert services.record("s", 4.0, 0.0)
        assert services.record("s", 2.0, 0.1)

    def test_what_a_peer_announced_is_not_announced_again(self):
        services = RejectionLimits()
        assert services.apply("s", 4.0, 1.0)
        assert not services.record("s", 4.0, 1.5)


class TestEnd:
    def test_it_ends_some_time_after_the_last_answer(self):
        services = RejectionLimits()
        services.record("s", 4.0, 0.0)
        services.record("s", 4.0, 10.0)
        assert services.list_in_force(9.0 + REJECTION_LIMIT_TTL_S) == {"s": 4.0}
        assert services.list_in_force(11.0 + REJECTION_LIMIT_TTL_S) == {}

    def test_late_news_do_not_make_it_older(self):
        services = RejectionLimits()
        services.record("s", 4.0, 10.0)
        assert not services.apply("s", 4.0, 2.0)
        assert (
            services.get_max_rejections_per_s("s", 9.0 + REJECTION_LIMIT_TTL_S) == 4.0
        )


class TestBound:
    def test_the_number_of_services_is_bounded(self):
        services = RejectionLimits()
        for number in range(2 * MAX_REJECTION_LIMITS):
            services.record(f"s{number}", 1.0, 0.0)
        assert len(services.list_in_force(0.0)) == MAX_REJECTION_LIMITS
