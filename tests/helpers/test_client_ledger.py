"""Tests of the account of what clients hold."""

from fescuekeel.helpers.client_ledger import (
    CONNECTION_BYTES,
    Client,
    ClientLedger,
    ClientLimits,
    ClientPhase,
)

MAX_CONNECTIONS = 4
SLOW_S = 10.0
BYTES_PER_S = 1000.0


def make_ledger(max_bytes=10**9):
    return ClientLedger(ClientLimits(max_bytes, MAX_CONNECTIONS, SLOW_S, BYTES_PER_S))


def add(ledger, since, phase=ClientPhase.IDLE, requests=0, port="callers"):
    client = Client(port, since, phase, requests)
    return client, ledger.add(client)


class TestConnections:
    # Guards against a crowd that comes first and keeps all others out.
    def test_the_one_that_never_had_a_request_is_closed_first(self):
        ledger = make_ledger()
        kept, _ = add(ledger, 1.0, requests=1)
        silent, _ = add(ledger, 2.0)
        add(ledger, 3.0, ClientPhase.SERVING)
        add(ledger, 4.0, ClientPhase.READING)
        _, closed = add(ledger, 5.0)
        assert closed == [silent]
        assert kept in ledger.clients

    # Guards against answers that are cut for want of connections.
    def test_the_new_one_is_closed_if_all_others_are_served(self):
        ledger = make_ledger()
        for since in range(MAX_CONNECTIONS):
            add(ledger, float(since), ClientPhase.SERVING)
        new, closed = add(ledger, 5.0)
        assert closed == [new]
        assert new not in ledger.clients

    # Guards against probes of a port that close callers' connections.
    def test_a_port_with_a_limit_closes_its_own(self):
        ledger = make_ledger()
        ledger.max_by_port["ready"] = 1
        add(ledger, 1.0)
        first, _ = add(ledger, 2.0, port="ready")
        _, closed = add(ledger, 3.0, port="ready")
        assert closed == [first]


class TestMemory:
    # Guards against a request in progress that is closed for an older one
    # that does not come on.
    def test_the_oldest_incomplete_request_is_closed(self):
        ledger = make_ledger(4 * CONNECTION_BYTES)
        stuck, _ = add(ledger, 1.0, ClientPhase.READING)
        ordinary, _ = add(ledger, 2.0, ClientPhase.READING)
        ordinary.body_bytes = 2 * CONNECTION_BYTES
        assert ledger.update(ordinary) == [stuck]
        assert not ledger.has_room(ordinary)
        ordinary.body_bytes = CONNECTION_BYTES
        assert ledger.update(ordinary) == []
        assert ledger.has_room(ordinary)

    # Guards against what is counted for ever.
    def test_nothing_is_left_of_those_that_have_gone(self):
        ledger = make_ledger()
        clients = [add(ledger, 1.0)[0] for _ in range(MAX_CONNECTIONS)]
        for client in clients:
            client.body_bytes = 1000
            ledger.update(client)
            ledger.remove(client)
            ledger.remove(client)
        assert ledger.total_bytes == 0
        assert not any(ledger.counts_by_port.values())

    # Guards against ordinary requests that are refused while answers are
    # written to others.
    def test_a_part_is_kept_for_ordinary_requests(self):
        ledger = make_ledger(2 * CONNECTION_BYTES)
        add(ledger, 1.0, ClientPhase.SERVING)
        add(ledger, 2.0, ClientPhase.SERVING)
        ordinary, _ = add(ledger, 3.0, ClientPhase.READING)
        assert not ledger.has_room(ordinary)
        ledger.limits = ClientLimits(
            2.5 * CONNECTION_BYTES, MAX_CONNECTIONS, SLOW_S, BYTES_PER_S
        )
        assert ledger.has_room(ordinary)


class TestSlowRequests:
    # Guards against requests that are held open for want of their last byte.
    def test_a_request_that_does_not_come_on_is_slow(self):
        ledger = make_ledger()
        client, _ = add(ledger, 1.0, ClientPhase.READING)
        client.received_bytes = 5000
        assert ledger.list_slow(1.0 + SLOW_S + 5.0) == []
        assert ledger.list_slow(1.1 + SLOW_S + 5.0) == [client]

    def test_a_connection_that_is_kept_open_is_not(self):
        ledger = make_ledger()
        add(ledger, 1.0, requests=1)
        assert ledger.list_slow(1000.0) == []


class TestTurns:
    # Guards against requests in tiny pieces that keep the process busy.
    def test_beside_others_a_request_in_tiny_pieces_is_closed(self):
        ledger = make_ledger()
        client, _ = add(ledger, 1.0, ClientPhase.READING)
        client.turns, client.received_bytes = 20, 64 * 1024
        ledger.waiting = 2
        assert not ledger.takes_too_long(client)
        ledger.waiting = 3
        assert ledger.takes_too_long(client)

    # Guards against large ordinary requests that are closed for their size.
    def test_the_largest_body_may_be_read_beside_others(self):
        ledger = make_ledger()
        client, _ = add(ledger, 1.0, ClientPhase.READING)
        client.turns, client.received_bytes = 64, 4 * 1024 * 1024
        ledger.waiting = 10
        assert not ledger.takes_too_long(client)
