"""A request that crashes runners comes again after a rolling restart."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parents[1] / "target/review-2"))
import harness  # noqa: E402

ZONES = ("tartu-a", "tartu-b", "voru-a")
NODES = 8
BODY = b'{"claim": "the one that crashes"}'
# Work until the crash, and time until the runner is back.
WORK_S = 0.8
BACK_S = 3.0
CONTACT_S = 3.0
GAP_S = 1.3
MAX_LATE = 3


class Fleet:
    """Runners of one service that crash on one body."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.runners = []
        self.reached = []
        self.crashes_s = []
        self._number = 0
        self._tasks = set()

    async def add(self, zone):
        self._number += 1
        runner = CrashingRunner(f"i-app-{self._number}", "dealer-app", zone)
        runner.fleet = self
        await runner.start()
        self.runners.append(runner)
        await self.store.put("keyed.servers", runner.name, runner.entry())

    def crash(self, runner):
        if runner not in self.runners:
            return
        self.runners.remove(runner)
        self.crashes_s.append(time.monotonic())
        self.record.note(f"runner {runner.name} crashed")
        runner.stop()
        task = asyncio.create_task(self._replace(runner))
        self._tasks.add(task)

    async def _replace(self, runner):
        await asyncio.sleep(BACK_S)
        await self.add(runner.zone)
        await asyncio.sleep(0.6)
        # Three heartbeats after its last one.
        await self.store.delete("keyed.servers", runner.name)


class CrashingRunner(harness.Runner):
    """Crashes on BODY."""

    async def run(self, request, attempt, writer):
        if request.body != BODY:
            await super().run(request, attempt, writer)
            return
        self.fleet.reached.append((time.monotonic(), attempt, self.name))
        self.fleet.record.note(f"runner {self.name} begins {attempt}")
        await asyncio.sleep(WORK_S)
        self.fleet.crash(self)


async def wave(record, nodes, text):
    """Sends the request once to each node, within 0.6 s."""

    async def send(number, node):
        await asyncio.sleep(0.6 * number / len(nodes))
        attempt = harness.new_attempt()
        sent_s = time.monotonic()
        answer = await harness.call(
            node.front,
            "/claim/7",
            attempt,
            "POST",
            BODY,
            {"X-Lycheegw-Deadline-Ms": "2500"},
        )
        record.note(
            f"{text}: {attempt} at {node.name}: {answer.status}"
            f" after {time.monotonic() - sent_s:.2f} s"
        )

    await asyncio.gather(*(send(*each) for each in enumerate(nodes)))


async def roll(record, nodes):
    """Stops and starts the nodes in turn, one each GAP_S."""

    async def restart(number, node):
        await asyncio.sleep(GAP_S * number)
        record.note(f"SIGTERM to {node.name}")
        node.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), 8.0)
        except TimeoutError:
            await node.kill()
        await node.start()
        if not await node.wait_ready():
            raise RuntimeError(f"{node.name} isn't ready")
        record.note(f"{node.name} is ready again")

    await asyncio.gather(*(restart(*each) for each in enumerate(nodes)))


async def main(record, folder, has_trouble, nodes):
    store = harness.Store()
    await store.start()
    fleet = Fleet(store, record)
    for zone in ZONES:
        await fleet.add(zone)
    services = [
        {"name": "dealer-app", "health_path": "/healthz", "max_connections": 110}
    ]
    routes = [
        harness.route(
            "claim-order",
            "/claim/",
            "unsafe",
            "dealer-app",
            timeout_ms=2500,
            target_latency_ms=200,
            max_attempts=1,
        )
    ]
    await store.put("keyed.op", "config", harness.manifest(routes, services))
    beats = asyncio.create_task(harness.heartbeats(store, fleet.runners))
    for number, ip in enumerate(harness.addresses(NODES)):
        zone = ZONES[number % len(ZONES)]
        name = f"edge-{zone}-{number}"
        nodes.append(harness.Node(name, ip, folder, store.address, zone))
    await asyncio.gather(*(node.start() for node in nodes))
    for node in nodes:
        if not await node.wait_ready():
            raise RuntimeError("a node isn't ready")
    await asyncio.sleep(5.0)
    await wave(record, nodes, "first wave")
    await asyncio.sleep(BACK_S + CONTACT_S)
    if len(fleet.crashes_s) < 3:
        raise RuntimeError("the request didn't crash three runners")
    third_s = sorted(fleet.crashes_s)[2]
    await wave(record, nodes, "second wave")
    await asyncio.sleep(32.0)
    if has_trouble:
        await roll(record, nodes)
    else:
        await asyncio.sleep(GAP_S * NODES + 4.0)
    await asyncio.sleep(CONTACT_S + 2.0)
    for node in nodes:
        answer = await harness.call(node.front, "/claim/7", "", "POST", b"sound")
        record.note(f"a sound request at {node.name}: {answer.status}")
    await wave(record, nodes, "third wave")
    beats.cancel()
    late = [each for each in fleet.reached if each[0] > third_s + CONTACT_S]
    record.note(
        f"{len(late)} retries reached runners later than contact_ms after the"
        f" third crash; {MAX_LATE} may"
    )
    return len(late) > MAX_LATE


harness.run(main, RECORD, HAS_TROUBLE)
