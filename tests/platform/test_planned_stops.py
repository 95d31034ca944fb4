"""A planned stop ends no request without an answer, on whatever way it came."""

import asyncio
import contextlib
import socket
from typing import Any

import pytest

from lycheegw import edge_app
from tests.platform import fleet_harness
from tests.platform import platform_standins

# Of the bounds that the tests set, the grace time of a stop.
GRACE_S = 4.0


def _set_grace(node: edge_app.EdgeNode) -> None:
    levels = node.settings.service_levels._replace(grace_s=GRACE_S)
    node.settings = node.settings._replace(service_levels=levels)


def _manifest(timeout_ms: int) -> dict[str, Any]:
    """Returns a manifest whose routes all have a time limit."""
    manifest = platform_standins.manifest()
    for route in manifest["routes"]:
        route["timeout_ms"] = timeout_ms
    return manifest


async def _stop(node: edge_app.EdgeNode) -> None:
    await node.drain()
    await node.application.stop()


async def _send_slowly(
    address: str, attempt_id: str, begin_s: float, seconds: float
) -> int | None:
    """Sends a request whose body takes some seconds.

    Returns:
        The status, None if the connection ended without a response.
    """
    await asyncio.sleep(begin_s)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        "POST /book/1 HTTP/1.1\r\n"
        f"Host: {platform_standins.HOST}\r\n"
        f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
        "X-Lycheegw-Deadline-Ms: 15000\r\n"
        f"Api-Key: {platform_standins.API_KEY}\r\n"
        "Content-Length: 20\r\n\r\n"
    )
    status = None
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        writer.write(head.encode())

        async def send_body() -> None:
            for _ in range(20):
                await asyncio.sleep(seconds / 20)
                writer.write(b"x")

        sending = asyncio.create_task(send_body())
        line = await reader.readuntil(b"\r\n")
        status = int(line.split()[1])
        sending.cancel()
    writer.close()
    return status


# LOST, issue 45: a request whose body was arriving when no other one ran was
# cut without an answer.
@pytest.mark.parametrize(
    ("begin_s", "seconds"), [(-0.5, 3.2), (0.5, 2.2), (1.0, 1.5), (1.0, 4.0)]
)
async def test_request_that_arrives_slowly_in_a_stop_is_answered(
    begin_s: float, seconds: float
) -> None:
    async with fleet_harness.fleet(manifest=_manifest(4_000)) as fleet:
        node = fleet.nodes[0]
        _set_grace(node)
        sending = asyncio.create_task(
            _send_slowly(
                node.settings.listen, "slow-1", max(0.0, begin_s), seconds
            )
        )
        await asyncio.sleep(max(0.0, -begin_s))
        await _stop(node)
        status = await sending
        has_run = any(
            each.header_by_name["x-lycheegw-attempt-id"] == "slow-1"
            for each in fleet.seen
        )
        assert status == (200 if has_run else 503)


# LOST, issue 45: at the end of the grace time requests were cut without an
# answer.
@pytest.mark.parametrize("begin_s", [-0.5, 0.5])
@pytest.mark.parametrize(
    ("path", "method"), [("/book/1", "POST"), ("/look/1", "GET")]
)
async def test_request_that_outlasts_a_stop_is_answered(
    path: str, method: str, begin_s: float
) -> None:
    async with fleet_harness.fleet(manifest=_manifest(20_000)) as fleet:
        node = fleet.nodes[0]
        _set_grace(node)
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 10.0

        async def send() -> platform_standins.Reply | None:
            await asyncio.sleep(max(0.0, begin_s))
            return await platform_standins.send_request(
                node.settings.listen,
                path,
                method,
                headers={"X-Lycheegw-Deadline-Ms": "15000"},
            )

        sending = asyncio.create_task(send())
        await asyncio.sleep(max(0.0, -begin_s))
        async with asyncio.timeout(GRACE_S):
            await _stop(node)
            reply = await sending
        assert reply is not None and reply.is_whole
        # It may have run.
        assert fleet.seen and reply.status in {502, 504}


# LOST, issue 45: a node that stopped cut the requests that it served for peers.
async def test_relayed_request_is_answered_by_a_node_that_stops() -> None:
    manifest = _manifest(20_000)
    async with fleet_harness.fleet(nodes=2, manifest=manifest) as fleet:
        first, second = fleet.nodes
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        first.reach.is_cut_off = True
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = 2.7
        sending = asyncio.create_task(
            platform_standins.send_request(
                first.settings.listen,
                "/book/1",
                "POST",
                b"once",
                {"X-Lycheegw-Deadline-Ms": "15000"},
            )
        )
        await fleet_harness.wait_until(lambda: len(fleet.seen) == 1)
        _set_grace(second)
        await second.drain()
        await asyncio.sleep(0.1)
        # A process that has ended answers nothing.
        assert sending.done()
        reply = await sending
        assert reply is not None and reply.status == 200


async def _write_then_read(address: str, seconds: float) -> int | None:
    """Writes a whole request over some seconds before it reads anything.

    Returns:
        The status, None if the connection was reset before.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with socket.create_connection((host, int(port))) as client:
        client.setblocking(False)
        head = (
            "POST /book/1 HTTP/1.1\r\n"
            f"Host: {platform_standins.HOST}\r\n"
            "X-Lycheegw-Attempt-Id: late-1\r\n"
            "X-Lycheegw-Deadline-Ms: 15000\r\n"
            f"Api-Key: {platform_standins.API_KEY}\r\n"
            "Content-Length: 20\r\n\r\n"
        )
        try:
            await loop.sock_sendall(client, head.encode())
            for _ in range(20):
                await asyncio.sleep(seconds / 20)
                await loop.sock_sendall(client, b"x")
            line = await loop.sock_recv(client, 4096)
        except ConnectionError:
            return None
        return int(line.split()[1]) if line else None


# LOST, issue 45: the end of the process reset connections on which clients were
# still writing refused requests, before these had read the refusal.
async def test_client_that_writes_on_sees_the_refusal() -> None:
    async with fleet_harness.fleet(manifest=_manifest(20_000)) as fleet:
        node = fleet.nodes[0]
        _set_grace(node)
        # The refusal comes half a second before the grace time ends.
        sending = asyncio.create_task(
            _write_then_read(node.settings.listen, GRACE_S - 0.25)
        )
        await _stop(node)
        assert await sending == 503
        assert not fleet.seen
