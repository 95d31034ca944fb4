"""Upstreams whose tests write the bytes of each response."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple

from tests.platform import fleet_harness


class RawRequest(NamedTuple):
    """A request as it was read, and how many came before it."""

    header_by_name: dict[str, str]
    number_on_connection: int


Respond = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


def response(
    request: RawRequest, status: int = 200, body: bytes = b"ok"
) -> bytes:
    """Returns a complete, signed response that echoes the request's id."""
    attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
    head = (
        f"HTTP/1.1 {status} Status\r\n"
        f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
        "X-Lycheegw-Response-Signature: sig\r\n"
        "Keep-Alive: timeout=5\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@contextlib.asynccontextmanager
async def raw_upstream(
    fleet: fleet_harness.Fleet,
    name: str,
    service: str,
    respond: Respond,
    reads_bodies: bool = True,
) -> AsyncIterator[None]:
    """Runs an upstream that takes the place of the one with that name.

    Args:
        fleet: Fleet whose nodes use it.
        name: Id of an upstream of the fleet, which gets no more requests.
        service: Service of the upstream.
        respond: Called with each request to write the response.
        reads_bodies: Whether bodies are read before the response is written.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        number = 0
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.strip().split("\r\n")[1:]
                fields = {
                    key.lower(): value.strip()
                    for key, _, value in (line.partition(":") for line in lines)
                }
                length = int(fields.get("content-length", "0"))
                if reads_bodies:
                    await reader.readexactly(length)
                await respond(RawRequest(fields, number), writer)
                await writer.drain()
                number += 1
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    address = f"{host}:{port}"
    entry = fleet.upstream_by_name[name].entry(
        service, address=address, born=2000, sequence=2
    )
    await fleet.store.put("keyed.servers", name, entry)
    await fleet_harness.wait_until(
        lambda: all(
            node.state.upstreams.by_id[name].entry.address == address
            for node in fleet.nodes
        )
    )
    try:
        yield
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def all_raw_upstreams(
    fleet: fleet_harness.Fleet, respond: Respond, reads_bodies: bool = True
) -> AsyncIterator[None]:
    """Runs upstreams that take the places of all those of a fleet.

    Args:
        fleet: Fleet whose nodes use them.
        respond: Called with each request to write the response; status checks
            are answered without it.
        reads_bodies: Whether bodies are read before the response is written.
    """

    async def respond_to_attempt(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if "x-lycheegw-attempt-id" in request.header_by_name:
            await respond(request, writer)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with contextlib.AsyncExitStack() as stack:
        for name, service in (
            ("m1", "llm"),
            ("m2", "llm"),
            ("d1", "desk"),
            ("d2", "desk"),
        ):
            await stack.enter_async_context(
                raw_upstream(
                    fleet, name, service, respond_to_attempt, reads_bodies
                )
            )
        yield


async def write_until_closed(writer: asyncio.StreamWriter, data: bytes) -> int:
    """Writes the same bytes until the peer closes; returns how many."""
    count = 0
    while not writer.is_closing():
        writer.write(data)
        count += len(data)
        try:
            await writer.drain()
        except ConnectionError:
            break
        await asyncio.sleep(0)
    return count
