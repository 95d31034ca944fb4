"""A machine is partitioned from all runners; one that serves its clients stops.

ORDER: a stream ends as complete before its last piece.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import platform_world as world  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
# Both machines of zone-a are partitioned: the channels of the first one are
# reset, those of the second one live on while new ones are refused. The third
# machine gets no requests, so that it opens no channels.
NODE_ZONES = ("zone-a", "zone-a", "zone-b")
KEY = "key-acme"
EVENTS = 40
EVENT_S = 0.25
TIMEOUT_S = 15.0
STREAMS = 6
# Streams run for this long before the other machine gets SIGTERM.
BEFORE_TERM_S = 1.0
PROMPT = {
    "X-Lycheegw-Model": "model-1",
    "X-Lycheegw-Token-Usage": "900,200",
    "X-Lycheegw-Prompt-Prefix": "aa01:700,bb02:200",
}


class StreamRunner(world.Runner):
    """A runner whose streams have no length and end with their channel.

    Attributes:
        is_listening: Whether it accepts channels.
        finished: Ids of the streams that it wrote to their end.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.finished = set()
        self._writers_by_node = {}

    def cut_from(self, node):
        """Resets the channels of a machine, and accepts no new ones."""
        self._server.close()
        for writer in self._writers_by_node.pop(node, ()):
            writer.transport.abort()

    async def accept_again(self):
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))

    async def run(self, message, request_id, writer):
        node = message.fields.get("x-test-node", "")
        self._writers_by_node.setdefault(node, set()).add(writer)
        if not message.target.startswith("/ask/"):
            await asyncio.sleep(0.05)
            head = {
                **self.answer_fields(request_id),
                "Keep-Alive": "timeout=30",
            }
            writer.write(world.answer(200, head, b"{}"))
            await writer.drain()
            return True
        first = int(message.fields.get("last-event-id", "0")) + 1
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.answer_fields(request_id).items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + b"Connection: close\r\n\r\n")
        for number in range(first, EVENTS + 1):
            writer.write(b"id: %d\ndata: token %d\n\n" % (number, number))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(EVENT_S)
        self.finished.add(request_id)
        self._journal.note("stream_whole", runner=self.name, id=request_id)
        return False


def manifest():
    services = [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_connections": 300,
            "engine": {
                "slots": 48,
                "kv_capacity": 366057,
                "models": [{"name": "model-1", "cost": 0.01}],
            },
        }
    ]
    more = {
        "timeout_ms": TIMEOUT_S * 1000,
        "target_latency_ms": 4000,
        "target_gap_ms": 800,
        "resumable": True,
        "sticky": True,
    }
    routes = [
        world.route("look", "/look/", "safe", "llm"),
        world.route("ask", "/ask/", "streaming", "llm", **more),
    ]
    return world.manifest(1, routes, services, {"acme": [KEY]})


async def case(journal, has_trouble):
    store = world.Store(journal)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        await store.start()
        runners = [
            StreamRunner(f"r-{at}", "llm", zone, store, journal)
            for at, zone in enumerate(ZONES)
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
            await world.start_nodes(nodes)
            return await play(journal, has_trouble, runners, nodes)
        finally:
            for node in nodes:
                await node.end()
            for runner in runners:
                await runner.stop()
            await store.stop()


async def look(node, number):
    more = {"X-Test-Node": node.name}
    return await world.send(
        node.front, f"/look/{number}", KEY, world.new_id(), more=more
    )


async def ask(node, journal):
    request_id = world.new_id()
    more = {
        **PROMPT,
        "X-Test-Node": node.name,
        "X-Lycheegw-Prompt-Prefix": f"aa01:700,{request_id[-6:]}:200",
    }
    begun_s = time.monotonic()
    journal.note("sent", node=node.name, id=request_id)
    reply = await world.send(
        node.front, "/ask/1", KEY, request_id, "POST", b"q", more, TIMEOUT_S
    )
    pieces = reply.body.count(b"\n\n")
    journal.note(
        "stream_answered",
        node=node.name,
        id=request_id,
        status=reply.status,
        whole=reply.is_whole,
        pieces=pieces,
        of=EVENTS,
        taken_s=round(time.monotonic() - begun_s, 2),
    )
    return reply, pieces


async def play(journal, has_trouble, runners, nodes):
    cut_node, other, _ = nodes
    # Both machines have kept channels to the runners.
    for node in (cut_node, other):
        for _ in range(3):
            replies = await asyncio.gather(*(look(node, n) for n in range(24)))
            if any(each.status != 200 for each in replies):
                raise world.CannotRunError("a calm request was not served")
    await asyncio.sleep(4.0)
    if has_trouble:
        journal.note("zone_partitioned_from_runners", zone=cut_node.zone)
        for runner in runners:
            runner.cut_from(cut_node.name)
    streams = [
        asyncio.create_task(ask(cut_node, journal)) for _ in range(STREAMS)
    ]
    await asyncio.sleep(BEFORE_TERM_S)
    journal.note("sigterm", node=other.name)
    other.signal(signal.SIGTERM)
    results = await asyncio.gather(*streams)
    if has_trouble:
        for runner in runners:
            await runner.accept_again()
        journal.note("partition_ends")
    served = [each for each in results if each[0].status == 200]
    short = [
        pieces
        for reply, pieces in served
        if reply.is_whole and pieces < EVENTS
    ]
    journal.text(f"streams sent: {len(results)}, begun: {len(served)}")
    journal.text(
        f"ended as complete before the last of {EVENTS} pieces:"
        f" {len(short)}, after {sorted(short)} pieces"
    )
    for line in cut_node.log_events("relay", "upstreams_unreachable"):
        journal.note("node_log", node=cut_node.name, line=line)
    for line in other.log_events("drain", "stop"):
        journal.note("node_log", node=other.name, line=line)
    if not served:
        raise world.CannotRunError("no stream was begun")
    return bool(short)


# Writes record.txt, whose path run.sh passes.
world.main(case)
