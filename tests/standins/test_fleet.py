"""Tests of the address allocation for processes."""

import socket
import subprocess
import sys

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

    def test_a_port_is_reserved_against_other_processes(self):
        """Guards against two runs that choose the same port."""
        (address,) = free_addresses(1)
        port = int(address.split(":")[1])
        assert is_free(port)
        program = f"from standins import fleet; print(fleet.reserve({port}))"
        run = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        assert run.stdout == "False\n"
