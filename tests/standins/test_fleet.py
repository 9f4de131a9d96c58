"""Tests of how processes of a run get their addresses."""

import socket

from standins.fleet import LISTENING_PORTS, LOOPBACK, free_addresses, is_free


class TestFreeAddresses:
    def test_no_outgoing_connection_can_take_them(self):
        """A daemon ends at its start: its address is in use already.

        Its port was free when it was chosen. Before the daemon listens, some
        other process connects out and the kernel gives it that very port.
        """
        addresses = free_addresses(50) + free_addresses(50)
        ports = [int(address.split(":")[1]) for address in addresses]
        with socket.socket() as outgoing:
            outgoing.bind((LOOPBACK, 0))
            ephemeral = outgoing.getsockname()[1]
        assert len(set(ports)) == 100
        assert all(port in LISTENING_PORTS for port in ports)
        assert ephemeral not in LISTENING_PORTS

    def test_a_port_in_use_is_not_free(self):
        with socket.socket() as listening:
            listening.bind((LOOPBACK, 0))
            listening.listen()
            assert not is_free(listening.getsockname()[1])
