"""Measures goodput at capacity and at twice that, with deadlines.

Short questions are mixed with long diagnoses, and one organisation sends most
of the traffic. The baseline admits every request at once.
"""

import asyncio
import contextlib
import random
import sys
from typing import NamedTuple

from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.standins import engine
from lycheegw.state import errors

__all__ = ["run"]

_ZONE = "z-a"
_NODES = 2
_ENGINES = 3
_RATE_PER_S = 24.0
_SECONDS = 7.0
_SMALL_SHARE = 0.15
_ORGANISATIONS = ("large", "small")
_ENGINE = engine.EngineSettings(
    first_token_s=0.03, token_gap_s=0.025, batch=3, limit=1000
)


class _Kind(NamedTuple):
    name: str
    share: float
    tokens: int
    deadline_s: float


_KINDS = (
    _Kind("parts-question", 0.6, 4, 1.5),
    _Kind("diagnosis", 0.4, 24, 3.0),
)


class _Sent(NamedTuple):
    organisation: str
    kind: str
    is_good: bool
    was_refused: bool
    latency_s: float


def _records() -> list[dict[str, object]]:
    return [
        harness.record(
            "model",
            "drafter",
            {"default": "v1", "versions": {"v1": {"cost_per_1k_tokens": 1.0}}},
        ),
        *(
            harness.record(
                "organisation",
                name,
                {
                    "key_sha256": harness.key_sha256(f"key-{name}"),
                    "versions_by_model": {"drafter": ["v1"]},
                    "quality_target": 0.9,
                    "weight": 1.0,
                },
            )
            for name in _ORGANISATIONS
        ),
    ]


async def _send(
    fleet: harness.Fleet, organisation: str, kind: _Kind, number: int
) -> _Sent:
    nodes = list(fleet.nodes.values())
    body = {
        "model": "drafter",
        "messages": [{"role": "user", "content": f"{kind.name} {number}"}],
        "max_tokens": kind.tokens,
    }
    headers = {
        "x-kind": kind.name,
        "x-deadline-ms": str(int(kind.deadline_s * 1000)),
    }
    reply = None
    with contextlib.suppress(errors.UpstreamError):
        reply = await fleet.call(
            nodes[number % len(nodes)],
            "/v1/chat/completions",
            body,
            f"key-{organisation}",
            headers,
        )
    if reply is None:
        return _Sent(organisation, kind.name, False, False, 0.0)
    is_answer = reply.status == 200
    is_good = is_answer and reply.latency_s <= kind.deadline_s
    was_refused = not is_answer and "not_run" in reply.body.decode()
    return _Sent(organisation, kind.name, is_good, was_refused, reply.latency_s)


async def _send_traffic(
    fleet: harness.Fleet, generator: random.Random, rate_per_s: float
) -> list[_Sent]:
    """Sends open-loop traffic; returns how each request ended."""
    loop = asyncio.get_running_loop()
    due_s = begin_s = loop.time()
    running: list[asyncio.Task[_Sent]] = []
    while due_s < begin_s + _SECONDS:
        due_s += generator.expovariate(rate_per_s)
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        kind = generator.choices(_KINDS, [each.share for each in _KINDS])[0]
        is_small = generator.random() < _SMALL_SHARE
        organisation = _ORGANISATIONS[is_small]
        running.append(
            asyncio.create_task(_send(fleet, organisation, kind, len(running)))
        )
    return list(await asyncio.gather(*running))


def _good_share(sent: list[_Sent], **values: str) -> float:
    """Returns the share of good answers among requests with these fields."""
    chosen = [
        each
        for each in sent
        if all(getattr(each, name) == value for name, value in values.items())
    ]
    return sum(each.is_good for each in chosen) / max(1, len(chosen))


async def _run_once(seed: int, is_baseline: bool) -> dict[str, float]:
    generator = random.Random(seed)
    async with harness.Fleet(seed) as fleet:
        for index in range(_ENGINES):
            await fleet.add_engine(f"engine-{index}", _ZONE, _ENGINE)
        for index in range(_NODES):
            node = await fleet.add_node(f"node-{index}", _ZONE)
            if is_baseline:
                node.dependencies.admission.limit = lambda pool: sys.maxsize
        await fleet.wait_applied(await fleet.publish(*_records()))
        await fleet.wait_upstreams()
        at_capacity = await _send_traffic(fleet, generator, _RATE_PER_S)
        at_overload = await _send_traffic(fleet, generator, 2 * _RATE_PER_S)
    refused = sorted(each.latency_s for each in at_overload if each.was_refused)
    good_1x = sum(each.is_good for each in at_capacity)
    good_2x = sum(each.is_good for each in at_overload)
    return {
        "goodput_ratio_2x": good_2x / good_1x,
        "good_share_1x": good_1x / len(at_capacity),
        "good_share_2x": good_2x / len(at_overload),
        "good_share_short_2x": _good_share(at_overload, kind="parts-question"),
        "good_share_long_2x": _good_share(at_overload, kind="diagnosis"),
        "good_share_small_2x": _good_share(at_overload, organisation="small"),
        "refused_not_run_2x": len(refused),
        "refusal_p50_s": refused[len(refused) // 2] if refused else 0.0,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on goodput at once and twice the capacity."""
    del scale
    figures = await _run_once(seed, is_baseline=False)
    baseline = await _run_once(seed, is_baseline=True)
    return report.Findings(figures, "no admission", baseline)
