"""No request that an upstream ran is answered as if it had not run."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Any
from typing import NamedTuple

import pytest

from lycheegw import edge_app
from lycheegw.coordination import interfaces
from lycheegw.protocol import relay_codec
from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

PROMISES = {408, 421, 429, 503}
ID = "X-Lycheegw-Attempt-Id"
GRACE_S = 3.0

_MARK = "X-Lycheegw-Not-Executed: 1\r\n"
_OWN_ID = f"{ID}: {{id}}\r\n"
_OTHER_ID = f"{ID}: another\r\n"
_SIGNATURE = "X-Lycheegw-Response-Signature: sig\r\n"
_EMPTY = "Content-Length: 0\r\n\r\n"
_WHOLE_ANSWER = (
    f"HTTP/1.1 200 OK\r\n{_OWN_ID}{_SIGNATURE}Content-Length: 2\r\n\r\nok"
)
PROMPT = {
    "X-Lycheegw-Model": "*",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}


class _Response(NamedTuple):
    """What an upstream writes to a request that it ran.

    Attributes:
        parts: Texts, with the request's id as "{id}", and pauses in seconds.
        is_closed: Whether it closes the connection after them.
    """

    parts: tuple[str | float, ...]
    is_closed: bool = False


def _head(status: int, *lines: str, version: str = "1.1") -> str:
    return f"HTTP/{version} {status} Status\r\n" + "".join(lines)


def _case(
    case_id: str,
    *parts: str | float,
    is_closed: bool = False,
) -> Any:
    return pytest.param(_Response(parts, is_closed), id=case_id)


async def _write(
    writer: asyncio.StreamWriter, response: _Response, attempt_id: str
) -> None:
    for part in response.parts:
        if isinstance(part, float):
            await writer.drain()
            await asyncio.sleep(part)
        else:
            writer.write(part.replace("{id}", attempt_id).encode())
    if response.is_closed:
        await writer.drain()
        writer.close()


async def _book_at_one_upstream(
    response: _Response, count: int = 3
) -> list[tuple[int, int]]:
    """Sends unsafe requests to an upstream that runs each one.

    Returns:
        The status and the number of runs of each.
    """
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name.get(ID.lower())
        if attempt_id is None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        ran.append(attempt_id)
        await _write(writer, response, attempt_id)

    async with fleet_harness.fleet() as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            ended = []
            for number in range(count):
                reply = await platform_standins.send_request(
                    fleet.nodes[0].settings.listen,
                    "/book/1",
                    "POST",
                    b"crew",
                    {ID: f"b{number}", "X-Lycheegw-Deadline-Ms": "1200"},
                )
                assert reply is not None
                ended.append((reply.status, ran.count(f"b{number}")))
            return ended


def _assert_no_promise(ended: list[tuple[int, int]]) -> None:
    assert not [status for status, _ in ended if status in PROMISES]
    assert [runs for _, runs in ended] == [1] * len(ended)


# Guards against a refusal of an unsafe request that ran: the rejection came
# with the signature of an answer.
@pytest.mark.parametrize(
    "response",
    [
        _case(
            f"{status}{'' if mark else ' without the mark'}",
            _head(status, mark, _OWN_ID, _SIGNATURE, _EMPTY),
        )
        for status, mark in (
            (503, _MARK),
            (429, _MARK),
            (421, _MARK),
            (421, ""),
            (400, _MARK),
        )
    ],
)
async def test_signed_rejection_is_no_proof(response: _Response) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a refusal of an unsafe request that ran: the mark that nothing
# ran had a value that denies it, or several values.
@pytest.mark.parametrize(
    "response",
    [
        _case(
            name,
            _head(
                503,
                *(f"X-Lycheegw-Not-Executed: {each}\r\n" for each in values),
                _OWN_ID,
                _EMPTY,
            ),
        )
        for name, values in (
            ("0", ("0",)),
            ("false", ("false",)),
            ("empty", ("",)),
            ("1 then 0", ("1", "0")),
            ("0 then 1", ("0", "1")),
            ("list", ("1, 0",)),
        )
    ],
)
async def test_mark_without_its_value_is_no_proof(response: _Response) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a refusal of an unsafe request that ran: of two ids in one
# response, one was another request's.
@pytest.mark.parametrize(
    "response",
    [
        _case(
            f"{name}, {order}",
            _head(status, *lines, *ids, "Content-Length: 2\r\n\r\nok"),
        )
        for name, status, lines in (
            ("rejection", 503, (_MARK,)),
            ("misdirected", 421, ()),
            ("answer", 200, (_SIGNATURE,)),
        )
        for order, ids in (
            ("own last", (_OTHER_ID, _OWN_ID)),
            ("own first", (_OWN_ID, _OTHER_ID)),
        )
    ],
)
async def test_response_with_two_ids_is_no_proof(response: _Response) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a refusal of an unsafe request that ran: the answer followed a
# rejection on the same connection.
@pytest.mark.parametrize(
    "response",
    [
        _case("later, no id", _head(503, _MARK, _EMPTY), 0.05, _WHOLE_ANSWER),
        _case("at once, no id", _head(503, _MARK, _EMPTY) + _WHOLE_ANSWER),
        _case(
            "at once, own id",
            _head(503, _MARK, _OWN_ID, _EMPTY) + _WHOLE_ANSWER,
        ),
        _case("at once, 421", _head(421, _EMPTY) + _WHOLE_ANSWER),
        _case(
            "at once, closed",
            _head(503, _MARK, _OWN_ID, "Connection: close\r\n", _EMPTY)
            + _WHOLE_ANSWER,
            is_closed=True,
        ),
    ],
)
async def test_rejection_before_an_answer_is_no_proof(
    response: _Response,
) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a refusal of an unsafe request that ran: the mark stood beside
# a status with which upstreams report runs.
@pytest.mark.parametrize(
    "response",
    [
        _case(str(status), _head(status, _MARK, _OWN_ID, rest))
        for status, rest in (
            (200, "Content-Length: 2\r\n\r\nok"),
            (204, "\r\n"),
            (302, _EMPTY),
            (500, _EMPTY),
            (502, _EMPTY),
            (504, _EMPTY),
        )
    ]
    + [
        _case(
            "signed 200",
            _head(
                200,
                _MARK,
                _OWN_ID,
                _SIGNATURE,
                "Content-Length: 2\r\n\r\nok",
            ),
        ),
        # The upstream read the whole request in time.
        _case("408", _head(408, _MARK, _OWN_ID, _EMPTY)),
    ],
)
async def test_mark_beside_another_status_is_no_proof(
    response: _Response,
) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a refusal of an unsafe request that ran: the rejection was
# never received whole.
@pytest.mark.parametrize(
    "response",
    [
        _case(
            "in the head",
            _head(503, _MARK, "X-Lycheegw-Att"),
            is_closed=True,
        ),
        _case(
            "in the body",
            _head(503, _MARK, _OWN_ID, "Content-Length: 9\r\n\r\nab"),
            is_closed=True,
        ),
        _case(
            "in a chunk",
            _head(
                503,
                _MARK,
                _OWN_ID,
                "Transfer-Encoding: chunked\r\n\r\n9\r\nab",
            ),
            is_closed=True,
        ),
        _case(
            "before the body",
            _head(429, _MARK, _OWN_ID, "Content-Length: 9\r\n\r\n"),
            is_closed=True,
        ),
    ],
)
async def test_rejection_that_breaks_off_is_no_proof(
    response: _Response,
) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a status that promises that nothing ran, passed on from an
# upstream that ran the request and did not deny it.
@pytest.mark.parametrize(
    "response",
    [
        _case(
            f"{status}{', signed' if signature else ''}, {name}",
            *before,
            _head(status, _OWN_ID, signature, *lines, version=version),
            is_closed=is_closed,
        )
        for status in (503, 429, 408)
        for signature in ("", _SIGNATURE)
        for name, before, lines, version, is_closed in (
            ("plain", (), (_EMPTY,), "1.1", False),
            (
                "closed",
                (),
                ("Connection: close\r\n", _EMPTY),
                "1.1",
                True,
            ),
            ("HTTP 1.0", (), ("\r\nbusy",), "1.0", True),
        )
    ]
    + [
        _case(
            "mark in an informational response",
            _head(103, _MARK, _OWN_ID, "\r\n"),
            _head(503, _OWN_ID, _EMPTY),
        ),
        _case(
            "after 100 Continue",
            "HTTP/1.1 100 Continue\r\n\r\n",
            0.02,
            _head(503, _OWN_ID, _EMPTY),
        ),
        _case(
            "mark in a trailer",
            _head(
                503,
                _OWN_ID,
                "Trailer: X-Lycheegw-Not-Executed\r\n",
                "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                _MARK,
                "\r\n",
            ),
        ),
    ],
)
async def test_unmarked_promise_of_an_upstream_is_not_passed_on(
    response: _Response,
) -> None:
    _assert_no_promise(await _book_at_one_upstream(response))


# Guards against a promise that answered another request: an upstream wrote it,
# without an id, on a kept connection before it ran the next request there.
@pytest.mark.parametrize("lines", ["", "Connection: close\r\n"])
@pytest.mark.parametrize("status", sorted(PROMISES))
async def test_promise_for_an_earlier_request_is_not_passed_on(
    status: int, lines: str
) -> None:
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        ran.append(request.header_by_name[ID.lower()])
        parts: tuple[str | float, ...] = (_WHOLE_ANSWER,)
        if request.number_on_connection:
            parts = (_head(status, lines, _EMPTY), 0.1, _WHOLE_ANSWER)
        await _write(writer, _Response(parts), ran[-1])

    async with fleet_harness.fleet() as fleet:
        await fleet.store.delete("keyed.servers", "d2")
        async with raw_upstreams.raw_upstream(fleet, "d1", "desk", respond):
            statuses = []
            for number in range(2):
                reply = await platform_standins.send_request(
                    fleet.nodes[0].settings.listen,
                    "/book/1",
                    "POST",
                    b"crew",
                    {ID: f"b{number}"},
                )
                assert reply is not None
                statuses.append(reply.status)
            assert ran == ["b0", "b1"]
            assert statuses[0] == 200 and statuses[1] not in PROMISES


# Guards against a design that believes no rejection: these are the rejections
# that upstreams send, and clients may send such requests again.
@pytest.mark.parametrize("status", [503, 429, 421])
async def test_consistent_rejection_is_believed(status: int) -> None:
    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name[ID.lower()]
        await _write(
            writer,
            _Response((_head(status, _MARK, _OWN_ID, _EMPTY),)),
            attempt_id,
        )

    async with (
        fleet_harness.fleet() as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/book/1", "POST", b"crew"
        )
        assert reply is not None and reply.status == 503


@contextlib.asynccontextmanager
async def _cascade(
    nodes: int,
    rejection: str,
    on_rejection: Callable[[fleet_harness.Fleet], None] = lambda _: None,
) -> Any:
    """Runs a fleet whose largest model rejects, after a small one's answer.

    Yields:
        The fleet, and the ids of requests that the small model answered.
    """
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name[ID.lower()]
        if request.header_by_name.get("x-lycheegw-model") != "small":
            on_rejection(fleet)
            await _write(writer, _Response((rejection,)), attempt_id)
            return
        ran.append(attempt_id)
        body = "".join(f"id: {n}\ndata: token {n}\n\n" for n in range(1, 6))
        answer = _head(
            200,
            _OWN_ID,
            _SIGNATURE,
            "X-Lycheegw-Confidence: 20\r\n",
            f"Content-Length: {len(body)}\r\n\r\n{body}",
        )
        await _write(writer, _Response((answer,)), attempt_id)

    async with (
        fleet_harness.fleet(nodes=nodes) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        yield fleet, ran


_REJECTIONS = [
    pytest.param(_head(503, _MARK, _OWN_ID, _EMPTY), id="503"),
    pytest.param(_head(429, _MARK, _OWN_ID, _EMPTY), id="429"),
    pytest.param(_head(421, _MARK, _OWN_ID, _EMPTY), id="421"),
]


async def ask(node: edge_app.EdgeNode) -> platform_standins.Reply:
    """Sends a prompt for any model; returns the response."""
    reply = await platform_standins.send_request(
        node.settings.listen, "/ask/1", "POST", b"q", PROMPT
    )
    assert reply is not None
    return reply


# Guards against a promise after a good run: the answer of the smallest model
# was dropped for that of the largest one, which no upstream made.
@pytest.mark.parametrize("rejection", _REJECTIONS)
async def test_dropped_answer_counts_as_a_run(rejection: str) -> None:
    async with _cascade(1, rejection) as (fleet, ran):
        reply = await ask(fleet.nodes[0])
        assert ran
        assert reply.status not in PROMISES


# Guards against the loss of an answer that was there, when no upstream makes
# the better one for which it was dropped.
@pytest.mark.parametrize("rejection", _REJECTIONS)
async def test_answer_is_kept_if_no_better_one_is_made(rejection: str) -> None:
    async with _cascade(1, rejection) as (fleet, ran):
        reply = await ask(fleet.nodes[0])
        assert ran
        assert reply.status == 200 and reply.is_whole
        assert reply.body.count(b"data: token") == 5


async def wait_for_peers(fleet: fleet_harness.Fleet) -> None:
    """Waits until all nodes of a fleet know each other."""
    await fleet_harness.wait_until(
        lambda: all(
            len(node.peers.live_nodes()) == len(fleet.nodes)
            for node in fleet.nodes
        )
    )


# Guards against a promise after a run: the peer that served a relayed request
# declined it after it had dropped an answer.
async def test_peer_that_declines_has_dropped_no_answer() -> None:
    def cut_off(fleet: fleet_harness.Fleet) -> None:
        fleet.nodes[1].reach.is_cut_off = True

    rejection = _head(503, _MARK, _OWN_ID, _EMPTY)
    async with _cascade(2, rejection, cut_off) as (fleet, ran):
        await wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True
        for node in fleet.nodes:
            # The second step is an attempt beyond the first.
            budgets = node.forwarder._dependencies.budgets
            for _ in range(20):
                budgets.note_request("llm")
        reply = await ask(fleet.nodes[0])
        assert ran
        counters = fleet.nodes[0].state.counters.by_name
        assert "relay.declined" not in counters
        assert reply.status not in PROMISES


# Guards against a promise after a run here: a node passed on the refusal of a
# peer, which knew nothing of the attempt that this node had made.
async def test_refusal_by_a_peer_is_no_promise_after_a_run_here() -> None:
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name[ID.lower()]
        if not ran:
            ran.append(attempt_id)
            fleet.nodes[0].reach.is_cut_off = True
            writer.transport.abort()
            return
        await _write(
            writer,
            _Response((_head(503, _MARK, _OWN_ID, _EMPTY),)),
            attempt_id,
        )

    async with (
        fleet_harness.fleet(nodes=2) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        await wait_for_peers(fleet)
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, "/look/1"
        )
        assert reply is not None
        counters = fleet.nodes[0].state.counters.by_name
        assert ran and counters["relay.refused"] == 1
        assert reply.status not in PROMISES


# Guards against a promise after a run at a peer that was lost: the next peer
# refused the request, and its refusal was passed on.
@pytest.mark.parametrize(
    ("path", "method"),
    [
        ("/look/1", "GET"),
        ("/book/1", "POST"),
    ],
)
async def test_refusal_by_a_peer_is_no_promise_after_another_was_lost(
    path: str, method: str
) -> None:
    ran: list[str] = []
    lost = asyncio.Event()

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header_by_name[ID.lower()]
        if not ran:
            ran.append(attempt_id)
            lost.set()
            await asyncio.sleep(5.0)
            return
        await _write(
            writer,
            _Response((_head(503, _MARK, _OWN_ID, _EMPTY),)),
            attempt_id,
        )

    def lose(node: edge_app.EdgeNode) -> None:
        serve = node.peers.serve_relayed

        async def serve_until_lost(stream: Any) -> None:
            if lost.is_set():
                await serve(stream)
                return
            task = asyncio.create_task(serve(stream))
            await lost.wait()
            task.cancel()

        node.peers.serve_relayed = serve_until_lost

    async with (
        fleet_harness.fleet(nodes=3) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        await wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True
        for node in fleet.nodes[1:]:
            lose(node)
        reply = await platform_standins.send_request(
            fleet.nodes[0].settings.listen, path, method
        )
        assert reply is not None
        assert len(ran) == 1
        assert reply.status not in PROMISES


class DecliningStream:
    """A stream on which a peer declines after a part of its response."""

    def __init__(self, stream: Any):
        self._stream = stream

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    async def send_message(self, message: Any) -> None:
        if relay_codec.decode_part(message).is_end:
            declined = interfaces.RelayedPart(is_declined=True)
            message = relay_codec.encode_part(declined)
        await self._stream.send_message(message)


# Guards against a second run of an unsafe request: a peer declined it after it
# had sent a part of the response.
async def test_peer_that_declines_late_may_have_run_the_request() -> None:
    async with fleet_harness.fleet(nodes=3) as fleet:
        await wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True

        def decline_late(node: edge_app.EdgeNode) -> None:
            serve = node.peers.serve_relayed

            async def serve_and_decline(stream: Any) -> None:
                await serve(DecliningStream(stream))

            node.peers.serve_relayed = serve_and_decline

        for node in fleet.nodes[1:]:
            decline_late(node)
        status = None
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            reply = await platform_standins.send_request(
                fleet.nodes[0].settings.listen, "/book/1", "POST", b"once"
            )
            status = reply.status if reply is not None else None
        assert len(fleet.seen) == 1
        assert status not in PROMISES


def long_manifest() -> dict[str, Any]:
    """Returns a manifest whose requests may outlast the grace time."""
    manifest = platform_standins.manifest()
    for route in manifest["routes"]:
        route["timeout_ms"] = 20_000
    return manifest


async def stop_node(node: edge_app.EdgeNode) -> None:
    """Stops a node as SIGTERM does, with a grace time of `GRACE_S`."""
    levels = node.settings.service_levels._replace(grace_s=GRACE_S)
    node.settings = node.settings._replace(service_levels=levels)
    await node.drain()
    await node.application.stop()


async def _book_slowly(
    node: edge_app.EdgeNode, body_s: float
) -> platform_standins.Reply | None:
    """Sends an unsafe request whose body takes some seconds."""
    host, _, port = node.settings.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        "POST /book/1 HTTP/1.1\r\n"
        f"Host: {platform_standins.HOST}\r\n"
        f"{ID}: b0\r\n"
        "X-Lycheegw-Deadline-Ms: 15000\r\n"
        f"Api-Key: {platform_standins.API_KEY}\r\n"
        "Content-Length: 10\r\n\r\n"
    )

    async def send() -> None:
        writer.write(head.encode())
        for _ in range(10):
            await asyncio.sleep(body_s / 10)
            writer.write(b"x")

    sending = asyncio.create_task(send())
    try:
        return await platform_standins.read_reply(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()


# Guards against a promise by a node that stops, for an unsafe request that an
# upstream runs when the grace time ends.
@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize(
    "response",
    [
        _case("no response", 9.0),
        _case("part of the head", "HTTP/1.1 503 Busy\r\n", 9.0),
        _case(
            "head",
            _head(200, _OWN_ID, _SIGNATURE, "Content-Length: 2\r\n\r\n"),
            9.0,
        ),
        _case(
            "marked head",
            _head(503, _MARK, _OWN_ID, "Content-Length: 2\r\n\r\n"),
            9.0,
        ),
        _case("unmarked promise", 1.0, _head(503, _OWN_ID, _EMPTY)),
    ],
)
async def test_stop_refuses_no_request_that_runs(
    response: _Response, relayed: bool
) -> None:
    ran: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        ran.append(request.header_by_name[ID.lower()])
        await _write(writer, response, ran[-1])

    async with (
        fleet_harness.fleet(
            nodes=2 if relayed else 1, manifest=long_manifest()
        ) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        if relayed:
            await wait_for_peers(fleet)
            fleet.nodes[0].reach.is_cut_off = True
        sending = asyncio.create_task(_book_slowly(fleet.nodes[0], 0.0))
        await fleet_harness.wait_until(lambda: bool(ran))
        await stop_node(fleet.nodes[-1])
        reply = await sending
        assert len(ran) == 1
        assert reply is None or reply.status not in PROMISES


# Guards against a run after a promise: the rest of a request arrived after a
# node that stops had refused it.
@pytest.mark.parametrize("body_s", [1.0, GRACE_S - 0.3, GRACE_S + 0.5])
async def test_request_that_a_stop_refused_does_not_run(body_s: float) -> None:
    async with fleet_harness.fleet(manifest=long_manifest()) as fleet:
        sending = asyncio.create_task(_book_slowly(fleet.nodes[0], body_s))
        await asyncio.sleep(0.1)
        await stop_node(fleet.nodes[0])
        reply = await sending
        await asyncio.sleep(0.3)
        assert reply is not None
        assert (reply.status in PROMISES) == (not fleet.seen)


# Guards against a second run of an unsafe request that a peer declined after a
# part of its response.
async def test_late_decline_is_not_offered_to_another_peer() -> None:
    async with fleet_harness.fleet(nodes=3) as fleet:
        await wait_for_peers(fleet)
        fleet.nodes[0].reach.is_cut_off = True

        def decline_late(node: Any) -> None:
            serve = node.peers.serve_relayed

            async def serve_and_decline(stream: Any) -> None:
                await serve(DecliningStream(stream))

            node.peers.serve_relayed = serve_and_decline

        for node in fleet.nodes[1:]:
            decline_late(node)
        host, _, port = fleet.nodes[0].settings.listen.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            (
                "POST /book/1 HTTP/1.1\r\n"
                f"Host: {platform_standins.HOST}\r\n{ID}: once\r\n"
                "X-Lycheegw-Deadline-Ms: 1500\r\n"
                f"Api-Key: {platform_standins.API_KEY}\r\n"
                "Content-Length: 4\r\n\r\nonce"
            ).encode()
        )
        await asyncio.sleep(1.0)
        writer.close()
        assert len(fleet.seen) == 1
