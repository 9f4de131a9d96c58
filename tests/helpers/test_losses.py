"""Tests of the latency breakdown computed from logs."""

import pytest

from fescuekeel.helpers.losses import RequestResult, Stage, read_losses
from fescuekeel.helpers.losses_view import make_view, plot_losses

ENDED = (
    "event=request_ended request_id={id} route=r target_ms=600 gap_target_ms=300 "
    "waited_ms={waited} first_ms={first} gap_ms={gap} outcome={outcome}"
)


def ended(id="a", waited=0, first=50, gap=0, outcome="answered"):
    return ENDED.format(id=id, waited=waited, first=first, gap=gap, outcome=outcome)


def waited(id, ms):
    return f"event=load_waited request_id={id} weights=m/a waited_ms={ms}"


def read(*lines):
    return read_losses([("i1", lines)])


class TestRoutes:
    @pytest.mark.parametrize(
        ("line", "result"),
        [
            (ended(), RequestResult.ON_TIME),
            (ended(first=601), RequestResult.LATE),
            (ended(gap=301), RequestResult.LATE),
            (ended(first=-1, outcome="load_failed"), RequestResult.REFUSED),
            (ended(outcome="outcome_unknown"), RequestResult.FAILED),
            (ended(outcome="caller_gone"), RequestResult.GONE),
        ],
    )
    def test_results_are_classified(self, line, result):
        assert read(line).routes_by_name["r"].count_by_result == {result: 1}

    @pytest.mark.parametrize(
        ("lines", "stage"),
        [
            ([waited("a", 700), ended(waited=800, first=850)], Stage.LOAD),
            ([waited("a", 100), ended(waited=800, first=850)], Stage.TURN),
            ([ended(waited=10, first=850)], Stage.ENDPOINT),
            ([ended(gap=900)], Stage.PAUSE),
        ],
    )
    def test_late_request_is_attributed_to_its_longest_stage(self, lines, stage):
        assert read(*lines).routes_by_name["r"].lost_by_stage == {stage: 1}

    def test_waits_of_other_requests_are_ignored(self):
        losses = read(waited("b", 900), ended("a", waited=700, first=800))
        assert losses.routes_by_name["r"].lost_by_stage == {Stage.TURN: 1}


class TestLoads:
    def test_load_times_are_collected(self):
        line = "event=load_ended endpoint=e1 weights=m/a place_ms=40 took_ms=250"
        view = make_view(read(line, line))
        assert view["loads"]["ended"] == 2
        assert view["loads"]["different_weights"] == 1
        assert view["loads"]["place_ms_p50"] == 40
        assert view["loads"]["took_ms_p90"] == 250
        assert view["loads_by_endpoint"] == {"e1": 2}

    def test_dropped_lines_are_shown(self):
        view = make_view(read("event=lines_dropped dropped=load_ended count=7"))
        assert view["lines_left_out"] == 7


class TestPlot:
    def test_plot_is_written(self, tmp_path):
        path = tmp_path / "losses.png"
        plot_losses(read(ended(first=900)), path)
        assert path.read_bytes().startswith(b"\x89PNG")
