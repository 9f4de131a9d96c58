"""The links of one instance to all endpoints, each of which can be cut.

The instance reads a store of its own, in which each endpoint has the address
of a proxy that only this instance uses.
"""

import asyncio
from collections import deque
from ipaddress import IPv4Address

import orjson

from standins.forwarding.store import Item, PlatformStore, serve_store
from standins.proxy import AnswerCut, Cut, Proxy
from standins.server import Server

__all__ = ["InstanceLinks"]

MAX_PORT = 65535
SERVERS_PREFIX = "servers/"


class InstanceLinks:
    """The store of one instance, and the proxies of its endpoints.

    Items appear in the copy once their proxy listens, in the order in which
    they were written.
    """

    def __init__(self, original: PlatformStore) -> None:
        self.store = PlatformStore()
        self.server: Server = serve_store(self.store)
        self._original = original
        self._proxies_by_target: dict[str, Proxy] = {}
        self._cut: Cut | None = None
        self._cut_targets: frozenset[str] = frozenset()
        self._written: asyncio.Queue[Item] = asyncio.Queue()
        self._task = asyncio.ensure_future(self._copy_forever())
        for item in sorted(original.items_by_key.values(), key=_read_revision):
            self._written.put_nowait(item)
        original.copies.append(self._written.put_nowait)
        original.mirrors.append(self.store)

    async def _copy_forever(self) -> None:
        while True:
            item = await self._written.get()
            self.store.apply(await self._translate(item))
            self._written.task_done()

    async def wait_until_copied(self) -> None:
        """Wait until all items written so far are in the copy."""
        await self._written.join()

    async def _translate(self, item: Item) -> Item:
        if item.value is None or not item.key.startswith(SERVERS_PREFIX):
            return item
        try:
            entry = orjson.loads(item.value)
            target = entry["address"]
        except (ValueError, KeyError, TypeError):
            # Invalid entries are part of what the tests write.
            return item
        if not _can_be_connected_to(target):
            # The daemon is to meet invalid addresses, too.
            return item
        entry["address"] = await self._get_proxy_address(target)
        return Item(item.key, orjson.dumps(entry), item.revision)

    async def _get_proxy_address(self, target: str) -> str:
        proxy = self._proxies_by_target.get(target)
        if proxy is None:
            proxy = Proxy(target)
            await proxy.start()
            # A cut that comes meanwhile needs the address.
            self._proxies_by_target[target] = proxy
            if self._cut is not None and self._is_chosen(target):
                proxy.cut(self._cut)
        return proxy.address

    def _is_chosen(self, target: str) -> bool:
        """Return whether a cut applies to an address."""
        return not self._cut_targets or target in self._cut_targets

    def list_targets(self) -> list[str]:
        """Return the addresses of all endpoints that were published."""
        return list(self._proxies_by_target)

    def cut_answers(self, cuts: deque[AnswerCut]) -> None:
        """Cut the next answers of whichever endpoint as described."""
        for proxy in self._proxies_by_target.values():
            proxy.answer_cuts = cuts

    def cut(self, how: Cut, *targets: str) -> None:
        """Cut the links to some endpoints' addresses, by default to all."""
        self._cut = how
        self._cut_targets = frozenset(targets)
        for target, proxy in self._proxies_by_target.items():
            if self._is_chosen(target):
                proxy.cut(how)

    async def restore(self) -> None:
        """End all cuts."""
        self._cut = None
        # Endpoints may be published meanwhile.
        for proxy in list(self._proxies_by_target.values()):
            await proxy.restore()

    async def stop(self) -> None:
        """Stop the store and the proxies."""
        self._original.copies.remove(self._written.put_nowait)
        self._original.mirrors.remove(self.store)
        self._task.cancel()
        for proxy in self._proxies_by_target.values():
            await proxy.stop()
        await self.server.stop()


def _can_be_connected_to(address: object) -> bool:
    """Return whether an address is an IPv4 address with a port.

    >>> [_can_be_connected_to(f"127.0.0.1:{port}") for port in (80, 70000)]
    [True, False]
    """
    host, _, port = str(address).partition(":")
    try:
        IPv4Address(host)
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _read_revision(item: Item) -> int:
    return item.revision
