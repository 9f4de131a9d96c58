"""Tests of what still begins while an instance shuts down."""

from fescuekeel.components.forward.shutdown import Shutdown
from fescuekeel.helpers.published import Route, RouteKind, WeightedService

SHUTDOWN = Shutdown(began=100.0, ends=107.2)


def make_route(kind, timeout_s):
    targets = (WeightedService("s", 1.0),)
    return Route("r", "host", "/", kind, timeout_s, 0.2, 1, targets, 1, False)


class TestLateRequests:
    """Callers on kept connections were refused for seconds at each restart.

    An instance was told to stop. The platform took it out after two probes;
    callers with open connections went on, and their short requests, which
    would have been over in time, were refused like long streams.
    """

    def test_all_are_served_until_the_probes_have_failed(self):
        assert SHUTDOWN.may_begin(make_route(RouteKind.STREAM, 15.0), 102.9)

    def test_a_short_request_is_served_while_it_fits(self):
        route = make_route(RouteKind.UNSAFE, 1.2)
        assert SHUTDOWN.may_begin(route, 105.9)
        assert not SHUTDOWN.may_begin(route, 106.1)

    def test_a_short_shutdown_leaves_time_for_streams(self):
        """A stream was cut at the end of a shutdown of two seconds.

        It had begun 50 ms before: the time in which all are served was longer
        than the whole shutdown. Found by the soak, seed 200.
        """
        shutdown = Shutdown(began=100.0, ends=102.0)
        route = make_route(RouteKind.STREAM, 15.0)
        assert shutdown.may_begin(route, 100.9)
        assert not shutdown.may_begin(route, 101.1)

    def test_nothing_begins_once_connections_are_closed(self):
        """A charge ran and its caller got no answer.

        It came five seconds after the signal, when nothing was under way any
        more and the process was about to close its connections. Found by a
        hunted day on which machines are stopped in turn.
        """
        route = make_route(RouteKind.UNSAFE, 1.2)
        assert SHUTDOWN.may_begin(route, 104.96)
        assert not SHUTDOWN.close(104.95).may_begin(route, 104.96)

    def test_a_stream_that_may_outlast_the_process_is_not(self):
        assert not SHUTDOWN.may_begin(make_route(RouteKind.STREAM, 1.2), 103.1)
