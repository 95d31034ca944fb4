"""Measures how soon a version that turns bad in a roll-out is withdrawn.

Counts the answers of the bad version until then. In fleets of their own a zone
fails, upstreams become cold and poison requests are sent; no version may be
held or withdrawn there. The baseline never evaluates a version.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import random

from lycheegw import app
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.standins import engine
from lycheegw.state import errors

__all__ = ["run"]

_MODEL = "drafter"
_KEY = "desk-key"
_CHAT = "/v1/chat/completions"
_ZONES = ("z1", "z2", "z3")
_NODES = 6
_ENGINES = 9
_RATE_PER_S = 25.0
_WARM_UP_S = 5.0
_FAULT_S = 12.0
_POISON_TEXT = "poison pill"
_RESTART_S = 1.0
_QUALITY_BY_VERSION = {"v1": 0.9, "v2": 0.9}

Fault = Callable[[harness.Fleet], None]


def _records() -> list[dict]:
    versions = {
        name: {"cost_per_1k_tokens": 1.0} for name in _QUALITY_BY_VERSION
    }
    return [
        harness.record(
            "model", _MODEL, {"default": "v1", "versions": versions}
        ),
        harness.record(
            "organisation",
            "desk",
            {
                "key_sha256": harness.key_sha256(_KEY),
                "versions_by_model": {_MODEL: sorted(versions)},
                "quality_target": 0.8,
                "weight": 1.0,
            },
        ),
        harness.record(
            "rollout",
            _MODEL,
            {"from_version": "v1", "to_version": "v2", "share": 0.3},
        ),
    ]


def _degrade_version(fleet: harness.Fleet) -> None:
    for each in fleet.engines.values():
        each.set_faults({"bad_version": "v2"})


def _fail_zone(fleet: harness.Fleet) -> None:
    for index, each in enumerate(fleet.engines.values()):
        if index % len(_ZONES) == 0:
            each.set_faults({"truncates_after": 2})


def _restart_cold(fleet: harness.Fleet) -> None:
    for index, each in enumerate(fleet.engines.values()):
        if index % 2:
            each.config = each.config._replace(cold_s=5.0, cold_limit=3)
            each.restart(is_announced=False)
            each.set_faults({"stalls_after": 4 if index == 1 else None})


def _enable_poison(fleet: harness.Fleet) -> None:
    for each in fleet.engines.values():
        each.set_faults({"dies_on": _POISON_TEXT})


class _Callers:
    """Callers that use a new session for each request."""

    def __init__(self, fleet: harness.Fleet, seed: int, sends_poison: bool):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._sends_poison = sends_poison
        self._sent = 0

    async def run(self, seconds: float) -> None:
        """Sends requests at a fixed rate and waits until all have ended."""
        tasks = []
        for _ in range(int(seconds * _RATE_PER_S)):
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(1 / _RATE_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self) -> None:
        self._sent += 1
        text = f"note {self._sent}"
        if self._sends_poison and self._sent % 40 == 0:
            text = _POISON_TEXT
        body = {
            "model": _MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 8,
        }
        headers = {
            "x-session": f"s{self._sent}",
            "x-request-id": f"r{self._sent}",
        }
        node: app.Node = self._random.choice(list(self._fleet.nodes.values()))
        with contextlib.suppress(errors.UpstreamError):
            await self._fleet.call(node, _CHAT, body, _KEY, headers)


async def _run_fleet(
    seed: int, scale: float, fault: Fault, is_baseline: bool
) -> Mapping[str, float]:
    """Returns counts of bad answers after the fault and of interventions."""
    async with harness.Fleet(seed) as fleet:
        for index in range(_ENGINES):
            config = engine.EngineSettings(
                model=_MODEL,
                versions=tuple(_QUALITY_BY_VERSION),
                quality_by_version=_QUALITY_BY_VERSION,
                restart_s=_RESTART_S,
            )
            await fleet.add_engine(f"e{index}", _ZONES[index % 3], config)
        for index in range(_NODES):
            node = await fleet.add_node(f"n{index}", _ZONES[index % 3])
            if is_baseline:
                _disable_evaluation(node)
        await fleet.wait_applied(await fleet.publish(*_records()))
        await fleet.wait_upstreams()
        callers = _Callers(fleet, seed, fault is _enable_poison)
        await callers.run(_WARM_UP_S)
        before = _runs(fleet)
        fault(fleet)
        await callers.run(_FAULT_S * scale)
        return {
            "exposed": _runs(fleet) - before,
            "interventions": _interventions(fleet),
        }


def _disable_evaluation(node: app.Node) -> None:
    """Makes a node find no version bad, as the baseline does."""
    node.bad_version_detector._find_bad_versions = list  # type: ignore


def _runs(fleet: harness.Fleet) -> int:
    return sum(
        run.version_or_operation == "v2"
        for each in fleet.engines.values()
        for run in each.runs
    )


def _interventions(fleet: harness.Fleet) -> int:
    """Returns the number of records that the nodes published themselves."""
    entries = fleet.log.stream("configuration").entries
    return len(
        {
            entry["entry_id"]
            for entry in entries
            if entry["entry_id"].startswith("auto-")
        }
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on exposure and on versions wrongly held."""
    with_router, with_baseline = await asyncio.gather(
        _run_fleet(seed, scale, _degrade_version, False),
        _run_fleet(seed, scale, _degrade_version, True),
    )
    lookalikes = await asyncio.gather(
        *(
            _run_fleet(seed, scale / 2, fault, False)
            for fault in (_fail_zone, _restart_cold, _enable_poison)
        )
    )
    wrong = sum(each["interventions"] for each in lookalikes)
    figures = {
        "exposed_ratio": with_router["exposed"]
        / max(1, with_baseline["exposed"]),
        "wrong_holds": wrong,
        "exposed": with_router["exposed"],
        "interventions": with_router["interventions"],
    }
    baseline = {"exposed": with_baseline["exposed"], "exposed_ratio": 1.0}
    return report.Findings(figures, "no hold", baseline)
