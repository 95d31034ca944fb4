"""A status that promises that a request has not run is true."""

import asyncio
import re
import time

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

PROMISES = {408, 421, 429, 503}
ID = "X-Lycheegw-Attempt-Id"


async def send(
    fleet: fleet_harness.Fleet, attempt_id: str, path: str = "/book/1"
) -> platform_standins.Reply:
    """Sends a request, an unsafe one by default; returns its response."""
    reply = await platform_standins.send_request(
        fleet.nodes[0].settings.listen, path, "POST", b"crew", {ID: attempt_id}
    )
    assert reply is not None
    return reply


# Guards against a refusal of an unsafe request that ran: a second response to
# the request before it, without an id, was taken for its rejection.
@pytest.mark.parametrize(
    "rejection",
    [
        b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_rejection_of_an_earlier_request_does_not_refuse_the_next(
    rejection: bytes,
) -> None:
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        ran.append(request.header_by_name[ID.lower()])
        if request.number_on_connection:
            writer.write(rejection)
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(raw_upstreams.response(request))

    async with fleet_harness.fleet() as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            assert (await send(fleet, "first")).status == 200
            reply = await send(fleet, "second")
            assert ran.count("second") == 1
            assert reply.status not in PROMISES
            name = "upstreams.unattributed"
            assert fleet.nodes[0].state.counters.by_name[name] == 1


# Guards against a refusal of an unsafe request that ran: its rejection named no
# request, and the answer followed.
@pytest.mark.parametrize("is_answered", [False, True])
async def test_rejection_without_an_id_is_not_believed(
    is_answered: bool,
) -> None:
    reached: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        reached.append(request.header_by_name[ID.lower()])
        writer.write(
            b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        if is_answered:
            await asyncio.sleep(0.05)
            writer.write(raw_upstreams.response(request))
        else:
            writer.close()

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.raw_upstream(fleet, "d1", "desk", respond),
    ):
        for number in range(4):
            attempt_id = f"b{number}"
            reply = await send(fleet, attempt_id)
            ran = [
                each.header_by_name[ID.lower()]
                for each in fleet.seen
                if each.upstream == "d2"
            ]
            assert reached.count(attempt_id) + ran.count(attempt_id) == 1
            assert reply.status == (502 if attempt_id in reached else 200)
            # Safe requests go on at the other upstream.
            assert (await send(fleet, f"s{number}", "/look/1")).status == 200
        assert reached


# Guards against a promise that an upstream makes in a response to a request
# that it ran: clients send the request again.
@pytest.mark.parametrize("status", sorted(PROMISES - {421}))
@pytest.mark.parametrize("path", ["/book/1", "/look/1"])
async def test_promise_of_an_upstream_that_ran_the_request_is_not_passed_on(
    status: int, path: str
) -> None:
    async with fleet_harness.fleet() as fleet:
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].status = status
        reply = await send(fleet, "a", path)
        assert fleet.seen
        assert reply.status == 502
        assert "x-lycheegw-response-signature" not in reply.header_by_name


# Guards against a refusal of an unsafe request that ran: the upstream wrote its
# rejection of the first attempt once more, before it ran the second one.
@pytest.mark.parametrize("path", ["/book/1", "/look/1"])
@pytest.mark.parametrize("status", [503, 429, 421])
async def test_repeated_rejection_does_not_refuse_the_next_attempt(
    status: int, path: str
) -> None:
    ran: list[str] = []
    rejected: set[str] = set()

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name[ID.lower()]
        rejection = (
            f"HTTP/1.1 {status} Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
            f"{ID}: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
        )
        if attempt_id not in rejected:
            rejected.add(attempt_id)
            writer.write(rejection.encode())
            return
        if request.number_on_connection:
            writer.write(rejection.encode())
            await writer.drain()
        ran.append(attempt_id)
        await asyncio.sleep(0.05)
        writer.write(raw_upstreams.response(request))

    async with fleet_harness.fleet() as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            for number in range(5):
                reply = await send(fleet, f"r{number}", path)
                assert ran.count(f"r{number}") == 1
                assert reply.status == 200
                assert reply.is_whole


async def test_next_attempt_at_an_upstream_keeps_to_the_connection_limit() -> (
    None
):
    """It is made on a new connection, in the place of an idle one."""
    open_connections: set[asyncio.StreamWriter] = set()
    rejected: set[str] = set()

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        open_connections.add(writer)
        for each in list(open_connections):
            if each.is_closing():
                open_connections.discard(each)
        attempt_id = request.header_by_name[ID.lower()]
        await asyncio.sleep(0.05)
        if attempt_id.startswith("r") and attempt_id not in rejected:
            rejected.add(attempt_id)
            writer.write(
                f"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
                f"{ID}: {attempt_id}\r\nKeep-Alive: timeout=5\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        assert len(open_connections) <= 2
        writer.write(raw_upstreams.response(request))

    manifest = platform_standins.manifest()
    manifest["services"][0]["max_connections"] = 3
    async with fleet_harness.fleet(manifest=manifest) as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            pool = fleet.nodes[0].upstream_pool
            await asyncio.gather(send(fleet, "a"), send(fleet, "b"))
            opened = pool.opened_count
            for number in range(5):
                assert (await send(fleet, f"r{number}")).status == 200
            assert pool.opened_count - opened == 5


def _reject(request: raw_upstreams.RawRequest) -> bytes:
    attempt_id = request.header_by_name[ID.lower()]
    return (
        "HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
        f"{ID}: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


# Guards against a caller that waits for its deadline after a rejection with an
# empty id.
async def test_rejection_with_an_empty_id_does_not_wait() -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b"HTTP/1.1 503 Busy\r\nX-Lycheegw-Not-Executed: 1\r\n"
            b"X-Lycheegw-Attempt-Id:\r\nContent-Length: 0\r\n\r\n"
        )

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        started_s = time.monotonic()
        await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"q"
        )
        taken_s = time.monotonic() - started_s
        assert taken_s < 0.5


# Guards against a run of a request that the ingress has refused, whatever
# follows on its connection.
async def test_ingress_statuses_are_true() -> None:
    async with fleet_harness.fleet() as fleet:
        host, _, port = fleet.nodes[0].settings.listen.rpartition(":")

        def head(number: str, length: int, more: str = "") -> bytes:
            return (
                "POST /book/1 HTTP/1.1\r\n"
                f"Host: {platform_standins.HOST}\r\n{ID}: {number}\r\n"
                "X-Lycheegw-Deadline-Ms: 3000\r\n"
                f"Api-Key: {platform_standins.API_KEY}\r\n{more}"
                f"Content-Length: {length}\r\n\r\n"
            ).encode()

        async def play(*parts: bytes | float) -> bytes:
            reader, writer = await asyncio.open_connection(host, int(port))
            for part in parts:
                if isinstance(part, float):
                    await asyncio.sleep(part)
                else:
                    writer.write(part)
            data = b""
            try:
                async with asyncio.timeout(1.2):
                    while more := await reader.read(65536):
                        data += more
            except (TimeoutError, ConnectionError):
                pass
            writer.close()
            return data

        cases = {
            "head too slow, rest": (
                head("a", 1)[:60],
                0.7,
                head("a", 1)[60:] + b"x",
            ),
            "pipelined slow head": (
                head("b0", 1) + b"x" + head("b1", 1)[:60],
                0.8,
                head("b1", 1)[60:] + b"x",
            ),
            "pipelined garbage": (
                head("c0", 1) + b"x" + b"\x00garbage\r\n\r\n",
            ),
            "pipelined 413": (
                head("d0", 1) + b"x" + head("d1", 200000) + b"x" * 200000,
            ),
            "pipelined 431": (
                head("e0", 1)
                + b"x"
                + head("e1", 1, "X: " + "y" * 20000 + "\r\n")
                + b"x",
            ),
            "three at once": (
                b"".join(head(f"f{n}", 1) + b"x" for n in range(3)),
            ),
            "at the timeout": (
                head("g", 1)[:60],
                0.4995,
                head("g", 1)[60:] + b"x",
            ),
        }
        for name, parts in cases.items():
            data = await play(*parts)
            statuses = [
                each.decode() for each in re.findall(rb"HTTP/1.1 (\d+)", data)
            ]
            ran = [each.header_by_name[ID.lower()] for each in fleet.seen]
            assert statuses.count("200") == len(ran), name
            fleet.seen.clear()


# Guards against a rejection that isn't believed because of bytes after it that
# belong to no request.
async def test_rejection_before_stray_bytes_is_retried() -> None:
    seen: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(request.header_by_name[ID.lower()])
        if len(seen) == 1:
            writer.write(_reject(request) + b"\x00\x01stray")
        else:
            writer.write(raw_upstreams.response(request))

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        for _ in range(40):
            budgets = fleet.nodes[0].forwarder._dependencies.budgets
            budgets.note_request("desk")
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"q"
        )
        assert reply.status == 200
