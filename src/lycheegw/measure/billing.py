"""Counts missing and double bills while nodes are killed and the log fails.

The baseline appends each bill to the log before it answers.
"""

import asyncio
import collections
import random

from lycheegw import app
from lycheegw.coordination import bill_buffer
from lycheegw.coordination import bill_messages
from lycheegw.coordination import billing
from lycheegw.coordination import interfaces
from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts

__all__ = ["run"]

_ZONES = ("z1", "z2", "z3")
_NODES_PER_ZONE = 2
_RATE_PER_S = 30.0
_PHASE_S = 2.0
_RESENT_SHARE = 0.1
_LIST_LAG_S = 1.0
_SAMPLE_ROWS = 10_000


class _Scenario:
    """One fleet, its callers and the requests that were answered."""

    def __init__(self, fleet: harness.Fleet, seed: int, is_baseline: bool):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.is_baseline = is_baseline
        self.answered: set[str] = set()
        self.latencies_s: list[float] = []

    async def add_node(self, node_id: str, zone: str) -> None:
        """Starts a node."""
        node = await self.fleet.add_node(node_id, zone)
        if self.is_baseline:
            _append_before_answering(node)

    async def look_up(self, request_id: str) -> None:
        """Sends a look-up to a random node, a share of them twice at once."""
        count = 2 if self.random.random() < _RESENT_SHARE else 1
        await asyncio.gather(*(self._send(request_id) for _ in range(count)))

    async def _send(self, request_id: str) -> None:
        node = self.random.choice(list(self.fleet.nodes.values()))
        path = f"/v1/services/{deployments.LAKESHORE.service}/account-status"
        api_key = deployments.organisation_key(deployments.LAKESHORE, 0)
        headers = {"x-request-id": request_id}
        try:
            reply = await self.fleet.call(
                node, path, {"for": request_id}, api_key, headers
            )
        except errors.UpstreamError:
            return
        if reply.status == 200:
            self.answered.add(request_id)
            self.latencies_s.append(reply.latency_s)

    async def run_phase(self, name: str) -> None:
        """Sends look-ups and injects the phase's failures half-way through."""
        self.fleet.log.set_faults(
            {"is_dead": "outage" in name, "loses_append_answers": False}
        )
        tasks = []
        for index in range(int(_RATE_PER_S * _PHASE_S)):
            tasks.append(asyncio.create_task(self.look_up(f"{name}-{index}")))
            await asyncio.sleep(1 / _RATE_PER_S)
            if index == int(_RATE_PER_S * _PHASE_S / 2):
                await self._inject_failures(name)
        await asyncio.gather(*tasks)

    async def _inject_failures(self, name: str) -> None:
        if "lost" in name:
            self.fleet.log.set_faults({"loses_append_answers": True})
        if "kill" in name:
            await self._replace_node()

    async def _replace_node(self) -> None:
        """Kills a node that has just answered; starts another in its place.

        The host list drops the killed node later.
        """
        node_id = self.random.choice(sorted(self.fleet.nodes))
        zone = self.fleet.nodes[node_id].state.identity.zone
        await self.fleet.kill_node(node_id)
        await self.add_node(f"{node_id}-next", zone)
        loop = asyncio.get_running_loop()
        loop.call_later(_LIST_LAG_S, self.fleet.hosts.remove, node_id)

    async def settle(self) -> None:
        """Ends all faults and makes owners and replica holders append bills.

        Replica holders append at once, without waiting for silent owners.
        """
        self.fleet.log.set_faults(
            {"is_dead": False, "loses_append_answers": False}
        )
        await self.fleet.flush_bills()
        for node in self.fleet.nodes.values():
            await node.bill_replicas.append_or_copy_all()

    def figures(self) -> dict[str, float]:
        """Returns the figures of all phases."""
        bills = collections.Counter(self.fleet.billed_request_ids())
        single_copies = sum(
            node.state.counters.by_name["billing.single_copy"]
            for node in (
                *self.fleet.nodes.values(),
                *self.fleet.killed_nodes.values(),
            )
        )
        latencies = sorted(self.latencies_s) or [0.0]
        return {
            "answered": len(self.answered),
            "missing": len(self.answered - set(bills)),
            "double": sum(count > 1 for count in bills.values()),
            "kept_on_one_node_only": single_copies,
            "latency_p50_s": latencies[len(latencies) // 2],
            "latency_p95_s": latencies[int(len(latencies) * 0.95)],
            "log_appends": self.fleet.log.appends,
        }


def _append_before_answering(node: app.Node) -> None:
    """Makes a node append each bill before it answers, as the baseline does.

    An append whose reply is lost is sent once more, as a bill with a new id.
    """

    async def add(bill: bill_messages.Bill) -> None:
        for _ in range(2):
            bill_id = node.state.environment.new_id()
            row = bill._replace(bill_id=bill_id).row()
            entry = bill_messages.build_entry(bill_id, 0, [row])
            if await _append(node.log, entry):
                return
        raise errors.RefusalError(
            reasons.RefusalReason.LOG_UNAVAILABLE,
            "not billed",
            verdicts.RunVerdict.RAN,
        )

    node.billing.add = add  # type: ignore[method-assign]


async def _append(
    log: interfaces.LogClient, entry: interfaces.NewEntry
) -> bool:
    try:
        await log.append(bill_messages.STREAM, [entry])
    except errors.LogUnavailableError:
        return False
    return True


async def _run_scenario(seed: int, is_baseline: bool) -> dict[str, float]:
    phases = ("calm", "lost", "kill", "outage", "kill-outage", "kill-lost")
    async with harness.Fleet(seed) as fleet:
        await fleet.add_service("s1", "z1", deployments.LAKESHORE.service)
        scenario = _Scenario(fleet, seed, is_baseline)
        for index in range(_NODES_PER_ZONE * len(_ZONES)):
            await scenario.add_node(f"n{index}", _ZONES[index % len(_ZONES)])
        records = deployments.records(deployments.LAKESHORE)
        await fleet.wait_applied(await fleet.publish(*records))
        await fleet.wait_upstreams()
        for phase in phases:
            await scenario.run_phase(phase)
        await scenario.settle()
        return scenario.figures()


def _buffer_mb_at_bound(seed: int) -> float:
    """Returns the memory that own and replicated bills take at their bounds.

    It is extrapolated from rows of a usual size.
    """
    environment = clocks.seeded(seed)
    buffer = bill_buffer.BillBuffer()
    for _ in range(_SAMPLE_ROWS):
        bill = bill_messages.Bill(
            f"{environment.random.getrandbits(96):024x}",
            f"{environment.random.getrandbits(128):032x}",
            f"lakeshore-{environment.random.randrange(10)}",
            environment.random.choice(["case-summary", "reply-note"]),
            "drafter@full-1",
            environment.random.randrange(2_000),
            round(environment.random.random(), 6),
        )
        buffer.add(bill.row())
    return 2 * billing.MAX_ROWS * buffer.byte_count / _SAMPLE_ROWS / 1e6


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings of both fleets; `scale` has no effect."""
    del scale
    figures = await _run_scenario(seed, False)
    figures["buffer_mb_at_bound"] = _buffer_mb_at_bound(seed)
    baseline = await _run_scenario(seed, True)
    return report.Findings(figures, "append at the end", baseline)
