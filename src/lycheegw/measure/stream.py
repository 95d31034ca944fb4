"""Measures latency and throughput of one node at the target number of streams.

Engines, callers and the node share one process and one loop. The processor
time of engines and callers alone is measured first and subtracted. The
baseline relays each stream in a thread of its own.
"""

import asyncio
from collections.abc import Iterator
import itertools
import json
import threading
import time
from typing import Any
from typing import NamedTuple

from cheroot import wsgi
import urllib3

from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.measure import report
from lycheegw.protocol import engine_api

__all__ = ["run"]

_KEY = "stream-key"
_ENGINES = 10
_STREAMS = 350
# Above the target of 5,950 tokens a second over all streams.
_TOKEN_GAP_S = 0.053
_FIRST_TOKEN_S = 0.1
_OPENING_S = 2.0
_STEADY_S = 5.0
_TOKENS = int((_OPENING_S + _STEADY_S + 1.0) / _TOKEN_GAP_S)
_HEAD_END = b"\r\n\r\n"
_CHAT_PATH = "/v1/chat/completions"
_RECORDS = minimal_config.records(_KEY)


class _Engine(asyncio.Protocol):
    """An engine's end of a connection; sends a token in each interval."""

    def __init__(self) -> None:
        self._received = b""
        self._loop = asyncio.get_running_loop()
        self._tokens_left = 0
        self._due_s = 0.0

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers a report or starts a stream."""
        self._received += data
        head, _, body = self._received.partition(_HEAD_END)
        if head.startswith(b"GET"):
            self._answer_report()
            return
        try:
            call = json.loads(body)
        except ValueError:
            return
        self._schedule_stream(call["request_id"])

    def _answer_report(self) -> None:
        value = {
            "versions": ["v1"],
            "running": 0,
            "queued": 0,
            "started_at_s": 1.0,
            "completed_total": 1000,
        }
        body = json.dumps(value).encode()
        head = b"HTTP/1.0 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        self._transport.write(head + body)
        self._transport.close()

    def _schedule_stream(self, request_id: str) -> None:
        self._request_id = request_id
        self._frame = engine_api.token_frame(request_id, "token ")
        self._tokens_left = _TOKENS
        self._due_s = self._loop.time() + _FIRST_TOKEN_S
        self._loop.call_at(self._due_s, self._send_first)

    def _send_first(self) -> None:
        head = (
            "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n"
            f"x-request-id: {self._request_id}\r\n"
            "x-model-version: drafter@v1\r\n\r\n"
        )
        self._transport.write(head.encode())
        self._send_next()

    def _send_next(self) -> None:
        if self._transport.is_closing():
            return
        if not self._tokens_left:
            end = engine_api.totals_frame(self._request_id, _TOKENS, 0.5)
            self._transport.write(end + engine_api.END_FRAME)
            self._transport.close()
            return
        self._tokens_left -= 1
        self._transport.write(self._frame)
        self._due_s += _TOKEN_GAP_S
        self._loop.call_at(self._due_s, self._send_next)


class _Caller(asyncio.Protocol):
    """A caller that records when each token arrived."""

    def __init__(self, request: bytes):
        self._request = request
        self.sent_s = 0.0
        self.token_times_s: list[float] = []
        self.is_whole = False
        self.ended_future = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Sends the request."""
        self._transport = transport
        self.sent_s = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Records the tokens in `data`; each was written in one piece."""
        count = data.count(b'"content"')
        if count:
            self.token_times_s += [time.monotonic()] * count
        if engine_api.END_MARKER in data:
            self.is_whole = True
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the stream as ended."""
        del exc
        if not self.ended_future.done():
            self.ended_future.set_result(None)


class _Route(NamedTuple):
    """How callers reach the engines: directly, by a node or by a relay.

    Attributes:
        addresses: Addresses that callers connect to in turn.
        path: Path of the call.
        body: Body of the call without the request id.
    """

    addresses: list[str]
    path: str
    body: dict[str, Any]


def _request(route: _Route, request_id: str) -> bytes:
    body = json.dumps(route.body | {"request_id": request_id}).encode()
    return (
        f"POST {route.path} HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {_KEY}\r\nx-request-id: {request_id}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body


async def _measure_streams(route: _Route, name: str) -> dict[str, float]:
    """Opens all streams; returns the figures of the time when all are open."""
    loop = asyncio.get_running_loop()
    callers: dict[str, _Caller] = {}
    for index in range(_STREAMS):
        request_id = f"{name}-{index}"
        host, _, port = route.addresses[
            index % len(route.addresses)
        ].rpartition(":")
        caller = _Caller(_request(route, request_id))
        callers[request_id] = caller
        await loop.create_connection(lambda c=caller: c, host, int(port))  # type: ignore[misc]
        await asyncio.sleep(_OPENING_S / _STREAMS)
    begin_s, begin_cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(_STEADY_S)
    end_s, end_cpu_s = time.monotonic(), time.process_time()
    ended = [caller.ended_future for caller in callers.values()]
    await asyncio.wait(ended, timeout=_OPENING_S + 4.0)
    figures = _figures(callers, begin_s, end_s)
    figures["cores"] = (end_cpu_s - begin_cpu_s) / (end_s - begin_s)
    return figures


def _figures(
    callers: dict[str, _Caller], begin_s: float, end_s: float
) -> dict[str, float]:
    gaps_s = []
    added_s = []
    tokens = 0
    for caller in callers.values():
        times_s = caller.token_times_s
        steady_times_s = [at for at in times_s if begin_s <= at < end_s]
        tokens += len(steady_times_s)
        gaps_s += [b - a for a, b in itertools.pairwise(steady_times_s)]
        if times_s:
            added_s.append(times_s[0] - caller.sent_s - _FIRST_TOKEN_S)
    return {
        "tokens_per_s": tokens / (end_s - begin_s),
        "token_gap_p95_s": _p95(gaps_s),
        "added_first_token_p95_s": _p95(added_s),
        "streams_whole": sum(caller.is_whole for caller in callers.values()),
    }


def _p95(values: list[float]) -> float:
    return sorted(values)[int(0.95 * len(values))] if values else float("inf")


class _Relay:
    """The baseline: a thread for each stream copies it to the caller."""

    def __init__(self, engines: list[str]):
        self._engines = engines
        self._pool = urllib3.PoolManager(num_pools=_ENGINES, maxsize=_STREAMS)
        self._server = wsgi.Server(
            ("127.0.0.1", 0), self._relay, numthreads=_STREAMS + 10
        )
        self._server.request_queue_size = _STREAMS

    def start(self) -> str:
        """Starts the server; returns its address."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    def _relay(self, environ: Any, start_response: Any) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        engine = self._engines[hash(body) % len(self._engines)]
        response = self._pool.request(
            "POST",
            f"http://{engine}/v1/generate",
            body=body,
            preload_content=False,
        )
        start_response("200 OK", [("content-type", "text/event-stream")])
        while data := response.read1():
            yield data


async def _serve_engines() -> list[asyncio.Server]:
    loop = asyncio.get_running_loop()
    return [
        await loop.create_server(_Engine, "127.0.0.1", 0)
        for _ in range(_ENGINES)
    ]


def _addresses(servers: list[asyncio.Server]) -> list[str]:
    bound = [server.sockets[0].getsockname() for server in servers]
    return [f"{host}:{port}" for host, port in bound]


async def _measure_node(seed: int, engines: list[str]) -> dict[str, float]:
    async with harness.Fleet(seed) as fleet:
        for index, address in enumerate(engines):
            fleet.hosts.put(
                {
                    "host_id": f"e{index}",
                    "role": "engine",
                    "pool": "drafter",
                    "address": address,
                    "zone": "z1",
                    "is_leaving": False,
                    "honours_fencing": True,
                }
            )
        node = await fleet.add_node("n1", "z1")
        await fleet.wait_applied(await fleet.publish(*_RECORDS))
        while len(node.state.upstreams.by_id) < _ENGINES or not all(
            upstream.report for upstream in node.state.upstreams.by_id.values()
        ):
            await asyncio.sleep(0.02)
        body = {
            "model": "drafter",
            "messages": [{"role": "user", "content": "summarise"}],
            "max_tokens": _TOKENS,
            "stream": True,
        }
        route = _Route([node.address], _CHAT_PATH, body)
        return await _measure_streams(route, "node")


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on the streams of a node and of the relay."""
    del scale
    servers = await _serve_engines()
    engines = _addresses(servers)
    direct = await _measure_streams(
        _Route(engines, "/v1/generate", {}), "direct"
    )
    figures = await _measure_node(seed, engines)
    figures["node_cores"] = figures["cores"] - direct["cores"]
    figures["direct_token_gap_p95_s"] = direct["token_gap_p95_s"]
    relay = _Relay(engines)
    address = await asyncio.to_thread(relay.start)
    baseline = await _measure_streams(
        _Route([address], "/v1/generate", {}), "naive"
    )
    relay_stopped = asyncio.to_thread(relay.stop)
    for server in servers:
        server.close()
    await relay_stopped
    return report.Findings(figures, "thread per stream", baseline)
