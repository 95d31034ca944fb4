"""What a short record of a node's lines tells about a refusal."""

import json
from typing import Any

import pytest

from tests.platform import fleet_harness
from tests.platform import test_refusals

# Characters of a line, and events, that a record of an incident kept.
RECORDED = 200
RECORDED_EVENTS = ("attempt_failed", "refused", "error_forwarded")


def _record(lines: list[dict[str, Any]]) -> list[str]:
    """Returns the lines as a record keeps them, cut short."""
    return [
        json.dumps(
            {"at_s": 1796368624.281, "node": "edge-lakes-east-b-2", **line},
            separators=(",", ":"),
        )[:RECORDED]
        for line in lines
        if line["event"] in RECORDED_EVENTS
    ]


# Guards against a record from which nobody can tell whether an upstream's error
# was passed on: it was among the lines of successes, without its status.
@pytest.mark.parametrize("status", [404, 500])
async def test_forwarded_error_is_in_a_short_record(status: int) -> None:
    async with fleet_harness.fleet() as fleet:
        lines = fleet.capture_request_events(fleet.nodes[0])
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].status = status
        reply = await test_refusals.send(fleet, "e9cb7815b1a2ffb0")
        assert reply.status == status
        line = _record(lines)[-1]
        assert '"event":"error_forwarded"' in line
        assert f'"evidence":"{status} mark absent id own signed"' in line
        name = "requests.error_forwarded"
        assert fleet.nodes[0].state.counters.by_name[name] == 1


# Guards against a record from which nobody can tell why a request counts as not
# run: the verdict and its evidence stood beyond the end of the line.
async def test_evidence_of_a_refusal_is_in_a_short_record() -> None:
    async with fleet_harness.fleet() as fleet:
        lines = fleet.capture_request_events(fleet.nodes[0])
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].is_full = True
        reply = await test_refusals.send(fleet, "e9cb7815b1a2ffb0")
        assert reply.status == 503
        for line in _record(lines):
            assert '"run":"not_run"' in line
            assert '"evidence":"503 mark not_run id own"' in line
        assert '"reason":"shed"' in _record(lines)[-1]
        name = "evidence.rejected"
        assert fleet.nodes[0].state.counters.by_name[name] >= 4
