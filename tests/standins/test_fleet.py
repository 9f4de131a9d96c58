"""Tests of the address allocation for processes."""

import socket

from standins.fleet import LISTENING_PORTS, LOOPBACK, free_addresses, is_free


class TestFreeAddresses:
    def test_outgoing_connections_cannot_take_the_ports(self):
        """Guards against a daemon failing with "address already in use".

        An outgoing connection may take the port before the daemon binds it.
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
