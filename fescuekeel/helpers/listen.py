"""Parse listen addresses and bind sockets to them."""

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
    """Return listening sockets and their address.

    Port 0 binds a free port; the returned address has the actual one.
    """
    host, port = split_address(address)
    sockets = bind_sockets(port, host)
    shown = f"[{host}]" if ":" in host else host
    return sockets, f"{shown}:{sockets[0].getsockname()[1]}"
