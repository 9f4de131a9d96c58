"""Tests of the table of facts."""

from hypothesis import given, strategies as st

from fescuekeel.components.gossip.table import Fact, FactTable, TopicLimits

LIMITS = {"t": TopicLimits(ttl_s=60.0, max_facts=3)}


def make_fact(key="k", rank=1, payload=b"", created_at=0.0, topic="t"):
    return Fact(topic, key, rank, payload, created_at)


def merge_all(facts, now=0.0):
    table = FactTable({"t": TopicLimits(60.0, 100)})
    for fact in facts:
        table.merge(fact, now)
    return table


FACTS = st.lists(
    st.builds(
        make_fact,
        key=st.sampled_from("abc"),
        rank=st.integers(1, 3),
        payload=st.sampled_from([b"x", b"y"]),
    ),
    max_size=12,
)


class TestMerge:
    @given(facts=FACTS, order=st.randoms())
    def test_order_of_arrival_does_not_matter(self, facts, order):
        shuffled = list(facts)
        order.shuffle(shuffled)
        one, other = merge_all(facts), merge_all(shuffled)
        assert one.digest == other.digest
        assert {(f.key, f.rank, f.payload) for f in one.list_all()} == {
            (f.key, f.rank, f.payload) for f in other.list_all()
        }

    def test_unknown_topic_is_ignored(self):
        table = FactTable(LIMITS)
        assert not table.merge(make_fact(topic="other"), now=0.0)

    def test_expired_fact_is_not_accepted_again(self):
        # Guards against facts that peers send each other for ever.
        table = FactTable(LIMITS)
        assert not table.merge(make_fact(created_at=0.0), now=59.5)

    def test_oldest_fact_goes_when_the_table_is_full(self):
        table = FactTable(LIMITS)
        for number in range(4):
            table.merge(make_fact(key=str(number), created_at=float(number)), now=4.0)
        assert sorted(fact.key for fact in table.list_all()) == ["1", "2", "3"]

    def test_empty_table_has_no_digest(self):
        table = FactTable(LIMITS)
        table.merge(make_fact(), now=0.0)
        assert table.digest
        assert len(table.expire(now=60.0)) == 1
        assert table.digest == 0
