"""Tests of accepting requests during a shutdown."""

from fescuekeel.components.forward.shutdown import Shutdown
from fescuekeel.helpers.published import Route, RouteKind, WeightedService

SHUTDOWN = Shutdown(started_at=100.0, ends_at=107.2)


def make_route(kind, timeout_s):
    targets = (WeightedService("s", 1.0),)
    return Route("r", "host", "/", kind, timeout_s, 0.2, 1, targets, 1, False)


class TestLateRequests:
    """Guards against refusing short requests on keep-alive connections.

    These still come after the platform's probes have failed.
    """

    def test_all_are_accepted_until_the_probes_have_failed(self):
        assert SHUTDOWN.may_accept(make_route(RouteKind.STREAM, 15.0), 102.9)

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
