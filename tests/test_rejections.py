"""What counts as an upstream's word that it did not run a call."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct

import pytest

from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import http_client

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def _server(script: Script) -> AsyncIterator[str]:
    """Serves each connection with `script`; yields the address."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await script(reader, writer)
        writer.transport.abort()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        listener.close()


# Issue 55: a server that starts to work on a head that never ends.
async def test_request_with_a_part_of_its_head_sent_may_have_run() -> None:
    async def run_early(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readexactly(1000)

    async with _server(run_early) as address:
        with pytest.raises(errors.UpstreamError) as caught:
            await http_client.fetch(
                address, "POST", "/", 5.0, {"x-long": "x" * 64_000_000}
            )
    assert caught.value.reason is reasons.RetryReason.SEND_FAILED
    assert caught.value.verdict is _MAY_HAVE_RUN


# Guards against "may have run" for a call that never left this process.
async def test_request_on_a_connection_that_was_reset_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = http_client._connect

    async def connect_then_wait(address: tuple[str, int], seconds: float):
        sock = await connect(address, seconds)
        await asyncio.sleep(0.05)
        return sock

    async def reset(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        del reader
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )

    monkeypatch.setattr(http_client, "_connect", connect_then_wait)
    async with _server(reset) as address:
        with pytest.raises(errors.UpstreamError) as caught:
            await http_client.fetch(address, "POST", "/", 5.0)
    assert caught.value.verdict is _NOT_RUN
