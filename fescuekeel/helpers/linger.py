"""Whether closing a socket resets its connection (SO_LINGER, socket(7)).

A connection that is reset drops what is not sent, and its peer sees an error
instead of an orderly end. The option also holds if the process dies.
"""

import socket
import struct
from asyncio.trsock import TransportSocket

__all__ = ["close_in_order", "reset_on_close"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


def reset_on_close(raw: socket.socket | TransportSocket | None) -> None:
    """Let closing reset the connection, if the socket is open."""
    _set_linger(raw, RESET_ON_CLOSE)


def close_in_order(raw: socket.socket | TransportSocket | None) -> None:
    """Let closing end the connection after all that was written."""
    _set_linger(raw, CLOSE_IN_ORDER)


def _set_linger(raw: socket.socket | TransportSocket | None, value: bytes) -> None:
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
