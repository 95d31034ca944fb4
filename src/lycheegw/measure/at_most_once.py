"""Counts double runs of keyed requests while nodes and the log fail.

Callers send each key again until it is answered. The baseline keeps the keys
in the memory of each node.
"""

import asyncio
import contextlib
import random

from lycheegw import app
from lycheegw.coordination import billing
from lycheegw.coordination import key_claims
from lycheegw.coordination import key_messages
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import requests
from lycheegw.state import verdicts

__all__ = ["run"]

_ZONES = ("z1", "z2", "z3")
_NODES_PER_ZONE = 2
_RATE_PER_S = 20.0
_PHASE_S = 2.0
_MAX_SENDS = 6
_RESENT_SHARE = 0.3
_RETRY_PAUSE_S = 0.3
_DEADLINE_MS = 6_000
_SERVICE_DELAY_S = 0.05
_LIST_LAG_S = 1.0

# The target size; each stream has one coordinator.
_NODES_AT_SIZE = 370
_STREAMS = 64


class _Scenario:
    """One fleet, its callers and the replies that they got."""

    def __init__(self, fleet: harness.Fleet, seed: int, is_baseline: bool):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.is_baseline = is_baseline
        self.false_not_run = 0
        self.answered: set[str] = set()
        self.latencies_s: list[float] = []
        self.keys: list[str] = []

    def runs(self, key: str) -> int:
        """Returns how often the request with this key ran."""
        service = self.fleet.services["s1"]
        return sum(each.key == key for each in service.runs)

    async def add_node(self, node_id: str, zone: str) -> None:
        """Starts a node."""
        node = await self.fleet.add_node(node_id, zone)
        if self.is_baseline:
            _keep_keys_in_memory(node)

    async def send(self, key: str) -> harness.Reply | None:
        """Sends a key to a random node; returns None if no whole reply came."""
        node = self.random.choice(list(self.fleet.nodes.values()))
        headers = {"idempotency-key": key, "x-deadline-ms": str(_DEADLINE_MS)}
        path = f"/v1/services/{deployments.LAKESHORE.service}/book-visit"
        api_key = deployments.organisation_key(deployments.LAKESHORE, 0)
        try:
            reply = await self.fleet.call(
                node, path, {"for": key}, api_key, headers
            )
        except errors.UpstreamError:
            return None
        is_not_run = reply.header_by_name.get("x-run") == "not_run"
        self.false_not_run += is_not_run and self.runs(key) > 0
        return reply

    async def send_until_answered(self, key: str) -> None:
        """Sends a key until it is answered, a share of times twice at once."""
        for _ in range(_MAX_SENDS):
            count = 2 if self.random.random() < _RESENT_SHARE else 1
            replies = await asyncio.gather(
                *(self.send(key) for _ in range(count))
            )
            for reply in replies:
                if reply is not None and reply.status == 200:
                    self.answered.add(key)
                    self.latencies_s.append(reply.latency_s)
                    return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def run_phase(self, name: str) -> None:
        """Sends new keys and injects the phase's failures half-way through."""
        tasks = []
        for index in range(int(_RATE_PER_S * _PHASE_S)):
            key = f"{name}-{index}"
            self.keys.append(key)
            tasks.append(asyncio.create_task(self.send_until_answered(key)))
            await asyncio.sleep(1 / _RATE_PER_S)
            if index == int(_RATE_PER_S * _PHASE_S / 2):
                await self.inject_failures(name)
        self.fleet.log.set_faults({"is_dead": False})
        await asyncio.gather(*tasks)
        self.fleet.log.set_faults({"loses_append_answers": False})

    async def inject_failures(self, name: str) -> None:
        """Injects the failures that a phase is named after."""
        if "lost" in name:
            self.fleet.log.set_faults({"loses_append_answers": True})
        if "outage" in name:
            self.fleet.log.set_faults({"is_dead": True})
        if "kill" in name:
            await self.replace_node()

    async def replace_node(self) -> None:
        """Kills a node under load and starts another in its place.

        The host list drops the killed node later.
        """
        node_id = self.random.choice(sorted(self.fleet.nodes))
        zone = self.fleet.nodes[node_id].state.identity.zone
        await self.fleet.kill_node(node_id)
        await self.add_node(f"{node_id}-next", zone)
        loop = asyncio.get_running_loop()
        loop.call_later(_LIST_LAG_S, self.fleet.hosts.remove, node_id)

    def figures(self, seconds: float) -> dict[str, float]:
        """Returns the figures of all phases."""
        runs = [self.runs(key) for key in self.keys]
        latencies = sorted(self.latencies_s) or [0.0]
        return {
            "double_runs": sum(max(0, count - 1) for count in runs),
            "false_not_run": self.false_not_run,
            "unanswered_ratio": 1 - len(self.answered) / len(self.keys),
            "latency_p50_s": latencies[len(latencies) // 2],
            "latency_p95_s": latencies[int(len(latencies) * 0.95)],
            "log_appends_per_s": self.fleet.log.appends / seconds,
        }


def _keep_keys_in_memory(node: app.Node) -> None:
    """Makes a node keep keys in its own memory only, as the baseline does."""
    answer_by_key: dict[str | None, key_claims.StoredAnswer] = {}

    async def begin(
        request: requests.Request,
    ) -> key_claims.StoredAnswer | None:
        return answer_by_key.get(request.idempotency_key)

    async def complete(
        request: requests.Request,
        verdict: verdicts.RunVerdict,
        answer: key_claims.StoredAnswer | None,
    ) -> None:
        if verdict is verdicts.RunVerdict.RAN and answer is not None:
            answer_by_key[request.idempotency_key] = answer

    node.key_claims.begin = begin  # type: ignore[method-assign]
    node.key_claims.complete = complete  # type: ignore[method-assign]


async def _run_scenario(seed: int, is_baseline: bool) -> dict[str, float]:
    phases = ("calm", "lost", "kill", "outage", "kill-lost", "kill-outage")
    async with harness.Fleet(seed) as fleet:
        service = await fleet.add_service(
            "s1", "z1", deployments.LAKESHORE.service
        )
        scenario = _Scenario(fleet, seed, is_baseline)
        for index in range(_NODES_PER_ZONE * len(_ZONES)):
            await scenario.add_node(f"n{index}", _ZONES[index % len(_ZONES)])
        records = deployments.records(deployments.LAKESHORE)
        await fleet.wait_applied(await fleet.publish(*records))
        await fleet.wait_upstreams()
        service.set_faults({"delay_s": _SERVICE_DELAY_S})
        begin_s = asyncio.get_running_loop().time()
        for phase in phases:
            await scenario.run_phase(phase)
        seconds = asyncio.get_running_loop().time() - begin_s
        figures = scenario.figures(seconds)
        with contextlib.suppress(errors.UpstreamError):
            await asyncio.gather(
                *(scenario.send(key) for key in scenario.keys[:20])
            )
        figures_after_resends = scenario.figures(seconds)
        return figures | {"double_runs": figures_after_resends["double_runs"]}


async def _appends_per_s_at_size(seed: int) -> float:
    """Returns appends per second at the target size, every stream busy.

    The rate of one busy stream is measured; bills add one append per node and
    flush interval.
    """
    async with harness.Fleet(seed) as fleet:
        node = await fleet.add_node("n0", "z1")
        count = node.state.counters.by_name
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while loop.time() - begin_s < _PHASE_S:
            await node.key_coordinator.submit(
                0, [_claim(node.state.environment)]
            )
        rate_per_s = count["keys.appends"] / (loop.time() - begin_s)
    return rate_per_s * _STREAMS + _NODES_AT_SIZE / billing.FLUSH_S


def _claim(environment: clocks.Environment) -> key_messages.KeyTransition:
    """Returns a claim of a new key of the first stream."""
    key = bytes(1) + environment.new_id().encode()[:15]
    kind = key_messages.TransitionKind.CLAIM
    return key_messages.KeyTransition(
        kind, key, environment.random.getrandbits(63), 0, ""
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings of both fleets; `scale` has no effect."""
    del scale
    figures = await _run_scenario(seed, False)
    figures["appends_per_s_at_size"] = await _appends_per_s_at_size(seed)
    baseline = await _run_scenario(seed, True)
    return report.Findings(figures, "memory of each node", baseline)
