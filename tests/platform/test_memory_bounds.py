"""A node's memory stays under its limit whatever its peers send."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import pathlib
from typing import Any
from typing import NamedTuple

import pytest

from lycheegw.transport import ingress
from tests.platform import fleet_harness
from tests.platform import node_processes
from tests.platform import platform_standins
from tests.platform import raw_upstreams

HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = HEAD + b"X-Lycheegw-Response-Signature: s\r\n"
ERROR = b"HTTP/1.1 500 Fault\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"Content-Length: 99999999999\r\n\r\n"
CHUNK = b"10000\r\n" + bytes(65536) + b"\r\n"
BLOCK = b"x" * 65536
EVENTS = b"id: 1\ndata: token\n\n" * 3000
SHORT_EVENTS = b"\n\n" * 32768
# As the node closes an upstream's connection once its caller is gone, this
# also bounds how long an upstream sends.
CALLER_TIMEOUT_S = 3.0
# Other callers come this often.
INTERVAL_S = 0.1
MAX_BODY_BYTES = 4 * 1024 * 1024

_numbers = itertools.count()


class Case(NamedTuple):
    """What the upstreams of a service send to each request.

    Attributes:
        path: Path of the requests, by which they reach that service.
        start: First bytes of each response.
        block: Bytes that follow again and again; without any, the upstream
            falls silent.
        is_identified: Whether the id of the request follows `start`'s lines.
        rest: What follows that.
    """

    path: str
    start: bytes
    block: bytes
    is_identified: bool = True
    rest: bytes = CHUNKED


CASES = [
    pytest.param(Case("/look/1", SIGNED, CHUNK), id="answer in chunks"),
    pytest.param(
        Case("/look/1", SIGNED, BLOCK, rest=LONG), id="answer with a length"
    ),
    pytest.param(
        Case("/look/1", SIGNED, BLOCK, rest=b"\r\n"),
        id="answer without a length",
    ),
    pytest.param(
        Case("/book/1", SIGNED, BLOCK, rest=b"\r\n"), id="unsafe answer"
    ),
    pytest.param(Case("/look/1", ERROR, CHUNK), id="error"),
    pytest.param(Case("/look/1", REJECTION, CHUNK), id="rejection"),
    pytest.param(
        Case("/look/1", b"", BLOCK, is_identified=False, rest=b""), id="no head"
    ),
    pytest.param(
        Case("/look/1", HEAD, b"X: y\r\n" * 9000, rest=b""), id="header lines"
    ),
    pytest.param(
        Case("/look/1", SIGNED + b"X: y\r\n" * 9000, b"", rest=LONG),
        id="many headers",
    ),
    pytest.param(Case("/ask/1", SIGNED, CHUNK), id="stream without events"),
    pytest.param(
        Case("/ask/1", SIGNED, EVENTS, rest=b"\r\n"), id="stream of events"
    ),
    pytest.param(
        Case("/ask/1", SIGNED, SHORT_EVENTS, rest=b"\r\n"),
        id="stream of empty events",
    ),
    pytest.param(Case("/ask/1", ERROR, CHUNK), id="stream error"),
    pytest.param(Case("/ask/1", REJECTION, CHUNK), id="stream rejection"),
]


def _respond(
    case: Case,
) -> Callable[
    [raw_upstreams.RawRequest, asyncio.StreamWriter], Awaitable[None]
]:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name.get("x-lycheegw-attempt-id")
        if attempt_id is None:
            writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
            return
        writer.write(case.start)
        if case.is_identified:
            writer.write(b"X-Lycheegw-Attempt-Id: %s\r\n" % attempt_id.encode())
        writer.write(case.rest)
        if not case.block:
            await asyncio.sleep(CALLER_TIMEOUT_S)
        await raw_upstreams.write_until_closed(writer, case.block or BLOCK)

    return respond


def _request_head(path: str, framing: str) -> bytes:
    """Returns the head of a request, with the header that frames its body."""
    method = "GET" if path.startswith("/look/") else "POST"
    fields = {
        "Host": platform_standins.HOST,
        "X-Lycheegw-Attempt-Id": f"request-{next(_numbers)}",
        "X-Lycheegw-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000)),
        "Api-Key": platform_standins.API_KEY,
    }
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(
        [f"{method} {path} HTTP/1.1", *lines, framing, "", ""]
    ).encode()


async def _call(address: str, path: str) -> None:
    """Sends requests until the time is over; drops what comes."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    await _call_once(address, path)


async def _call_once(address: str, path: str) -> None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            _request_head(path, "Content-Length: 0\r\nConnection: close")
        )
        while await reader.read(65536):
            pass
    finally:
        writer.transport.abort()


async def _send_without_end(address: str, start: bytes, block: bytes) -> int:
    """Sends bytes until the time is over; returns how many were taken."""
    host, _, port = address.rpartition(":")
    count = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(start)
                while True:
                    writer.write(block)
                    await writer.drain()
                    count += len(block)
                    await asyncio.sleep(0)
            finally:
                writer.transport.abort()
    return count


async def _statuses_of_others(
    address: str, path: str, stopped: asyncio.Event
) -> list[int]:
    """Returns the statuses of requests to sound upstreams until an event."""
    statuses = []
    while not stopped.is_set():
        reply = await platform_standins.send_request(
            address, path, "GET" if path.startswith("/look/") else "POST"
        )
        statuses.append(reply.status if reply is not None else 0)
        await asyncio.sleep(INTERVAL_S)
    return statuses


async def _check_beside(
    node: node_processes.NodeProcess,
    sound_path: str,
    memory_mb: int,
    load: Awaitable[Any],
) -> None:
    """Checks memory, and requests to sound upstreams, while a load runs."""
    stopped = asyncio.Event()
    others = asyncio.create_task(
        _statuses_of_others(node.front, sound_path, stopped)
    )
    await load
    stopped.set()
    statuses = await others
    peak = node.peak_bytes() if node.is_running else 0
    print(f"peak {peak / 1e6:.0f} MB, limit {memory_mb}; others {statuses}")
    assert node.is_running
    assert statuses
    assert set(statuses) == {200}
    assert peak < memory_mb * 1_000_000


# Guards against upstreams that end a node, and the requests of others, by
# bytes without end: nothing bounded their sum over the requests.
@pytest.mark.parametrize(("count", "memory_mb"), [(40, 300), (200, 128)])
@pytest.mark.parametrize("case", CASES)
async def test_memory_is_bounded_if_upstreams_send_without_end(
    case: Case, count: int, memory_mb: int, tmp_path: pathlib.Path
) -> None:
    is_stream = case.path.startswith("/ask/")
    names = ("m1", "m2") if is_stream else ("d1", "d2")
    service = "llm" if is_stream else "desk"
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(fleet_harness.fleet(nodes=0))
        for name in names:
            await stack.enter_async_context(
                raw_upstreams.raw_upstream(fleet, name, service, _respond(case))
            )
        node = await stack.enter_async_context(
            node_processes.node_process(
                fleet.store.address, memory_mb, tmp_path
            )
        )
        await _check_beside(
            node,
            "/look/2" if is_stream else "/ask/2",
            memory_mb,
            asyncio.gather(
                *(_call(node.front, case.path) for _ in range(count))
            ),
        )


# Guards against callers that end a node by bodies, or by requests behind an
# unanswered one, without end.
@pytest.mark.parametrize(("count", "memory_mb"), [(40, 150), (200, 128)])
@pytest.mark.parametrize("is_pipelined", [False, True])
async def test_memory_is_bounded_if_callers_send_without_end(
    is_pipelined: bool, count: int, memory_mb: int, tmp_path: pathlib.Path
) -> None:
    if is_pipelined:
        start = _request_head("/look/1", "Content-Length: 0")
        block = BLOCK
    else:
        # It never ends, and stays below the longest body that is allowed.
        start = _request_head("/look/1", f"Content-Length: {MAX_BODY_BYTES}")
        start += bytes(MAX_BODY_BYTES - 65536)
        block = b""
    manifest = platform_standins.manifest()
    manifest["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    async with (
        fleet_harness.fleet(nodes=0, manifest=manifest) as fleet,
        node_processes.node_process(
            fleet.store.address, memory_mb, tmp_path
        ) as node,
    ):
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = CALLER_TIMEOUT_S
        await _check_beside(
            node,
            "/ask/2",
            memory_mb,
            asyncio.gather(
                *(
                    _send_without_end(node.front, start, block)
                    for _ in range(count)
                )
            ),
        )


# Guards against replies to status checks, which are made after a connection
# broke, that end a node.
async def test_memory_is_bounded_if_status_checks_get_bytes_without_end(
    tmp_path: pathlib.Path,
) -> None:
    memory_mb = 128

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if "x-lycheegw-attempt-id" in request.header_by_name:
            writer.transport.abort()
            return
        writer.write(HEAD + CHUNKED)
        await raw_upstreams.write_until_closed(writer, CHUNK)

    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(fleet_harness.fleet(nodes=0))
        for number in range(30):
            name = f"d{number + 3}"
            await fleet.add_upstream(name, "desk")
            await stack.enter_async_context(
                raw_upstreams.raw_upstream(fleet, name, "desk", respond)
            )
        node = await stack.enter_async_context(
            node_processes.node_process(
                fleet.store.address, memory_mb, tmp_path
            )
        )
        await _check_beside(
            node,
            "/ask/2",
            memory_mb,
            asyncio.gather(*(_call(node.front, "/look/1") for _ in range(200))),
        )


class _EndlessStore(platform_standins.Store):
    """A store whose replies may be without end."""

    is_endless = False

    async def _handle_call(
        self, exchange: ingress.Exchange, path: str, query: dict[str, str]
    ) -> None:
        if not self.is_endless:
            await super()._handle_call(exchange, path, query)
            return
        await exchange.start(200, self._headers(), None)
        while True:
            await exchange.write(BLOCK)


# Guards against replies of the store that end a node.
async def test_memory_is_bounded_if_the_store_sends_without_end(
    tmp_path: pathlib.Path,
) -> None:
    memory_mb = 128
    store = _EndlessStore()
    async with (
        fleet_harness.fleet(nodes=0, store=store) as fleet,
        node_processes.node_process(
            fleet.store.address, memory_mb, tmp_path
        ) as node,
    ):
        store.is_endless = True
        await _check_beside(node, "/ask/2", memory_mb, asyncio.sleep(4.0))
