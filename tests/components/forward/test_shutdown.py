"""Tests of accepting requests during a shutdown."""

import pytest

from fescuekeel.components.forward.shutdown import Shutdown
from fescuekeel.helpers.published import Route, RouteKind, WeightedService
from tests.components.forward.shutdown_model import (
    DELAYS_S,
    WAYS_BY_NAME,
    draw_streams,
    play,
)

SHUTDOWN = Shutdown(started_at=100.0, ends_at=107.2)
# What callers send later after the signal must not be cut.
EXCUSED_UNTIL_S = 3.0


def make_route(kind, timeout_s):
    targets = (WeightedService("s", 1.0),)
    return Route("r", "host", "/", kind, timeout_s, 0.2, 1, targets, 1, False)


class TestLateRequests:
    """Guards against refusing short requests on keep-alive connections.

    These still come after the platform's probes have failed.
    """

    def test_all_are_accepted_until_the_probes_have_failed(self):
        assert SHUTDOWN.may_accept(make_route(RouteKind.STREAM, 15.0), 102.5)

    def test_short_request_is_accepted_if_it_ends_in_time(self):
        route = make_route(RouteKind.UNSAFE, 1.2)
        assert SHUTDOWN.may_accept(route, 105.9)
        assert not SHUTDOWN.may_accept(route, 106.1)

    def test_short_shutdown_leaves_time_for_streams(self):
        """Guards against accepting a stream right before the process exits."""
        shutdown = Shutdown(started_at=100.0, ends_at=102.0)
        route = make_route(RouteKind.STREAM, 15.0)
        assert shutdown.may_accept(route, 100.9)
        assert not shutdown.may_accept(route, 101.1)

    def test_nothing_is_accepted_once_connections_are_closed(self):
        """Guards against running a request whose caller gets no answer."""
        route = make_route(RouteKind.UNSAFE, 1.2)
        assert SHUTDOWN.may_accept(route, 104.96)
        assert not SHUTDOWN.close(104.95).may_accept(route, 104.96)

    def test_late_stream_is_refused(self):
        assert not SHUTDOWN.may_accept(make_route(RouteKind.STREAM, 1.2), 103.1)


class TestLateSignal:
    # Guards against a stream that is passed on and cut, as the signal was
    # handled late: callers count from the signal.
    @pytest.mark.parametrize("handled_after_s", [0.0, 0.1, 0.25, 0.3])
    def test_stream_sent_after_the_excused_time_is_refused(self, handled_after_s):
        signalled_at = 100.0
        handled_at = signalled_at + handled_after_s
        shutdown = Shutdown(handled_at, handled_at + 7.2)
        route = make_route(RouteKind.STREAM, 15.0)
        for late_s in (0.03, 0.08, 0.19, 0.3):
            sent_at = signalled_at + EXCUSED_UNTIL_S + late_s
            assert not shutdown.may_accept(route, sent_at)

    # Guards against a busy event loop, by which the signal is handled later.
    def test_loop_lag_counts_as_time_since_the_signal(self):
        shutdown = Shutdown.begin(100.5, 7.2, loop_lag_s=0.45)
        assert shutdown.ends_at == pytest.approx(107.25)
        route = make_route(RouteKind.STREAM, 15.0)
        assert not shutdown.may_accept(route, 102.7)

    # Guards against a shutdown with no time, after a single long iteration.
    def test_loop_lag_is_bounded(self):
        assert Shutdown.begin(100.0, 7.2, loop_lag_s=30.0).started_at == 99.5


class TestUnsentRequests:
    # Guards against a stream that waits for weights too long, and is cut.
    def test_stream_is_not_sent_late(self):
        assert SHUTDOWN.may_send(RouteKind.STREAM, 115.0, 102.5)
        assert not SHUTDOWN.may_send(RouteKind.STREAM, 115.0, 102.7)

    # Guards against a request whose time lasts beyond the exit.
    def test_request_is_sent_late_if_its_time_ends_before_the_exit(self):
        assert SHUTDOWN.may_send(RouteKind.UNSAFE, 107.1, 105.0)
        assert not SHUTDOWN.may_send(RouteKind.UNSAFE, 107.3, 105.0)


class TestWays:
    # Guards against a limit that leaves no slack for a late signal.
    def test_no_drawn_stream_is_accepted_late_and_cut(self):
        streams = draw_streams(2_000, seed=1)
        for delay_s in DELAYS_S:
            assert play(WAYS_BY_NAME["early"], streams, delay_s)["cut"] == 0

    # Guards against a model that would show no cut by any way.
    def test_model_shows_the_fault_of_a_fixed_limit(self):
        streams = draw_streams(2_000, seed=1)
        assert play(WAYS_BY_NAME["fixed"], streams, DELAYS_S[-1])["cut"] > 0
