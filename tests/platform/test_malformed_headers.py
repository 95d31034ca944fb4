"""Numbers in headers and events that can't be used harm no request."""

import asyncio
import contextlib

import pytest

from lycheegw.platform import headers
from lycheegw.transport import connection_pool
from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
# A superscript two in Latin-1, for which str.isdigit() holds.
_MALFORMED_DIGIT = "\u00b2"
_MALFORMED_NUMBERS = [
    _MALFORMED_DIGIT,
    "9" * 400,
    "9" * 5000,
    "nan",
    "inf",
    "1e400",
    "-1",
]


# Guards against requests that end without an answer, and upstreams that are
# never used again, because of a number in one header of a response.
@pytest.mark.parametrize("number", _MALFORMED_NUMBERS)
@pytest.mark.parametrize(
    "header",
    [
        "X-Lycheegw-Instance-Load: {},0,8",
        "X-Lycheegw-Instance-Load: 1,{},8",
        "X-Lycheegw-Instance-Load: 1,0,8,{}",
        "X-Lycheegw-Cold-Ms: {}",
        "X-Lycheegw-Confidence: {}",
        "Keep-Alive: timeout={}",
    ],
)
def test_malformed_number_in_a_response_is_ignored(
    header: str, number: str
) -> None:
    name, _, value = header.format(number).encode("latin-1").partition(b": ")
    fields = ((name.lower(), value),)
    head = headers.decode_response_head(
        connection_pool.RawResponseHead(200, fields, fields)
    )
    assert (head.running, head.waiting, head.slots) == (None, None, None)
    assert head.cold_s is None
    assert head.keep_alive_s is None
    if number != "-1":
        assert head.confidence is None
    if name != b"Keep-Alive" and not (
        name.endswith(b"ence") and number == "-1"
    ):
        assert head.malformed_headers == (name.lower().decode(),)


async def test_upstream_with_malformed_numbers_is_used_like_others() -> None:
    counts: list[int] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        odd = _MALFORMED_NUMBERS[len(counts) % len(_MALFORMED_NUMBERS)]
        counts.append(request.number_on_connection)
        whole = raw_upstreams.response(request)
        first, _, rest = whole.partition(b"\r\n")
        malformed_head = (
            f"X-Lycheegw-Instance-Load: {odd},{odd},8\r\n"
            f"X-Lycheegw-Cold-Ms: {odd}\r\nX-Lycheegw-Confidence: {odd}\r\n"
        )
        writer.write(first + b"\r\n" + malformed_head.encode("latin-1") + rest)

    async with fleet_harness.fleet() as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            for number in range(3 * len(_MALFORMED_NUMBERS)):
                reply = await platform_standins.send_request(
                    fleet.nodes[0].settings.listen, f"/book/{number}", "POST"
                )
                assert reply is not None and reply.status == 200
            assert len(counts) == 3 * len(_MALFORMED_NUMBERS)


# Guards against broken streams because of an event's id.
@pytest.mark.parametrize("event_id", [_MALFORMED_DIGIT, "9" * 5000, "x"])
async def test_stream_with_malformed_event_ids_is_whole(event_id: str) -> None:
    body = b"".join(
        f"id: {each}\ndata: text\n\n".encode("latin-1")
        for each in (event_id, f"{event_id}7")
    )

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if "x-lycheegw-attempt-id" not in request.header_by_name:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        writer.write(raw_upstreams.response(request, body=body))

    async with (
        fleet_harness.fleet() as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        for name in ("m1", "m2"):
            await stack.enter_async_context(
                raw_upstreams.raw_upstream(fleet, name, "llm", respond)
            )
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/ask/1", "POST", b"q", _PROMPT
        )
        assert reply is not None and reply.is_whole
        assert reply.body == body


# Guards against requests that end without an answer, and gossip that ends,
# because of a number in the headers of a client.
@pytest.mark.parametrize("number", [*_MALFORMED_NUMBERS, "9" * 12, "9" * 18])
async def test_malformed_number_of_a_client_harms_no_other_request(
    number: str, caplog: pytest.LogCaptureFixture
) -> None:
    odd = {
        "X-Lycheegw-Model": "*",
        "X-Lycheegw-Token-Usage": f"{number},{number}",
        "X-Lycheegw-Prompt-Prefix": f"aa:{number},bb:200",
    }
    async with fleet_harness.fleet(nodes=2) as fleet:
        front, other = (node.settings.listen for node in fleet.nodes)
        for _ in range(4):
            # Nodes estimate times from earlier requests.
            await platform_standins.send_request(
                front,
                "/ask/1",
                "POST",
                b"q",
                {**_PROMPT, "X-Lycheegw-Model": "*"},
            )
        # Until both nodes keep the same one of the links that they opened.
        await asyncio.sleep(2.0)
        links = [node.peers.links() for node in fleet.nodes]
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].delay_s = 1.5
        malformed_request = asyncio.create_task(
            platform_standins.send_request(front, "/ask/1", "POST", b"q", odd)
        )
        await asyncio.sleep(0.3)
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].delay_s = 0.0
        for address in (front, other):
            reply = await platform_standins.send_request(
                address, "/ask/1", "POST", b"q", _PROMPT
            )
            assert reply is not None and reply.status == 200
        reply = await malformed_request
        assert reply is not None and reply.status in {200, 503}
        await asyncio.sleep(1.0)
        assert [node.peers.links() for node in fleet.nodes] == links
        for node in fleet.nodes:
            assert "peers.bad_delta" not in node.state.counters.by_name
    assert not [each for each in caplog.records if each.exc_info]
