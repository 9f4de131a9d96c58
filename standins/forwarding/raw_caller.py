"""A caller that judges from raw bytes whether its answer looks complete."""

import asyncio
import re
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field

from fescuekeel.helpers.dialect import Header
from fescuekeel.helpers.listen import split_address

__all__ = ["RawAnswer", "call_raw"]

RECEIVE_BYTES = 65536
HEAD_END = b"\r\n\r\n"
CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]+)[^\r\n]*\r\n")


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """What a caller received; ``status`` is 0 without a head.

    ``complete`` says that the framing ended as it announced.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def call_raw(
    address: str,
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes = b"",
    version: str = "1.1",
    timeout_s: float = 10.0,
) -> RawAnswer:
    """Send one request on a connection of its own, and read to its end."""
    lines = [f"{method} {target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if version == "1.1":
        lines.append("Connection: close")
    framing = {"content-length", "transfer-encoding"}
    if body and not framing & {name.lower() for name, _ in headers}:
        lines.append(f"Content-Length: {len(body)}")
    request = "\r\n".join(lines).encode("latin-1") + HEAD_END + body
    with socket.socket() as own:
        own.setblocking(False)
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(own, split_address(address))
            await loop.sock_sendall(own, request)
            received, closed_in_order = await _receive_all(own)
    return parse_answer(received, closed_in_order)


async def _receive_all(own: socket.socket) -> tuple[bytes, bool]:
    """Return what arrived, and whether the connection was closed in order."""
    received = bytearray()
    loop = asyncio.get_running_loop()
    while True:
        try:
            data = await loop.sock_recv(own, RECEIVE_BYTES)
        except ConnectionError:
            return bytes(received), False
        if not data:
            return bytes(received), True
        received += data


def parse_answer(received: bytes, closed_in_order: bool) -> RawAnswer:
    r"""Judge an answer from its bytes and how its connection ended.

    >>> head = b"HTTP/1.1 200 OK\r\n"
    >>> parse_answer(head + b"Content-Length: 3\r\n\r\nab", True).complete
    False
    >>> parse_answer(head + b"Date: now\r\n\r\nab", True).complete
    True
    """
    head, end, rest = received.partition(HEAD_END)
    if not end:
        return RawAnswer()
    first, *fields = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in fields:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return RawAnswer(status, headers, *_parse_chunks(rest))
    if "content-length" in headers:
        length = int(headers["content-length"])
        return RawAnswer(status, headers, rest, len(rest) == length)
    return RawAnswer(status, headers, rest, closed_in_order)


def _parse_chunks(rest: bytes) -> tuple[bytes, bool]:
    body = bytearray()
    position = 0
    while (match := CHUNK_SIZE.match(rest, position)) is not None:
        size = int(match.group(1), 16)
        position = match.end() + size + 2
        if not size:
            return bytes(body), position <= len(rest)
        body += rest[match.end() : match.end() + size]
    return bytes(body), False
