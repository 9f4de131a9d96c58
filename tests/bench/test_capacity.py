"""Tests of how the capacity page is worked out."""

import pytest

from bench.capacity import command
from bench.capacity.command import BEGIN, END, tell, write_page
from bench.capacity.decisions import wire_bytes
from bench.capacity.estimate import adapters_at, list_calls, loads_per_s
from bench.capacity.fleet import make_live, make_live_body, make_view
from bench.capacity.timing import fit
from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.messages import Ping


class TestEstimate:
    def test_loads_follow_the_letter(self):
        assert loads_per_s() == pytest.approx(4.3)
        assert adapters_at(loads_per_s()) == pytest.approx(86_000)

    def test_calls_grow_with_data_centres_and_not_with_nodes(self):
        _, letter, twice = (line.split("|")[4] for line in list_calls())
        assert float(twice) == pytest.approx(2 * float(letter), rel=0.01)

    def test_a_line_gives_back_its_points(self):
        line = fit([10, 20, 40], [3.0, 5.0, 9.0])
        assert line.at(80) == pytest.approx(17.0)


class TestFleet:
    def test_the_list_is_one_that_instances_accept(self):
        live = make_live(21, 14)
        assert parse_live_list(make_live_body(live)).unwrap() == live
        view = make_view(live)
        assert len(view.members_by_id) == 21
        assert len(view.endpoints_by_id) == 14

    def test_messages_count_each_with_its_packet(self):
        assert wire_bytes(Ping(), Ping()) == 2 * wire_bytes(Ping())


class TestPage:
    def test_only_the_programs_part_is_replaced(self, tmp_path, monkeypatch):
        page = tmp_path / "page.md"
        page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n", "utf-8")
        monkeypatch.setattr(command, "PAGE", page)
        write_page(["new"])
        assert page.read_text("utf-8") == f"before\n{BEGIN}\n\nnew\n{END}\nafter\n"

    def test_a_goal_that_is_missed_is_said_so(self):
        assert "not met" in tell(False)
        assert "not" not in tell(True)
