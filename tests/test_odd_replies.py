"""Replies of upstreams and services that can't be used are failed calls."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import upstreams
from lycheegw.transport import platform_clients
from lycheegw.transport import upstream_client


@contextlib.asynccontextmanager
async def _server(body: bytes) -> AsyncIterator[str]:
    """Runs a server that sends the same body to each request."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.0 200 OK\r\n\r\n" + body)
            await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        listener.close()


def _report(field: str, value: str) -> bytes:
    fields = {
        "versions": '["m@1"]',
        "running": "1",
        "queued": "0",
        "started_at_s": "5.0",
        "completed_total": "3",
        field: value,
    }
    return (
        "{" + ",".join(f'"{key}":{text}' for key, text in fields.items()) + "}"
    ).encode()


# Guards against polls of all upstreams that end because of one report.
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 100_000, id="nested"),
        pytest.param(_report("running", "1e999"), id="infinite"),
        pytest.param(_report("started_at_s", "9" * 400), id="long"),
        pytest.param(_report("queued", "9" * 400), id="long count"),
        pytest.param(_report("started_at_s", "NaN"), id="no number"),
        pytest.param(_report("versions", "[[]]"), id="versions"),
        pytest.param(b"[]", id="list"),
    ],
)
async def test_odd_load_report_is_a_failed_call(body: bytes) -> None:
    client = upstream_client.HttpUpstreamClient(
        limits.Limits(), clocks.system()
    )
    async with _server(body) as address:
        target = upstreams.HostEntry(
            "e1", upstreams.HostRole.ENGINE, "m", address, "z", False, False
        )
        with pytest.raises(errors.UpstreamError, match="report"):
            await client.report(target, 1.0)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 100_000, id="nested"),
        pytest.param(b"{}", id="empty"),
        pytest.param(b"[]", id="list"),
    ],
)
async def test_odd_reply_of_a_platform_service_is_a_failed_call(
    body: bytes,
) -> None:
    async with _server(body) as address:
        with pytest.raises(errors.PlatformError):
            await platform_clients.HttpHostsClient(address).list_hosts()
        with pytest.raises(errors.LogUnavailableError):
            await platform_clients.HttpLogClient(address).read("s", 0, 9, 0.0)
