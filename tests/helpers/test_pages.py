"""Tests of the page server."""

import asyncio
from http import HTTPStatus

import pytest
from tornado.httpclient import AsyncHTTPClient

from fescuekeel.helpers.pages import Page, PageServer
from tests.common import make_resources


async def ask(method, path):
    server = PageServer(
        {
            "/text": lambda: Page(b"some text"),
            "/busy": lambda: Page(status=HTTPStatus.SERVICE_UNAVAILABLE),
        },
        make_resources(),
        "ready",
    )
    server.start("127.0.0.1:0")
    try:
        client = AsyncHTTPClient(force_instance=True)
        return await client.fetch(
            f"http://{server.address}{path}",
            method=method,
            allow_nonstandard_methods=True,
            raise_error=False,
        )
    finally:
        await server.stop()


class TestPageServer:
    @pytest.mark.parametrize(
        ("method", "path", "status", "body"),
        [
            ("GET", "/text", 200, b"some text"),
            ("GET", "/text?a=1", 200, b"some text"),
            ("HEAD", "/text", 200, b""),
            ("GET", "/busy", 503, b""),
            ("GET", "/none", 404, b""),
            ("POST", "/text", 405, b""),
        ],
    )
    def test_response_per_method_and_path(self, method, path, status, body):
        answer = asyncio.run(ask(method, path))
        assert (answer.code, answer.body) == (status, body)
