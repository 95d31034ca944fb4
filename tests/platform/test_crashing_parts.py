"""Prompts of which one part crashes each upstream that begins to answer."""

import asyncio
import random
import time
from typing import NamedTuple

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins

# Time after the fifth crash from which nodes have to know of the part.
CONTACT_S = 3.0
# Crashes after which the bound on further requests holds.
KNOWN_CRASHES = 5
# Requests with the part that may reach upstreams after that.
MAX_LATER_ARRIVALS = 3
# Share of the usual rate at which requests without the part are answered.
MIN_SERVED_SHARE = 0.5
# Time for which a crashed upstream is away.
RESTART_S = 2.0
_CRASH_PART = "dead"
_UPSTREAMS = 10


class _Sent(NamedTuple):
    """A request that a client sent, and the status of its response.

    Attributes:
        kind: "crashing", "shared" (its first part is in crashing ones, too) or
            "other".
        sent_s: Monotonic second at which it was sent.
        status: Status of the response, 0 if it broke off.
    """

    kind: str
    sent_s: float
    status: int


class _Load:
    """Upstreams that crash on a part, and a steady load on all nodes."""

    def __init__(self, fleet: fleet_harness.Fleet) -> None:
        self.fleet = fleet
        self.sent: list[_Sent] = []
        self.crashed_s: list[float] = []
        self._random = random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def add_upstreams(self) -> None:
        for name in ("m1", "m2"):
            await self.fleet.store.delete("keyed.servers", name)
        for number in range(_UPSTREAMS):
            await self._add_upstream(f"c{number}")
        await fleet_harness.wait_until(
            lambda: all(
                len(node.state.upstreams.by_id) == _UPSTREAMS + 2
                and len(node.peers.live_nodes()) == len(self.fleet.nodes)
                for node in self.fleet.nodes
            ),
            20.0,
        )

    async def _add_upstream(self, name: str) -> None:
        upstream = await self.fleet.add_upstream(name, "llm")
        upstream.crash_part = _CRASH_PART
        upstream.delay_s = 0.1
        upstream.on_crash = self._note_crash

    def _note_crash(self, upstream: platform_standins.Upstream) -> None:
        self.crashed_s.append(time.monotonic())
        self._spawn(self._restart(upstream))

    async def _restart(self, upstream: platform_standins.Upstream) -> None:
        """Replaces a crashed process by another one."""
        await asyncio.sleep(RESTART_S)
        await self.fleet.store.delete("keyed.servers", upstream.name)
        await self._add_upstream(f"{upstream.name}-r")

    async def run(self, seconds: float, per_s: float) -> None:
        """Sends requests of each kind to random nodes."""
        end_s = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end_s:
            number += 1
            for kind, first, second in (
                ("crashing", "first", _CRASH_PART),
                ("shared", "first", f"topic-{number % 7}"),
                ("other", f"other-{number % 7}", f"topic-{number % 5}"),
            ):
                prompt = f"{first}:700,{second}:100,own-{kind}-{number}:90"
                self._spawn(self._send(kind, prompt))
            await asyncio.sleep(1 / per_s)
        await asyncio.sleep(2.0)
        for task in list(self._tasks):
            task.cancel()

    async def _send(self, kind: str, prompt: str) -> None:
        sent_s = time.monotonic()
        node = self._random.choice(self.fleet.nodes)
        reply = await platform_standins.send_request(
            node.settings.listen,
            "/ask/1",
            "POST",
            prompt.encode(),
            {
                "X-Lycheegw-Model": "*",
                "X-Lycheegw-Token-Usage": "900,50",
                "X-Lycheegw-Prompt-Prefix": prompt,
            },
        )
        assert reply is not None
        self.sent.append(
            _Sent(kind, sent_s, reply.status if reply.is_whole else 0)
        )

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def arrivals_after(self, from_s: float) -> int:
        """Returns how often the part reached upstreams after a time."""
        return sum(
            platform_standins.has_part(each.header_by_name, _CRASH_PART)
            for each in self.fleet.seen
            if each.received_s > from_s
        )

    def served_share(self, kind: str, from_s: float) -> float:
        """Returns the share of requests answered at their first attempt."""
        statuses = [
            each.status
            for each in self.sent
            if each.kind == kind and each.sent_s > from_s
        ]
        assert len(statuses) >= 20
        return statuses.count(200) / len(statuses)


# Guards against a prompt part that crashes one upstream after the other, and
# against the refusal of requests that share the rest of their prompts with it.
@pytest.mark.parametrize("nodes", [3, 12])
async def test_part_that_crashes_upstreams_is_blocked_on_all_nodes(
    nodes: int,
) -> None:
    async with fleet_harness.fleet(nodes=nodes) as fleet:
        load = _Load(fleet)
        await load.add_upstreams()
        await load.run(seconds=12.0, per_s=10.0)
        known_s = load.crashed_s[:KNOWN_CRASHES][-1]
        assert load.arrivals_after(known_s + CONTACT_S) <= MAX_LATER_ARRIVALS
        for kind in ("shared", "other"):
            share = load.served_share(kind, known_s + 2 * CONTACT_S)
            assert share >= MIN_SERVED_SHARE
