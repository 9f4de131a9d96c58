"""Tests of the rate limits that endpoints name in their answers."""

from hypothesis import given, strategies as st

from fescuekeel.components.endpoints.const import LIMIT_REFRESH_S, MAX_LIMITED_ENDPOINTS
from fescuekeel.components.endpoints.named_limits import LimitChange, NamedLimits


def make_limits(*rates):
    """Return limits after answers to requests sent one second apart."""
    limits = NamedLimits()
    for number, rate in enumerate(rates):
        read(limits, rate, sent_at=float(number))
    return limits


def read(limits, rate, sent_at, took_s=0.1):
    change = limits.read_answer("e", rate, sent_at, sent_at + took_s)
    return change is not None and limits.apply(change)


class TestAnswers:
    def test_an_endpoint_without_a_limit_is_not_tracked(self):
        assert make_limits(None, None).list_limited() == {}

    def test_a_limit_changes_and_ends(self):
        assert make_limits(3.0).get_rate("e") == 3.0
        assert make_limits(3.0, 1.5).get_rate("e") == 1.5
        assert make_limits(3.0, 1.5, None).get_rate("e") is None
        assert make_limits(3.0, None, 2.0).get_rate("e") == 2.0

    def test_a_late_answer_does_not_end_a_limit(self):
        # Guards against an answer that was sent before the limit began and
        # arrives after it.
        limits = make_limits(None, 3.0)
        assert not read(limits, None, sent_at=0.5, took_s=5.0)
        assert limits.get_rate("e") == 3.0

    def test_a_late_answer_does_not_revive_a_limit(self):
        limits = make_limits(3.0, None)
        assert not read(limits, 3.0, sent_at=0.5, took_s=5.0)
        assert limits.get_rate("e") is None

    def test_a_limit_that_goes_on_is_told_again(self):
        # Guards against instances that start after peers have forgotten it.
        limits = make_limits(3.0)
        assert not read(limits, 3.0, sent_at=LIMIT_REFRESH_S / 2)
        assert read(limits, 3.0, sent_at=LIMIT_REFRESH_S + 1.0)

    def test_number_of_endpoints_is_bounded(self):
        limits = NamedLimits()
        for number in range(MAX_LIMITED_ENDPOINTS + 5):
            limits.apply(LimitChange(f"e{number}", 1.0, 1, 0.0))
        assert len(limits.list_limited()) == MAX_LIMITED_ENDPOINTS


CHANGES = st.lists(
    st.builds(
        LimitChange,
        endpoint=st.sampled_from(["e", "f"]),
        rate_per_s=st.sampled_from([None, 1.0, 2.0]),
        rank=st.integers(1, 3),
        known_since=st.just(0.0),
    ),
    max_size=10,
)


class TestNewsOfPeers:
    @given(changes=CHANGES, order=st.randoms())
    def test_all_instances_end_with_the_same_limits(self, changes, order):
        one, other = NamedLimits(), NamedLimits()
        shuffled = list(changes)
        order.shuffle(shuffled)
        for change in changes:
            one.apply(change)
        for change in shuffled:
            other.apply(change)
        assert one.list_limited() == other.list_limited()

    def test_outdated_news_is_ignored(self):
        limits = make_limits(3.0, None)
        assert not limits.apply(LimitChange("e", 3.0, 1, 9.0))

    def test_of_two_first_limits_the_lower_one_stays(self):
        limits = make_limits(3.0)
        assert limits.apply(LimitChange("e", 2.0, 1, 9.0))
        assert not limits.apply(LimitChange("e", 3.0, 1, 9.0))
        assert limits.get_rate("e") == 2.0
