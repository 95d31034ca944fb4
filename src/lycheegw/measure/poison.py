"""Counts upstreams crashed by poison requests, and harm to other requests.

The baseline retries without recording crashes.
"""

import asyncio
from typing import Any

from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.measure import report
from lycheegw.standins import engine

__all__ = ["run"]

_KEY = "poison-key"
_ENGINES = 12
_NODES = 4
_HARMLESS_REQUESTS = 80
_RESENDS = 8
_POISON_REQUESTS = 2
_CRASH_MARK = "crash-it"
_ZONES = ("z1", "z2")
_POLL_INTERVAL_S = 0.02
_RECORDS = minimal_config.records(_KEY)


async def _build(fleet: harness.Fleet) -> None:
    for index in range(_ENGINES):
        config = engine.EngineSettings(token_gap_s=0.02)
        standin = await fleet.add_engine(
            f"e{index}", _ZONES[index % len(_ZONES)], config
        )
        standin.set_faults({"dies_on": _CRASH_MARK})
    for index in range(_NODES):
        await fleet.add_node(f"n{index}", _ZONES[index % len(_ZONES)])
    await fleet.wait_applied(await fleet.publish(*_RECORDS))
    await fleet.wait_upstreams()
    nodes = fleet.nodes.values()
    while any(len(node.peers.live_nodes()) < _NODES for node in nodes):
        await asyncio.sleep(_POLL_INTERVAL_S)


def _disable_crash_records(fleet: harness.Fleet) -> None:
    """Makes nodes record no crashes, as a plain retrying proxy does."""

    async def record_nothing(*_: Any) -> None:
        return

    for node in fleet.nodes.values():
        setattr(node.dependencies.suspects, "note_failure", record_nothing)  # noqa: B010


async def _send(
    fleet: harness.Fleet, index: int, content: str
) -> harness.Reply:
    node = fleet.nodes[f"n{index % _NODES}"]
    body = {
        "model": "drafter",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 60,
    }
    return await fleet.call(node, "/v1/chat/completions", body, _KEY)


async def _send_harmless(fleet: harness.Fleet) -> list[harness.Reply]:
    tasks = []
    for index in range(_HARMLESS_REQUESTS):
        tasks.append(
            asyncio.ensure_future(_send(fleet, index, f"innocent {index}"))
        )
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


async def _send_poison(fleet: harness.Fleet, name: str) -> None:
    """Sends a poison request repeatedly, each time to another node."""
    for index in range(_RESENDS):
        await _send(fleet, index, f"{_CRASH_MARK} {name}")
        await asyncio.sleep(0.1)


async def _run_fleet(seed: int, is_baseline: bool) -> dict[str, float]:
    async with harness.Fleet(seed) as fleet:
        await _build(fleet)
        if is_baseline:
            _disable_crash_records(fleet)
        harmless = asyncio.ensure_future(_send_harmless(fleet))
        for index in range(_POISON_REQUESTS):
            await asyncio.sleep(0.5)
            await _send_poison(fleet, f"poison-{index}")
        replies = await harmless
        falls = sum(each.crash_count for each in fleet.engines.values())
        latencies = sorted(reply.latency_s for reply in replies)
        return {
            "upstreams_crashed": falls / _POISON_REQUESTS,
            "innocents_condemned": sum(
                reply.refusal_reason == "poison" for reply in replies
            ),
            "innocents_unanswered": sum(
                reply.status != 200 for reply in replies
            ),
            "innocent_latency_p95_s": latencies[int(0.95 * len(latencies))],
        }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns crashes per poison request and how other requests ended."""
    del scale
    figures = await _run_fleet(seed, False)
    return report.Findings(
        figures, "retry without strikes", await _run_fleet(seed, True)
    )
