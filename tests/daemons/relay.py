"""Relays between instances that can go silent, as a network does."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from fescuekeel.components.peers.const import NONCE_BYTES
from fescuekeel.components.peers.frames import LENGTH_BYTES, MAC_BYTES
from fescuekeel.helpers.wire import decode
from fescuekeel.messages import Hello

__all__ = ["Link", "Network"]

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
Rule = Callable[[str, str], bool]


@dataclass(eq=False, slots=True)
class Link:
    """One connection; what it carries stands still while it is frozen."""

    source: str
    target: str
    flowing: asyncio.Event = field(default_factory=asyncio.Event)


def read_sender(data: bytes) -> str:
    """Return who says hello in the first bytes, once that is there."""
    start = NONCE_BYTES + LENGTH_BYTES
    if len(data) < start:
        return ""
    end = start + int.from_bytes(data[NONCE_BYTES:start], "big")
    if len(data) < end:
        return ""
    body = decode(data[start + MAC_BYTES : end]).unwrap().body
    assert isinstance(body, Hello)
    return body.instance


class Network:
    """Carry every connection, and know which ends it joins.

    A frozen connection stays open at both ends and passes nothing on, not
    even its end, as when something between has lost track of it. New ones
    work unless ``is_cut`` says otherwise of their source and target.
    """

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self.is_cut: Rule = lambda source, target: False
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def relay(self, target: str, address: str, source: str = "") -> str:
        """Return an address that leads to the target's.

        Without a source, the sender's hello between instances tells it.
        """
        host, _, port = address.rpartition(":")

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            link = Link(source, target)
            self._apply_rule(link)
            self._writers.add(writer)
            try:
                far_reader, far_writer = await asyncio.open_connection(host, port)
            except OSError:
                writer.close()
                return
            self._writers.add(far_writer)
            self.links.add(link)
            sniff = not source
            self._spawn(self._pump(link, reader, far_writer, sniff))
            self._spawn(self._pump(link, far_reader, writer, sniff=False))

        server = await asyncio.start_server(accept, LOOPBACK, 0)
        self._servers.append(server)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def cut(self, is_cut: Rule) -> None:
        """Cut what the rule names, connections that are open included."""
        self.is_cut = is_cut
        for link in self.links:
            self._apply_rule(link)

    def heal(self) -> None:
        """End the cut; what was held back arrives late."""
        self.cut(lambda source, target: False)

    def freeze(self, choose: Rule) -> int:
        """Let the chosen connections go silent for good; return how many."""
        chosen = [
            link
            for link in self.links
            if link.flowing.is_set() and choose(link.source, link.target)
        ]
        for link in chosen:
            link.flowing.clear()
        # Neither a rule nor a cure reaches them any more.
        self.links.difference_update(chosen)
        return len(chosen)

    async def stop(self) -> None:
        """Close everything."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    def _apply_rule(self, link: Link) -> None:
        if self.is_cut(link.source, link.target):
            link.flowing.clear()
        else:
            link.flowing.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sniff: bool,
    ) -> None:
        head = b""
        try:
            while data := await reader.read(READ_BYTES):
                if sniff and not link.source:
                    head += data
                    link.source = read_sender(head)
                    self._apply_rule(link)
                await link.flowing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await link.flowing.wait()
        self.links.discard(link)
        self._writers.discard(writer)
        writer.close()
