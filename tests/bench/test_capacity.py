"""Tests of the estimates on the capacity page."""

import pytest

from bench.capacity import command
from bench.capacity.command import BEGIN, END, format_goal, write_page
from bench.capacity.decisions import get_wire_bytes
from bench.capacity.estimate import get_loads_per_s, get_max_adapters, list_calls
from bench.capacity.fleet import format_live_list, make_live_list, make_view
from bench.capacity.timing import fit_line
from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.messages import Ping


class TestEstimate:
    def test_loads_match_the_target_size(self):
        assert get_loads_per_s() == pytest.approx(4.3)
        assert get_max_adapters(get_loads_per_s()) == pytest.approx(86_000)

    def test_calls_scale_with_data_centres_not_nodes(self):
        _, letter, twice = (line.split("|")[4] for line in list_calls())
        assert float(twice) == pytest.approx(2 * float(letter), rel=0.01)

    def test_fitted_line_matches_its_points(self):
        line = fit_line([10, 20, 40], [3.0, 5.0, 9.0])
        assert line.value_at(80) == pytest.approx(17.0)


class TestFleet:
    def test_live_list_is_accepted_by_the_parser(self):
        live = make_live_list(21, 14)
        assert parse_live_list(format_live_list(live)).unwrap() == live
        view = make_view(live)
        assert len(view.members_by_id) == 21
        assert len(view.endpoints_by_id) == 14

    def test_wire_bytes_include_a_packet_per_message(self):
        assert get_wire_bytes(Ping(), Ping()) == 2 * get_wire_bytes(Ping())


class TestPage:
    def test_only_the_generated_section_is_replaced(self, tmp_path, monkeypatch):
        page = tmp_path / "page.md"
        page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n", "utf-8")
        monkeypatch.setattr(command, "PAGE", page)
        write_page(["new"])
        assert page.read_text("utf-8") == f"before\n{BEGIN}\n\nnew\n{END}\nafter\n"

    def test_missed_goal_is_reported(self):
        assert "not met" in format_goal(False)
        assert "not" not in format_goal(True)
