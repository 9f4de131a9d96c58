"""Reads the report of an endpoint on a connection of its own."""

import asyncio
from http import HTTPStatus

from fescuekeel.components.origins.const import READ_TIMEOUT_S
from fescuekeel.helpers.dialect import MAX_REPORT_BYTES, Dialect, EndpointReport
from fescuekeel.helpers.endpoint_call import call_endpoint
from fescuekeel.helpers.http_connection import (
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
    connect,
)
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import EndpointRecord

__all__ = ["read_report"]


async def read_report(
    dialect: Dialect, record: EndpointRecord
) -> EndpointReport | None:
    """Return the report of an endpoint, ``None`` if it is unavailable."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            answer = await _fetch(dialect, record)
        if answer.status != HTTPStatus.OK:
            return None
        return dialect.read_report(answer.body)
    except (
        NotConnectedError,
        IncompleteResponseError,
        TimeoutError,
        ValueError,
    ) as error:
        log_event("report_failed", endpoint=record.id, error=str(error))
        return None


async def _fetch(dialect: Dialect, record: EndpointRecord) -> HttpResponse:
    call = dialect.make_report_call(record.id)
    connection = await connect(record.address, READ_TIMEOUT_S)
    try:
        return await call_endpoint(
            connection,
            dialect,
            call,
            record.address,
            READ_TIMEOUT_S,
            MAX_REPORT_BYTES,
        )
    finally:
        connection.close()
