"""Responses that come while their request is still being written."""

import asyncio
import socket
import struct

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
_HEADERS_BY_PATH = {"/book/1": {}, "/look/1": {}, "/ask/1": _PROMPT}
# More than the buffers of a connection on both sides hold.
_BODY = b"x" * 3_000_000
_PART = b"id: 1\ndata: part\n\n"


def _reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def _close_unread(writer: asyncio.StreamWriter) -> None:
    # The kernel resets a connection that is closed with unread bytes.
    writer.close()


_END_BY_NAME = {"reset": _reset, "close": _close_unread}


async def _send(address: str, path: str, is_chunked: bool) -> tuple[int, bool]:
    """Uploads the body; returns the status, and whether the response is whole.

    The status is 0 if there was no response.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    framing, body = f"Content-Length: {len(_BODY)}", _BODY
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(_BODY), _BODY)
    fields = {
        "Host": platform_standins.HOST,
        "X-Lycheegw-Attempt-Id": "upload",
        "X-Lycheegw-Deadline-Ms": "9000",
        "Api-Key": platform_standins.API_KEY,
        "Connection": "close",
        **_HEADERS_BY_PATH[path],
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST {path} HTTP/1.1\r\n{head}{framing}\r\n\r\n".encode())
    writer.write(body)
    try:
        reply = await platform_standins.read_reply(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, False
    finally:
        writer.close()
    return reply.status, reply.is_whole


# MIXED, issue 58: part of a body without a length, then the connection is reset
# while the upload is written.
@pytest.mark.parametrize("end", _END_BY_NAME)
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("path", _HEADERS_BY_PATH)
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("is_relayed", [False, True])
async def test_part_of_an_early_response_is_no_whole_one(
    is_relayed: bool, is_chunked: bool, path: str, delay_s: float, end: str
) -> None:
    attempts: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name["x-lycheegw-attempt-id"]
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Lycheegw-Attempt-Id: {attempt_id}\r\n"
            "X-Lycheegw-Response-Signature: sig\r\n\r\n"
        )
        writer.write(head.encode() + _PART)
        attempts.append(attempt_id)
        await asyncio.sleep(delay_s)
        _END_BY_NAME[end](writer)
        await asyncio.sleep(5.0)

    manifest = platform_standins.manifest()
    manifest["limits"]["max_body_bytes"] = len(_BODY)
    for route in manifest["routes"]:
        route["timeout_ms"] = 9000
    async with (
        fleet_harness.fleet(2 if is_relayed else 1, manifest) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond, reads_bodies=False),
    ):
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == len(fleet.nodes)
                for node in fleet.nodes
            )
        )
        fleet.nodes[0].reach.is_cut_off = is_relayed
        status, is_whole = await _send(
            fleet.nodes[0].settings.listen, path, is_chunked
        )
        assert attempts
        assert not (status < 300 and is_whole)


# MIXED, issue 58: a status outside 100 to 599 is no answer, direct or relayed.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("is_relayed", [False, True])
async def test_status_out_of_range_is_no_answer(
    status: str, is_relayed: bool
) -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        whole = raw_upstreams.response(request)
        writer.write(whole.replace(b" 200 ", f" {status} ".encode(), 1))

    async with (
        fleet_harness.fleet(nodes=2) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        fleet.nodes[0].reach.is_cut_off = is_relayed
        for path, headers in _HEADERS_BY_PATH.items():
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen, path, "POST", b"q", headers
            )
            assert reply is not None and reply.status == 502
