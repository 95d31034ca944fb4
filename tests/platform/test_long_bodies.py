"""Long bodies arrive whole or visibly broken, and take bounded memory."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

# Above the length up to which bodies are collected.
LONG_BODY = b"0123456789abcdef" * 200_000
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"

Respond = Callable[
    [raw_upstreams.RawRequest, asyncio.StreamWriter], Awaitable[None]
]


def _head(
    request: raw_upstreams.RawRequest, status: bytes, rest: bytes
) -> bytes:
    attempt_id = request.header_by_name["x-lycheegw-attempt-id"].encode()
    return (
        status
        + b"X-Lycheegw-Response-Signature: s\r\nX-Lycheegw-Attempt-Id: "
        + attempt_id
        + b"\r\n"
        + rest
    )


def _signed(request: raw_upstreams.RawRequest, rest: bytes) -> bytes:
    return _head(request, b"HTTP/1.1 200 OK\r\n", rest)


async def _send(
    fleet: fleet_harness.Fleet, path: str, body: bytes = b""
) -> platform_standins.Reply:
    reply = await platform_standins.send_request(
        fleet.nodes[0].settings.listen,
        path,
        "GET" if path.startswith("/look/") else "POST",
        body,
    )
    assert reply is not None
    return reply


async def _wait_until_released(fleet: fleet_harness.Fleet) -> None:
    """Waits until a node holds nothing any more."""
    budgets = fleet.nodes[0].budgets
    await fleet_harness.wait_until(lambda: budgets.requests.held == 0)


# Guards against long answers that are cut, or that lose their length.
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_long_body_is_forwarded_whole(is_chunked: bool) -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if is_chunked:
            writer.write(_signed(request, CHUNKED))
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(LONG_BODY), LONG_BODY))
        else:
            length = b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
            writer.write(_signed(request, length) + LONG_BODY)

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        reply = await _send(fleet, "/look/1")
        assert (reply.status, reply.is_whole) == (200, True)
        assert reply.body == LONG_BODY
        assert ("content-length" in reply.header_by_name) is not is_chunked
        await _wait_until_released(fleet)


# Guards against a broken answer that looks complete, or is joined with another
# one, once a part of it was forwarded.
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("path", ["/look/1", "/book/1"])
async def test_long_body_that_breaks_off_is_visibly_broken(
    path: str, is_chunked: bool
) -> None:
    requests = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        requests.append(request)
        if is_chunked:
            writer.write(_signed(request, CHUNKED))
            writer.write(b"%x\r\n" % (2 * len(LONG_BODY)))
        else:
            length = b"Content-Length: %d\r\n\r\n" % (2 * len(LONG_BODY))
            writer.write(_signed(request, length))
        writer.write(LONG_BODY)
        await writer.drain()
        writer.transport.abort()

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        reply = await _send(fleet, path)
        assert (reply.status, reply.is_whole) == (200, False)
        assert len(requests) == 1
        await _wait_until_released(fleet)


# Guards against waiting, or reading, for a body that is too long anyway.
async def test_body_of_a_length_that_is_too_long_is_rejected_at_its_head() -> (
    None
):
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_signed(request, b"Content-Length: 99999999999\r\n\r\n"))

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        # Nothing follows the head, so a node that reads on waits for 2 s.
        async with asyncio.timeout(1.0):
            reply = await _send(fleet, "/book/1")
        assert reply.status == 502


# Guards against a promise that nothing ran that rests on a rejection which
# didn't end.
@pytest.mark.parametrize("is_endless", [False, True])
async def test_rejection_without_its_end_promises_nothing(
    is_endless: bool,
) -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(_head(request, REJECTION, CHUNKED) + b"10\r\n0123456789")
        if is_endless:
            writer.write(b"abcdef\r\n")
            await raw_upstreams.write_until_closed(
                writer, b"1000\r\n" + bytes(4096) + b"\r\n"
            )
        await writer.drain()
        writer.transport.abort()

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        reply = await _send(fleet, "/book/1")
        assert reply.status == 502
        await _wait_until_released(fleet)


# Guards against answers that fail since there is no memory to collect them.
async def test_body_is_forwarded_if_there_is_no_memory_to_collect_it() -> None:
    body = LONG_BODY[:200_000]

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        writer.write(_signed(request, length) + body)

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        fleet.nodes[0].budgets.requests.large_limit = 0
        reply = await _send(fleet, "/book/1")
        assert (reply.status, reply.body) == (200, body)
        await _wait_until_released(fleet)


# Guards against callers that wait, or whose request may have run, if there is
# no memory for their bodies.
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_request_is_refused_at_once_if_its_body_cant_be_held(
    is_chunked: bool,
) -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        budget = node.budgets.requests
        budget.large_limit = 0
        host, _, port = node.settings.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        framing = b"Content-Length: 90000\r\n\r\n"
        if is_chunked:
            framing = CHUNKED + b"fa00\r\n" + bytes(64_000)
        writer.write(b"POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n")
        writer.write(framing)
        # Its body goes on, so that only a refusal ends the wait.
        async with asyncio.timeout(1.0):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()
        assert head.startswith("HTTP/1.1 503")
        retry_after = head.lower().partition("retry-after: ")[2].split()[0]
        assert 0 < float(retry_after) <= 1.0
        assert node.state.counters.by_name["refusal.memory_full"] == 1
        await fleet_harness.wait_until(
            lambda: node.state.counters.by_name["memory.refused.requests"] > 0
        )
        assert node._gauges()["memory_limit_bytes_requests"] == budget.limit
        reply = await _send(fleet, "/book/1", b"short")
        assert reply.status == 200
        await _wait_until_released(fleet)


# Guards against a caller's connection that isn't read again after much came
# behind a request, and against bytes that are held for it meanwhile.
async def test_requests_behind_a_slow_one_are_served_with_little_memory() -> (
    None
):
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 0.3
        host, _, port = node.settings.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))

        def request(number: int) -> bytes:
            return (
                f"GET /look/{number} HTTP/1.1\r\n"
                f"Host: {platform_standins.HOST}\r\n"
                f"X-Lycheegw-Attempt-Id: behind-{number}\r\n"
                f"Api-Key: {platform_standins.API_KEY}\r\n"
                f"X-Filler: {'x' * 2000}\r\n\r\n"
            ).encode()

        count = 60
        writer.write(b"".join(request(number) for number in range(count)))
        await asyncio.sleep(0.2)
        assert node.budgets.requests.held < 100_000
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 0.0
        async with asyncio.timeout(8.0):
            for number in range(count):
                reply = await platform_standins.read_reply(reader)
                assert reply.status == 200
                assert f"behind-{number}".encode() in reply.body
        writer.close()
        await _wait_until_released(fleet)


# Guards against memory that is never given back, by any way a request ends.
async def test_all_memory_is_given_back() -> None:
    async with fleet_harness.fleet() as fleet:
        listen = fleet.nodes[0].settings.listen
        fleet.upstream_by_name["d1"].loses_answers = True
        fleet.upstream_by_name["d2"].delay_s = 0.2
        await asyncio.gather(
            *(
                platform_standins.send_request(
                    listen,
                    path,
                    "POST",
                    bytes(50_000),
                    leave_after_s=0.1 * (number % 3) or None,
                )
                for number, path in enumerate(["/look/1", "/book/1"] * 6)
            )
        )
        await _wait_until_released(fleet)


# Guards against long answers by way of a peer that are cut, or that keep other
# relayed requests waiting while a caller doesn't read its own.
async def test_long_bodies_are_relayed_whole_beside_callers_that_wait() -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
        writer.write(_signed(request, length) + LONG_BODY)

    async with (
        fleet_harness.fleet(nodes=2) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        fleet.nodes[0].reach.is_cut_off = True
        host, _, port = fleet.nodes[0].settings.listen.rpartition(":")
        waiting = []
        for number in range(8):
            connection = await asyncio.open_connection(
                host, int(port), limit=1024
            )
            waiting.append(connection)
            connection[1].write(
                (
                    f"GET /look/{number} HTTP/1.1\r\n"
                    f"Host: {platform_standins.HOST}\r\n"
                    f"X-Lycheegw-Attempt-Id: waiting-{number}\r\n"
                    f"Api-Key: {platform_standins.API_KEY}\r\n\r\n"
                ).encode()
            )
        reply = await _send(fleet, "/look/1")
        assert (reply.status, reply.is_whole) == (200, True)
        assert reply.body == LONG_BODY
        assert fleet.nodes[0].state.counters.by_name["relay.answered"] >= 1
        for _, writer in waiting:
            writer.transport.abort()
        for node in fleet.nodes:
            budget = node.budgets.requests
            await fleet_harness.wait_until(lambda held=budget: not held.held)


# Guards against a relayed request that is lost, or may have run, as its peer
# has no memory for it.
async def test_peer_without_memory_declines_a_relayed_request() -> None:
    async with fleet_harness.fleet(nodes=2) as fleet:
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        fleet.nodes[0].reach.is_cut_off = True
        fleet.nodes[1].budgets.requests.large_limit = 0
        reply = await _send(fleet, "/book/1", bytes(60_000))
        # The node that relays it then tries the upstreams itself.
        assert reply.status == 200
        assert fleet.nodes[0].state.counters.by_name["relay.declined"] == 1
