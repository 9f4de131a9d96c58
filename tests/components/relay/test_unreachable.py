"""Tests of announcements of the endpoints that instances cannot reach."""

import pytest
from hypothesis import given, strategies as st

from fescuekeel.components.relay.const import (
    MAX_NAMES,
    MAX_UNREACHABLE_FACTS,
    STABLE_S,
)
from fescuekeel.components.relay.reporter import UnreachableState
from fescuekeel.components.relay.unreachable import Unreachable, UnreachableEndpoints

NAMES = st.frozensets(st.from_regex(r"[a-z0-9-]{1,12}", fullmatch=True))


class TestFormat:
    @given(NAMES, st.booleans())
    def test_it_is_read_as_it_was_written(self, names, is_all):
        unreachable = Unreachable(is_all, frozenset() if is_all else names)
        assert Unreachable.parse(unreachable.format()) == unreachable

    def test_a_long_list_is_cut(self):
        names = frozenset(f"e{number}" for number in range(3 * MAX_NAMES))
        assert len(Unreachable.parse(Unreachable(names=names).format()).names) == (
            MAX_NAMES
        )

    def test_other_bytes_are_an_error(self):
        with pytest.raises(ValueError):
            Unreachable.parse(b"\xff\xfe")


class TestTable:
    def test_the_version_changes_with_the_content_only(self):
        table = UnreachableEndpoints()
        names = Unreachable(names=frozenset({"e1"}))
        assert table.apply("i1", names)
        assert not table.apply("i1", names)
        assert table.version == 1
        assert table.list_without("e1") == {"i1"}
        assert table.list_without("e2") == set()

    def test_the_number_of_instances_is_bounded(self):
        table = UnreachableEndpoints()
        for number in range(2 * MAX_UNREACHABLE_FACTS):
            table.apply(f"i{number}", Unreachable(is_all=True))
        assert len(table.list_cut_off()) == MAX_UNREACHABLE_FACTS


class TestTelling:
    # Guards against messages to the whole fleet for a link that flaps.
    def test_a_state_that_does_not_last_is_not_announced(self):
        state = UnreachableState()
        cut = Unreachable(is_all=True)
        now = 10.0
        for _ in range(20):
            now += STABLE_S / 2
            assert not state.update(cut, now)
            now += STABLE_S / 2
            assert not state.update(Unreachable(), now)

    def test_it_is_announced_again_before_peers_forget_it(self):
        state = UnreachableState()
        cut = Unreachable(is_all=True)
        announced = [now for now in range(1000) if state.update(cut, float(now))]
        assert len(announced) == 4
