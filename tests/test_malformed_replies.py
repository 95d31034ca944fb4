"""Replies of upstreams and services that can't be used are failed calls."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

import pytest

from lycheegw.state import clocks
from lycheegw.state import counters
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
async def test_malformed_load_report_is_a_failed_call(body: bytes) -> None:
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
async def test_malformed_reply_of_a_platform_service_is_a_failed_call(
    body: bytes,
) -> None:
    async with _server(body) as address:
        with pytest.raises(errors.PlatformError):
            await platform_clients.HttpHostsClient(
                address, counters.Counters()
            ).list_hosts()
        with pytest.raises(errors.LogUnavailableError):
            await platform_clients.HttpLogClient(address).read("s", 0, 9, 0.0)


def _host(host_id: str, **changes: Any) -> dict[str, Any]:
    return {
        "host_id": host_id,
        "role": "engine",
        "pool": "m",
        "address": "127.0.0.1:80",
        "zone": "z",
        "is_leaving": False,
        **changes,
    }


# Guards against nodes that no longer follow the host list because of one entry.
@pytest.mark.parametrize(
    "odd",
    [
        pytest.param(_host("odd", role="other"), id="role"),
        pytest.param(_host("odd", role=[]), id="role of another type"),
        pytest.param(_host("odd", address="127.0.0.1:99999"), id="port"),
        pytest.param(_host("odd", address=80), id="address"),
        pytest.param(_host("odd", pool="\ud800"), id="pool that is no text"),
        pytest.param(_host("odd", is_leaving=1), id="type"),
        pytest.param({"host_id": "odd"}, id="fields missing"),
        pytest.param(["odd"], id="list"),
        pytest.param(None, id="null"),
    ],
)
async def test_malformed_host_does_not_hide_the_others(
    odd: Any, caplog: pytest.LogCaptureFixture
) -> None:
    body = json.dumps({"hosts": [_host("a"), odd, _host("b")]}).encode()
    counts = counters.Counters()
    async with _server(body) as address:
        client = platform_clients.HttpHostsClient(address, counts)
        for _ in range(2):
            entries = await client.list_hosts()
            assert [each.host_id for each in entries] == ["a", "b"]
    assert counts.by_name["hosts.unreadable"] == len(caplog.records) == 1
