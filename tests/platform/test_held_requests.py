"""Requests that admission holds back or refuses, on real nodes."""

import collections
from typing import Any

from lycheegw.coordination.load import request_admission
from tests.platform import fleet_harness
from tests.platform import platform_standins

PROMPT = {
    "X-Lycheegw-Model": "*",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
}
HOLD = request_admission.Decision(
    request_admission.Verdict.HOLD,
    request_admission.Reason.LESS_URGENT,
    hold_s=5.0,
)
SEND = request_admission.Decision(
    request_admission.Verdict.SEND, request_admission.Reason.ROOM
)
REFUSE = request_admission.Decision(
    request_admission.Verdict.REFUSE, request_admission.Reason.NO_TIME, 0.4
)


def _decide(node: Any, *decisions: request_admission.Decision) -> None:
    """Makes the node's next decisions those given, in turn."""
    left = collections.deque(decisions)
    admission = node.forwarder.attempts._dependencies.admission
    admission.judge = lambda *_: left.popleft()


async def _send(node: Any) -> Any:
    return await platform_standins.send_request(
        node.settings.listen, "/ask/1", "POST", b"q", PROMPT
    )


# Load: room is short for a while; the request must not be lost meanwhile.
async def test_held_request_is_sent_once_there_is_room() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        lines = fleet.capture_request_events(node)
        _decide(node, HOLD, HOLD, HOLD, SEND)
        reply = await _send(node)
        assert reply is not None and reply.status == 200
        (held,) = [line for line in lines if line["event"] == "request_held"]
        assert held["why"] == "less_urgent"
        assert held["released"] == "room"
        assert held["held_s"] >= 0.1
        counters = node.state.counters
        assert counters.by_name["admission.hold.less_urgent"] == 1
        assert counters.by_name["admission.send.room"] == 1


# Guards against a promise "not run" for a request that an upstream has seen.
async def test_refused_request_has_reached_no_upstream() -> None:
    async with fleet_harness.fleet() as fleet:
        node = fleet.nodes[0]
        _decide(node, HOLD, REFUSE)
        reply = await _send(node)
        assert reply is not None and reply.status == 503
        assert float(reply.header_by_name["retry-after"]) <= 0.5
        assert not [each for each in fleet.seen if "/ask/" in each.target]
