"""Addresses as settings have them, and sockets that listen there."""

import socket

from tornado.netutil import bind_sockets

__all__ = ["bind_address", "split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bind_address(address: str) -> tuple[list[socket.socket], str]:
    """Return listening sockets and the address that they have.

    Port 0 takes a free one, which the returned address then shows.
    """
    host, port = split_address(address)
    sockets = bind_sockets(port, host)
    shown = f"[{host}]" if ":" in host else host
    return sockets, f"{shown}:{sockets[0].getsockname()[1]}"
