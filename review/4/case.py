"""Eleven of the twelve machines of a zone are partitioned from all runners.

RECOVER: clients' first tries at these machines are served less than two thirds
as often as those at the others.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import platform_world as world  # noqa: E402

ZONES = ("zone-a", "zone-b")
NODE_ZONES = ("zone-a",) * 12 + ("zone-b",) * 2
# Machines of zone-a that are partitioned, most but not all: as fewer than half
# of the zone's are in rotation, the platform goes on using all of them.
CUT_COUNT = 11
KEY = "key-acme"
CONTACT_S = 3.0
CUT_S = 8.0


class CutRunner(world.Runner):
    """A runner that can be cut off from the machines of a zone.

    It can't tell machines apart before they send a request. While it is cut
    off it therefore accepts no channel of anybody; the other machines go on
    with the channels that they have.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.work_s = 0.03
        self._writers_by_node = {}

    def cut_from(self, names):
        self._server.close()
        for name in names:
            for writer in self._writers_by_node.pop(name, ()):
                writer.transport.abort()

    async def accept_again(self):
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))

    async def run(self, message, request_id, writer):
        node = message.fields.get("x-test-node", "")
        self._writers_by_node.setdefault(node, set()).add(writer)
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {request_id}".encode()
        head = {**self.answer_fields(request_id), "Keep-Alive": "timeout=60"}
        writer.write(world.answer(200, head, body))
        await writer.drain()
        return True


class Clients:
    """Sends requests to each machine at a steady rate, each a first try."""

    def __init__(self, nodes, journal):
        self.sent = []
        self._nodes = nodes
        self._journal = journal

    async def run(self, seconds, interval_s=0.6):
        end_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                for node in self._nodes:
                    group.create_task(self._send(node))
                await asyncio.sleep(interval_s)

    async def _send(self, node):
        request_id, sent_s = world.new_id(), time.monotonic()
        self._journal.note("sent", node=node.name, id=request_id)
        reply = await world.send(
            node.front,
            "/look/1",
            KEY,
            request_id,
            more={"X-Test-Node": node.name},
        )
        self.sent.append((node, sent_s, reply.status == 200))
        self._journal.note(
            "answered",
            node=node.name,
            id=request_id,
            status=reply.status,
            body=reply.body[:120].decode("latin-1")
            if reply.status != 200
            else "",
        )


def manifest():
    services = [
        {"name": "desk", "health_path": "/healthz", "max_connections": 600}
    ]
    routes = [world.route("look", "/look/", "safe", "desk")]
    return world.manifest(1, routes, services, {"acme": [KEY]})


async def case(journal, has_trouble):
    store = world.Store(journal)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        await store.start()
        runners = [
            CutRunner(f"r-{at}", "desk", ZONES[at % 2], store, journal)
            for at in range(4)
        ]
        nodes = []
        try:
            value = json.dumps(manifest()).encode()
            await store.put("keyed.op", "config", value, "operator")
            for runner in runners:
                await runner.start()
            network = world.free_network()
            nodes += [
                world.Node(at + 1, network, zone, ZONES, store.address, folder)
                for at, zone in enumerate(NODE_ZONES)
            ]
            await world.start_nodes(nodes, 40)
            return await play(journal, has_trouble, runners, nodes)
        finally:
            for node in nodes:
                await node.end()
            for runner in runners:
                await runner.stop()
            await store.stop()


async def warm_up(node, count):
    """Has a machine open that many channels to the runners."""
    replies = await asyncio.gather(
        *(
            world.send(
                node.front,
                f"/look/{number}",
                KEY,
                world.new_id(),
                more={"X-Test-Node": node.name},
            )
            for number in range(count)
        )
    )
    if any(each.status != 200 for each in replies):
        raise world.CannotRunError("a calm request was not served")


async def play(journal, has_trouble, runners, nodes):
    cut, others = nodes[:CUT_COUNT], nodes[CUT_COUNT:]
    for node in others:
        await warm_up(node, 80)
    clients = Clients(nodes, journal)
    await clients.run(5.0)
    if not all(is_served for *_, is_served in clients.sent):
        raise world.CannotRunError("a calm request was not served")
    clients.sent.clear()
    journal.note("partition_begins", zone="zone-a", machines=len(cut))
    begun_s = time.monotonic()
    if has_trouble:
        for runner in runners:
            runner.cut_from([node.name for node in cut])
    await clients.run(CUT_S)
    journal.note("partition_ends")
    if has_trouble:
        for runner in runners:
            await runner.accept_again()
    counted = [each for each in clients.sent if each[1] >= begun_s + CONTACT_S]
    at_cut = [each[2] for each in counted if each[0] in cut]
    at_others = [each[2] for each in counted if each[0] in others]
    share = sum(at_cut) / len(at_cut)
    others_share = sum(at_others) / len(at_others)
    failed = at_cut.count(False)
    allowed = 10 + len(counted) / 50
    journal.text(
        f"first tries from contact_ms after the cut began: {len(at_cut)} at the"
        f" partitioned machines, {len(at_others)} at the others"
    )
    journal.text(
        f"served: {share:.2f} at the partitioned machines, {others_share:.2f}"
        " at the others"
    )
    journal.text(f"failed there: {failed}, bound {allowed:.1f}")
    for node in nodes:
        relays = [each["outcome"] for each in node.log_events("relay")]
        journal.note(
            "node_log",
            node=node.name,
            relays={each: relays.count(each) for each in sorted(set(relays))},
            unreachable=len(node.log_events("upstreams_unreachable")),
        )
    if others_share < 0.95:
        raise world.CannotRunError("the other machines were disturbed, too")
    return bool(share < others_share * 2 / 3 and failed > allowed)


# Writes record.txt, whose path run.sh passes.
world.main(case)
