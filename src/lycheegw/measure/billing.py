"""Bills over nodes that die, lost answers of the log and its outage."""

import asyncio
import collections
import random

from lycheegw import app
from lycheegw.coordination import bill_buffer
from lycheegw.coordination import bill_messages
from lycheegw.coordination import billing
from lycheegw.coordination import interfaces
from lycheegw.measure import deployments
from lycheegw.measure import report
from lycheegw.measure import rig
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import reasons

__all__ = ["run"]

_ZONES = ("z1", "z2", "z3")
_NODES_PER_ZONE = 2
_RATE_PER_S = 30.0
_PHASE_S = 2.0
_RESENT_SHARE = 0.1
_LIST_LAG_S = 1.0
_PROBE_ROWS = 10_000


class _Trial:
    """One fleet and what its callers were told."""

    def __init__(self, fleet: rig.Fleet, seed: int, is_baseline: bool):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.is_baseline = is_baseline
        self.answered: set[str] = set()
        self.latencies_s: list[float] = []

    async def add_node(self, node_id: str, zone: str) -> None:
        """Starts a node."""
        node = await self.fleet.add_node(node_id, zone)
        if self.is_baseline:
            _append_at_the_end(node)

    async def look_up(self, request_id: str) -> None:
        """Sends a look-up to any node, now and then to two of them."""
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
        """Sends look-ups for a while with the failure in the middle."""
        self.fleet.log.set_faults(
            {"is_dead": "outage" in name, "loses_append_answers": False}
        )
        callers = []
        for index in range(int(_RATE_PER_S * _PHASE_S)):
            callers.append(asyncio.create_task(self.look_up(f"{name}-{index}")))
            await asyncio.sleep(1 / _RATE_PER_S)
            if index == int(_RATE_PER_S * _PHASE_S / 2):
                await self._break_something(name)
        await asyncio.gather(*callers)

    async def _break_something(self, name: str) -> None:
        if "lost" in name:
            self.fleet.log.set_faults({"loses_append_answers": True})
        if "kill" in name:
            await self._replace_node()

    async def _replace_node(self) -> None:
        """Kills a node that has just answered."""
        node_id = self.random.choice(sorted(self.fleet.nodes))
        zone = self.fleet.nodes[node_id].state.identity.zone
        await self.fleet.kill_node(node_id)
        await self.add_node(f"{node_id}-next", zone)
        loop = asyncio.get_running_loop()
        loop.call_later(_LIST_LAG_S, self.fleet.hosts.remove, node_id)

    async def settle(self) -> None:
        """Ends all faults and has owners and guards write what they hold.

        The patience of guards with silent nodes is not waited for.
        """
        self.fleet.log.set_faults(
            {"is_dead": False, "loses_append_answers": False}
        )
        await self.fleet.flush_bills()
        for node in self.fleet.nodes.values():
            await node.guard.release_all()

    def figures(self) -> dict[str, float]:
        """Returns what came out."""
        bills = collections.Counter(self.fleet.billed_request_ids())
        single = sum(
            node.state.counters.by_name["billing.single_copy"]
            for node in (
                *self.fleet.nodes.values(),
                *self.fleet.killed.values(),
            )
        )
        latencies = sorted(self.latencies_s) or [0.0]
        return {
            "answered": len(self.answered),
            "missing": len(self.answered - set(bills)),
            "double": sum(count > 1 for count in bills.values()),
            "kept_on_one_node_only": single,
            "latency_p50_s": latencies[len(latencies) // 2],
            "latency_p95_s": latencies[int(len(latencies) * 0.95)],
            "log_appends": self.fleet.log.appends,
        }


def _append_at_the_end(node: app.Node) -> None:
    """Gives a node the baseline: each bill is appended before its answer.

    An append whose answer is lost is sent once more as a bill of its own.
    """

    async def add(bill: bill_messages.Bill) -> None:
        for _ in range(2):
            bill_id = node.state.environment.new_id()
            row = bill._replace(bill_id=bill_id).row()
            entry = bill_messages.entry_of(bill_id, 0, [row])
            if await _append(node.log, entry):
                return
        raise errors.RefusalError(
            reasons.RefusalReason.LOG_UNAVAILABLE, "not billed"
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


async def _run_trial(seed: int, is_baseline: bool) -> dict[str, float]:
    phases = ("calm", "lost", "kill", "outage", "kill-outage", "kill-lost")
    async with rig.Fleet(seed) as fleet:
        await fleet.add_service("s1", "z1", deployments.LAKESHORE.service)
        trial = _Trial(fleet, seed, is_baseline)
        for index in range(_NODES_PER_ZONE * len(_ZONES)):
            await trial.add_node(f"n{index}", _ZONES[index % len(_ZONES)])
        records = deployments.records(deployments.LAKESHORE)
        await fleet.wait_applied(await fleet.publish(*records))
        await fleet.wait_upstreams()
        for phase in phases:
            await trial.run_phase(phase)
        await trial.settle()
        return trial.figures()


def _buffer_mb_at_bound(seed: int) -> float:
    """Returns the memory of both bounds full, from rows as they come."""
    environment = clocks.seeded(seed)
    buffer = bill_buffer.BillBuffer()
    for _ in range(_PROBE_ROWS):
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
    return 2 * billing.MAX_ROWS * buffer.byte_count / _PROBE_ROWS / 1e6


async def run(seed: int, scale: float) -> report.Findings:
    """Runs the measure; `scale` does not change it."""
    del scale
    figures = await _run_trial(seed, False)
    figures["buffer_mb_at_bound"] = _buffer_mb_at_bound(seed)
    baseline = await _run_trial(seed, True)
    return report.Findings(figures, "append at the end", baseline)
