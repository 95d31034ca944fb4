"""Clients get no success for a response that broke off in its head."""

import asyncio

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.platform import raw_upstreams

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
_REQUESTS = {
    "safe": ("/look/1", "GET", b"", {}),
    "unsafe": ("/book/1", "POST", b"once", {}),
    "stream": ("/ask/1", "POST", b"q", _PROMPT),
}
# What is left out at the end of a head, in bytes, up to the whole of it.
_LEFT_OUT = (1, 2, 3, 4, 5, 20, 40, 80, 110, 10_000)


# MIXED, ORDER, issue 45: an upstream stopped in the middle of its head.
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("kind", _REQUESTS)
async def test_response_that_ends_in_its_head_is_no_success(
    kind: str, is_relayed: bool
) -> None:
    lengths_left_out = list(_LEFT_OUT)
    received: list[str] = []

    async def respond(
        request: raw_upstreams.RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        received.append(request.header_by_name["x-lycheegw-attempt-id"])
        head = raw_upstreams.response(request, body=b"")
        writer.write(head[: max(0, len(head) - lengths_left_out[0])])
        await writer.drain()
        writer.close()

    async with (
        fleet_harness.fleet(nodes=2) as fleet,
        raw_upstreams.all_raw_upstreams(fleet, respond),
    ):
        await fleet_harness.wait_until(
            lambda: all(
                len(node.peers.live_nodes()) == 2 for node in fleet.nodes
            )
        )
        first = fleet.nodes[0]
        while lengths_left_out:
            first.reach.is_cut_off = is_relayed
            received.clear()
            reply = await platform_standins.send_request(
                first.settings.listen, *_REQUESTS[kind]
            )
            assert reply is not None
            # Status 503 says that the request has not run.
            assert reply.status == (502 if received else 503)
            lengths_left_out.pop(0)
        by_name = first.state.counters.by_name
        assert bool(by_name["relay.answered"]) == is_relayed
