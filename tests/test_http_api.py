"""Tests of the HTTP API: malformed requests, disconnects and shutdown."""

import asyncio
import json
import time
from typing import Any
from unittest import mock

from cheroot import connections
import pytest

from lycheegw.measure import harness
from lycheegw.standins import engine
from lycheegw.state import requests
from tests import test_path

HEAD = (
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
    "authorization: Bearer desk-key\r\n"
)


async def _send_raw(
    node_address: str, sent: bytes, is_half_closed: bool = False
) -> bytes:
    """Sends raw bytes; returns all bytes received until the connection ends."""
    host, _, port = node_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    if is_half_closed:
        writer.write_eof()
    async with asyncio.timeout(10):
        received = await reader.read()
    writer.close()
    return received


def test_malformed_request_gets_json_error_and_node_keeps_serving() -> None:
    async def main() -> None:
        async with test_path.small_fleet(body_bytes=2048) as fleet:
            node = fleet.nodes["n1"]
            too_large = HEAD + "content-length: 9999\r\n\r\n" + "x" * 9999
            truncated = HEAD + "content-length: 50\r\n\r\n{}"
            invalid_length = HEAD + "content-length: many\r\n\r\n{}"
            long_header = HEAD + "x-long: " + "y" * 70_000 + "\r\n\r\n"
            invalid_json = (
                HEAD + "connection: close\r\ncontent-length: 2\r\n\r\n{["
            )
            for sent, status in [
                (too_large, 413),
                (truncated, 400),
                (invalid_length, 400),
                (long_header, 413),
                (invalid_json, 400),
                ("nonsense\r\n\r\n", 400),
            ]:
                received = await _send_raw(node.address, sent.encode(), True)
                head, _, body = received.partition(b"\r\n\r\n")
                assert head.split()[1] == str(status).encode(), received
                assert json.loads(body)["error"]["run"] == "not_run"
            reply = await fleet.call(
                node, test_path.CHAT, test_path.BODY, test_path.KEY
            )
            assert reply.status == 200

    asyncio.run(main())


def test_connection_is_reused_for_several_requests() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            body = json.dumps(test_path.BODY | {"stream": True})
            request = f"{HEAD}content-length: {len(body)}\r\n\r\n{body}"
            closing_request = request.replace(
                "host: x", "host: x\r\nconnection: close"
            )
            sent = (request + request + closing_request).encode()
            received = await _send_raw(fleet.nodes["n1"].address, sent)
            assert received.count(b"HTTP/1.1 200 OK") == 3
            assert received.count(b"data: [DONE]") == 3

    asyncio.run(main())


def test_client_disconnect_during_stream_cancels_upstream_call() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            for standin in fleet.engines.values():
                standin.set_faults({"token_delay_s": 0.05})
            body = json.dumps(
                test_path.BODY | {"stream": True, "max_tokens": 400}
            )
            host, _, port = fleet.nodes["n1"].address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{HEAD}content-length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())
            await reader.readuntil(b"data: ")
            writer.close()
            async with asyncio.timeout(5):
                while not _cancelled_count(fleet):
                    await asyncio.sleep(0.02)
            counters = fleet.nodes["n1"].state.counters.by_name
            assert counters["refusal.caller_gone"] == 1

    asyncio.run(main())


def _cancelled_count(fleet: harness.Fleet) -> int:
    return sum(standin.cancelled for standin in fleet.engines.values())


def test_shutdown_completes_streams_and_refuses_new_requests() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            body = test_path.BODY | {"stream": True, "max_tokens": 200}
            running = asyncio.create_task(
                fleet.call(node, test_path.CHAT, body, test_path.KEY)
            )
            while not node.api.running:
                await asyncio.sleep(0.01)
            stopping = asyncio.create_task(node.drain())
            await asyncio.sleep(0.05)
            late = await fleet.call(
                node, test_path.CHAT, test_path.BODY, test_path.KEY
            )
            assert late.refusal_reason == "shutting_down"
            assert late.json()["error"]["run"] == "not_run"
            reply = await running
            await stopping
            assert reply.body.endswith(b"data: [DONE]\n\n")
            assert engine.GOOD_MARK.encode() in reply.body

    asyncio.run(main())


def test_requests_just_accepted_are_answered_by_a_node_that_stops() -> None:
    """Planned stop under load: the thread that accepts lags behind.

    KNOWN-RED of make demo: "1 request cut by a graceful shutdown".
    """

    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            body = json.dumps(test_path.BODY).encode()
            head = f"content-length: {len(body)}\r\n\r\n"
            sent = (HEAD + "connection: close\r\n" + head).encode() + body
            manager = connections.ConnectionManager
            accept = manager._from_server_socket

            def accept_late(*args: Any) -> Any:
                time.sleep(0.1)
                return accept(*args)

            with mock.patch.object(manager, "_from_server_socket", accept_late):
                replies = [
                    asyncio.ensure_future(_send_raw(node.address, sent))
                    for _ in range(12)
                ]
                await asyncio.sleep(0.05)
                await node.stop()
                received = await asyncio.gather(*replies)
            statuses = {each.split(b" ", 2)[1] for each in received}
            assert statuses <= {b"200", b"503"}

    asyncio.run(main())


def test_client_that_sends_nothing_does_not_delay_a_stop() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            host, _, port = node.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(0.1)
            begun_s = time.monotonic()
            await node.drain()
            assert time.monotonic() - begun_s < 1.0
            writer.close()

    asyncio.run(main())


# LOST, issue 45: a request whose body was arriving was cut without an answer.
@pytest.mark.parametrize("seconds", [0.6, 2.5])
def test_request_that_arrives_slowly_is_answered_by_a_node_that_stops(
    seconds: float,
) -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]
            body = json.dumps(test_path.BODY).encode()
            host, _, port = node.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{HEAD}content-length: {len(body)}\r\n\r\n".encode() + body[:9]
            )
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(node.stop())
            await asyncio.sleep(seconds)
            writer.write(body[9:])
            received = await reader.readline()
            await stopping
            assert received.split(b" ", 2)[1] in {b"200", b"503"}

    asyncio.run(main())


# Issue 55: a call that ended by an unexpected exception got no answer at all.
@pytest.mark.parametrize("is_started", [False, True])
def test_unexpected_exception_is_answered_as_may_have_run(
    is_started: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            node = fleet.nodes["n1"]

            async def fail(
                request: Any, work: Any, claim: Any, sink: Any
            ) -> Any:
                if is_started:
                    await sink.start(
                        requests.AnswerMetadata("m", "v", None, False, 1)
                    )
                raise ValueError("unexpected")

            monkeypatch.setattr(node.api._dispatch, "run_model", fail)
            body = test_path.BODY | {"stream": True}
            reply = await fleet.call(node, test_path.CHAT, body, test_path.KEY)
            error = json.loads(reply.body.split(b"data: ")[-1])["error"]
            assert error["reason"] == "internal"
            assert error["run"] == "may_have_run"
            assert reply.status == (200 if is_started else 500)

    asyncio.run(main())
