"""Measure: upstreams that requests crash, and what becomes of the others."""

import asyncio
from typing import Any

from lycheegw.measure import basics
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.standins import engine

__all__ = ["run"]

_KEY = "poison-key"
_ENGINES = 12
_NODES = 4
_INNOCENTS = 80
_RESENDS = 8
_POISONS = 2
_MARK = "crash-it"
_ZONES = ("z1", "z2")
_POLL_S = 0.02
_RECORDS = basics.records(_KEY)


async def _build(fleet: rig.Fleet) -> None:
    for index in range(_ENGINES):
        config = engine.EngineSettings(token_gap_s=0.02)
        standin = await fleet.add_engine(
            f"e{index}", _ZONES[index % len(_ZONES)], config
        )
        standin.set_faults({"dies_on": _MARK})
    for index in range(_NODES):
        await fleet.add_node(f"n{index}", _ZONES[index % len(_ZONES)])
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()
    nodes = fleet.nodes.values()
    while any(len(node.peers.live_nodes()) < _NODES for node in nodes):
        await asyncio.sleep(_POLL_S)


def _judge_nothing(fleet: rig.Fleet) -> None:
    """Keeps nodes from recording crashes, as in a plain retrying proxy."""

    async def no_strike(*_: Any) -> None:
        return

    for node in fleet.nodes.values():
        setattr(node.parts.suspects, "note_failure", no_strike)  # noqa: B010


async def _send(fleet: rig.Fleet, index: int, content: str) -> rig.Reply:
    node = fleet.nodes[f"n{index % _NODES}"]
    body = {
        "model": "drafter",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 60,
    }
    return await fleet.call(node, "/v1/chat/completions", body, _KEY)


async def _send_innocents(fleet: rig.Fleet) -> list[rig.Reply]:
    running = []
    for index in range(_INNOCENTS):
        running.append(
            asyncio.ensure_future(_send(fleet, index, f"innocent {index}"))
        )
        await asyncio.sleep(0.05)
    return await asyncio.gather(*running)


async def _send_poison(fleet: rig.Fleet, name: str) -> None:
    """Sends a poison request again and again, each time to another node."""
    for index in range(_RESENDS):
        await _send(fleet, index, f"{_MARK} {name}")
        await asyncio.sleep(0.1)


async def _observe(seed: int, is_baseline: bool) -> dict[str, float]:
    async with rig.Fleet(seed) as fleet:
        await _build(fleet)
        if is_baseline:
            _judge_nothing(fleet)
        innocents = asyncio.ensure_future(_send_innocents(fleet))
        for index in range(_POISONS):
            await asyncio.sleep(0.5)
            await _send_poison(fleet, f"poison-{index}")
        replies = await innocents
        falls = sum(each.falls for each in fleet.engines.values())
        latencies = sorted(reply.latency_s for reply in replies)
        return {
            "upstreams_crashed": falls / _POISONS,
            "innocents_condemned": sum(
                reply.refusal == "poison" for reply in replies
            ),
            "innocents_unanswered": sum(
                reply.status != 200 for reply in replies
            ),
            "innocent_latency_p95_s": latencies[int(0.95 * len(latencies))],
        }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns crashes by poison request and what innocents got."""
    del scale
    figures = await _observe(seed, False)
    return report.Findings(
        figures, "retry without strikes", await _observe(seed, True)
    )
