"""Silence ends an attempt only if another upstream may go on."""

import asyncio
from typing import Any

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins

_PROMPT = {
    "X-Lycheegw-Model": "large",
    "X-Lycheegw-Token-Usage": "900,50",
    "X-Lycheegw-Prompt-Prefix": "aa:700,bb:200",
    "X-Lycheegw-Deadline-Ms": "15000",
}
_TIMEOUT_MS = 12_000


def _manifest(**changes: Any) -> dict[str, Any]:
    """Returns a manifest with long time limits; changes concern streams."""
    manifest = platform_standins.manifest()
    for route in manifest["routes"]:
        route["timeout_ms"] = _TIMEOUT_MS
        if route["type"] == "streaming":
            route.update(changes)
    return manifest


async def _send(
    fleet: fleet_harness.Fleet,
    path: str,
    is_relayed: bool,
    drains: bool,
    *,
    may_retry: bool = True,
) -> platform_standins.Reply | None:
    """Sends a request.

    Args:
        fleet: A fleet of two nodes.
        path: Path of the request.
        is_relayed: Whether the other node relays it to the one that serves it.
        drains: Whether the node that serves it drains meanwhile.
        may_retry: Whether that node has a retry budget; one that has just
            joined has none.
    """
    serving, relaying = fleet.nodes if may_retry else fleet.nodes[::-1]
    await fleet_harness.wait_until(
        lambda: all(len(node.peers.live_nodes()) == 2 for node in fleet.nodes)
    )
    relaying.reach.is_cut_off = is_relayed
    is_stream = path.startswith("/ask/")
    sending = asyncio.create_task(
        platform_standins.send_request(
            (relaying if is_relayed else serving).settings.listen,
            path,
            "POST" if is_stream else "GET",
            b"q" if is_stream else b"",
            _PROMPT,
        )
    )
    await fleet_harness.wait_until(lambda: bool(fleet.seen))
    if drains:
        await serving.drain()
    return await sending


# Guards against streams that nobody may go on with and that a silence of their
# upstream, as in a preemption, ended for good (LOST, review/3).
@pytest.mark.parametrize(
    ("silence_s", "is_relayed", "drains"),
    [
        (1.0, False, True),
        (2.5, False, False),
        (2.5, False, True),
        (2.5, True, False),
        (2.5, True, True),
        (4.0, False, True),
        (8.0, False, False),
    ],
)
@pytest.mark.parametrize(
    "changes", [{"resumable": False}, {"max_attempts": 1}], ids=str
)
async def test_silent_stream_that_nobody_may_resume_goes_on(
    changes: dict[str, Any], silence_s: float, is_relayed: bool, drains: bool
) -> None:
    async with fleet_harness.fleet(
        nodes=2, manifest=_manifest(**changes)
    ) as fleet:
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].silence_s = silence_s
        reply = await _send(fleet, "/ask/1", is_relayed, drains)
        assert reply is not None and reply.status == 200
        assert reply.is_whole and reply.body.count(b"data: token") == 5
        assert len(fleet.seen) == 1


async def test_silent_stream_goes_on_at_another_upstream() -> None:
    async with fleet_harness.fleet(nodes=2, manifest=_manifest()) as fleet:
        for name in ("m1", "m2"):
            fleet.upstream_by_name[name].silence_s = 8.0
        sending = asyncio.create_task(_send(fleet, "/ask/1", False, False))
        await fleet_harness.wait_until(lambda: len(fleet.seen) == 2)
        assert fleet.seen[0].upstream != fleet.seen[1].upstream
        reply = await sending
        assert reply is not None and reply.body.count(b"data: token") == 5


# Guards against safe requests that were given up at each upstream in turn and
# failed with time left, though every one of them answered late (issue 46).
@pytest.mark.parametrize("may_retry", [False, True])
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("silence_s", [0.5, 2.5, 4.0])
async def test_safe_request_whose_upstreams_are_all_late_is_served(
    silence_s: float, is_relayed: bool, may_retry: bool
) -> None:
    async with fleet_harness.fleet(nodes=2, manifest=_manifest()) as fleet:
        for name in ("d1", "d2"):
            fleet.upstream_by_name[name].delay_s = silence_s
        for _ in range(2):
            reply = await _send(
                fleet, "/look/1", is_relayed, False, may_retry=may_retry
            )
            assert reply is not None and reply.status == 200
            assert reply.is_whole
