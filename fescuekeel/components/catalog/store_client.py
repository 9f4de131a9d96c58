"""Calls the platform's store on one connection."""

from typing import Protocol

from fescuekeel.components.catalog.const import CONNECT_TIMEOUT_S, MAX_REPLY_BYTES
from fescuekeel.components.catalog.follower import ListPage, WatchChanges
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import Dialect, HttpCall, StoreReply
from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    NotConnectedError,
    connect,
    fetch,
)
from fescuekeel.helpers.logging import log_event

__all__ = ["HttpStoreClient", "StoreClient"]


class StoreClient(Protocol):
    """Whatever makes the calls that a follower asks for."""

    async def call(self, call: ListPage | WatchChanges) -> StoreReply | None:
        """Return the reply, ``None`` if none came in time."""

    def close(self) -> None:
        """Close the connection."""


class HttpStoreClient:
    """Call the store that the settings name, on one connection at a time."""

    def __init__(self, instance: Instance, dialect: Dialect) -> None:
        self._instance = instance
        self._dialect = dialect
        self._address = instance.settings.platform.store
        self._connection: Connection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    async def call(self, call: ListPage | WatchChanges) -> StoreReply | None:
        """Return the reply, ``None`` if none came in time."""
        self._instance.metrics.count("catalog.calls")
        try:
            return await self._fetch(self._make_call(call), call.timeout_s)
        except (NotConnectedError, IncompleteResponseError, ValueError) as error:
            self._instance.metrics.count("catalog.call_failed")
            log_event("store_call_failed", call=type(call).__name__, error=str(error))
            return None

    def _make_call(self, call: ListPage | WatchChanges) -> HttpCall:
        if isinstance(call, ListPage):
            return self._dialect.make_list_call(call.after_key)
        return self._dialect.make_watch_call(call.after.revision, call.wait_s)

    async def _fetch(self, http: HttpCall, timeout_s: float) -> StoreReply:
        connection = self._connection
        if connection is None or not connection.usable:
            connection = await connect(self._address, CONNECT_TIMEOUT_S)
            self._connection = connection
        response = await fetch(
            connection,
            http.method,
            http.target,
            (("Host", self._address), *http.headers),
            http.body,
            timeout_s,
            MAX_REPLY_BYTES,
        )
        return self._dialect.read_store_reply(
            response.status, response.headers, response.body
        )
