"""What counts as an upstream's word that it did not run a call."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import errno
import socket
import struct

import pytest

from lycheegw.coordination import interfaces
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import limits
from lycheegw.state import reasons
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import http_client
from lycheegw.transport import upstream_client

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN

_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Run: not_run\r\n"
    b"X-Request-Id: r1\r\n"
    b"Retry-After: 3\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
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


def _respond_with(response: bytes) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.write_eof()
        await reader.read()

    return script


def _client_of(
    address: str,
) -> tuple[upstream_client.HttpUpstreamClient, upstreams.HostEntry]:
    client = upstream_client.HttpUpstreamClient(
        limits.Limits(), clocks.system()
    )
    entry = upstreams.HostEntry(
        "u", upstreams.HostRole.ENGINE, "m", address, "z", False, True
    )
    return client, entry


async def _operate(address: str) -> object:
    client, entry = _client_of(address)
    call = interfaces.OperationCall("r1", "book", {}, "k", False, False)
    return await client.operate(entry, call, 2.0)


async def _generate(address: str) -> object:
    client, entry = _client_of(address)
    call = interfaces.GenerateCall("r1", "m", "v1", (), 8, 5, "", 0)
    return await client.generate(entry, call, 2.0)


async def _order(address: str) -> object:
    client, entry = _client_of(address)
    order = interfaces.UpstreamOrder(frozenset({"v1"}), 1)
    return await client.order(entry, order, 2.0)


_CALLS = {"operate": _operate, "generate": _generate}


async def _failure(
    response: bytes, call: Callable[[str], Awaitable[object]]
) -> errors.UpstreamError:
    """Returns the error of a call that gets a response."""
    async with _server(_respond_with(response)) as address:
        with pytest.raises(errors.UpstreamError) as caught:
            await call(address)
    return caught.value


# Guards against the loss of the one rejection that is proof of "not run".
@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("status", [409, 429, 503])
async def test_rejection_of_this_call_means_not_run(
    status: int, call: str
) -> None:
    response = _REJECTION.replace(b"503", str(status).encode())
    error = await _failure(response, _CALLS[call])
    assert error.reason is reasons.RetryReason.REFUSED
    assert error.verdict is _NOT_RUN
    assert error.retry_after_s == 3


# Issue 55: "not run" by a response to another request, or to none.
@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("echo", [b"X-Request-Id: r2\r\n", b""])
async def test_rejection_of_another_call_does_not_mean_not_run(
    echo: bytes, call: str
) -> None:
    response = _REJECTION.replace(b"X-Request-Id: r1\r\n", echo)
    error = await _failure(response, _CALLS[call])
    assert error.reason is reasons.RetryReason.REFUSED
    assert error.verdict is _MAY_HAVE_RUN


# Issue 55: of two contradicting headers only the last one was looked at.
@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize(
    ("header", "other"),
    [(b"X-Run: not_run", b"X-Run: ran"), (b"X-Request-Id: r1",) * 2],
)
@pytest.mark.parametrize("is_first", [True, False])
async def test_rejection_that_contradicts_itself_does_not_mean_not_run(
    is_first: bool, header: bytes, other: bytes, call: str
) -> None:
    other = other.replace(b"r1", b"r2")
    pair = [other, header] if is_first else [header, other]
    response = _REJECTION.replace(header, b"\r\n".join(pair))
    error = await _failure(response, _CALLS[call])
    assert error.verdict is _MAY_HAVE_RUN


# Issue 55: the rejection of a model call counted before its body was there.
@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("body", [b"", b"{", b"{}HTTP/1.1 200 OK\r\n\r\n"])
async def test_rejection_that_breaks_off_does_not_mean_not_run(
    body: bytes, call: str
) -> None:
    head = _REJECTION.removesuffix(b"{}")
    error = await _failure(head + body, _CALLS[call])
    assert error.verdict is _MAY_HAVE_RUN


# An order names no request, so that no response can be shown to answer it.
async def test_rejected_order_may_have_taken_effect() -> None:
    error = await _failure(_REJECTION, _order)
    assert error.verdict is _MAY_HAVE_RUN


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


# Guards against an OSError that passes for a client that has left.
async def test_call_without_a_free_descriptor_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(http_client.socket, "socket", fail)
    with pytest.raises(errors.UpstreamError) as caught:
        await http_client.fetch("127.0.0.1:1", "POST", "/", 5.0)
    assert caught.value.reason is reasons.RetryReason.NO_FREE_CONNECTION
    assert caught.value.verdict is _NOT_RUN
