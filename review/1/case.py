"""The store comes back from a copy some seconds old; then a key is withdrawn.

CONFIG: a request that was sent later than config_apply_ms after the
confirmation of a version is handled as only an older version allows.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import platform_world as world  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICES = [
    {"name": "desk", "health_path": "/healthz", "max_connections": 100},
    {"name": "desk-next", "health_path": "/healthz", "max_connections": 100},
]
CONFIG_APPLY_S = 2.0
# Share of the bound that is left out, for the way of a request to a node.
MARGIN_S = 0.5
AWAY_S = 1.0
COPY_AGE_S = 6.0
# The store is stable again contact_ms (3 s) after its return.
STABLE_AFTER_S = 6.0
OBSERVED_S = 12.0


def manifest(version, service, keys):
    routes = [world.route("look", "/look/", "safe", service)]
    return world.manifest(version, routes, SERVICES, keys)


class Operator:
    """Writes manifests, and writes the newest again if the store lost it."""

    def __init__(self, store, journal):
        self._store = store
        self._journal = journal
        self.newest = None

    async def write(self, value):
        self.newest = value
        offset = await self._store.put(
            "keyed.op", "config", json.dumps(value).encode(), "operator"
        )
        self._journal.note(
            "manifest_confirmed",
            version=value["version"],
            offset=offset,
            keys={each["name"]: each["api_keys"] for each in value["tenants"]},
            service=value["routes"][0]["service"],
        )
        return time.monotonic()

    async def evacuate(self, zone, seconds):
        """Orders an evacuation and takes it back."""
        key = f"evacuate/{zone}"
        value = b"{}"
        await self._store.put("keyed.op", key, value, "operator")
        self._journal.note("evacuation_ordered", zone=zone)
        await asyncio.sleep(seconds)
        await self._store.put("keyed.op", key, None, "operator")
        self._journal.note("evacuation_taken_back", zone=zone)

    async def write_again(self):
        found = self._store.current("keyed.op").get("config")
        if found is None or json.loads(found.value) != self.newest:
            await self.write(self.newest)


class Clients:
    """Sends requests with each key to each node at a steady rate."""

    def __init__(self, nodes, journal):
        self.sent = []
        self._nodes = nodes
        self._journal = journal

    async def run(self, keys, seconds, interval_s=0.2):
        end_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                for node in self._nodes:
                    for key in keys:
                        group.create_task(self._send(node, key))
                await asyncio.sleep(interval_s)

    async def _send(self, node, key):
        request_id, sent_s = world.new_id(), time.monotonic()
        self._journal.note("sent", node=node.name, key=key, id=request_id)
        reply = await world.send(node.front, "/look/1", key, request_id)
        self.sent.append((node.name, key, request_id, sent_s, reply.status))
        self._journal.note(
            "answered",
            node=node.name,
            key=key,
            id=request_id,
            status=reply.status,
            whole=reply.is_whole,
        )


async def case(journal, has_trouble):
    store = world.Store(journal)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        await store.start()
        runners = [
            world.Runner("r-desk-1", "desk", "zone-a", store, journal),
            world.Runner("r-desk-2", "desk", "zone-b", store, journal),
            world.Runner("r-next-1", "desk-next", "zone-a", store, journal),
            world.Runner("r-next-2", "desk-next", "zone-b", store, journal),
        ]
        nodes = []
        try:
            operator = Operator(store, journal)
            both = {"acme": ["key-acme"], "beta": ["key-beta"]}
            await operator.write(manifest(1, "desk", both))
            for runner in runners:
                await runner.start()
            network = world.free_network()
            nodes += [
                world.Node(at + 1, network, zone, ZONES, store.address, folder)
                for at, zone in enumerate(ZONES)
            ]
            await world.start_nodes(nodes)
            return await play(
                journal, has_trouble, store, runners, nodes, operator
            )
        finally:
            for node in nodes:
                await node.end()
            for runner in runners:
                await runner.stop()
            await store.stop()


async def play(journal, has_trouble, store, runners, nodes, operator):
    clients = Clients(nodes, journal)
    await clients.run(["key-acme", "key-beta"], COPY_AGE_S)
    if any(status != 200 for *_, status in clients.sent):
        raise world.CannotRunError("a calm request was not served")
    # A zone without runners is evacuated and taken back. Nothing of this stands
    # when the store comes back, so that there is nothing to write again.
    await operator.evacuate("zone-c", 2.0)
    await asyncio.sleep(1.0)
    if has_trouble:
        await store.drill(AWAY_S, COPY_AGE_S)
        await operator.write_again()
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(STABLE_AFTER_S)
    # Key of beta withdrawn, one of gamma added, the route moved.
    confirmed_s = await operator.write(
        manifest(
            12, "desk-next", {"acme": ["key-acme"], "gamma": ["key-gamma"]}
        )
    )
    before = len(clients.sent)
    await clients.run(["key-acme", "key-beta", "key-gamma"], OBSERVED_S)
    from_s = confirmed_s + CONFIG_APPLY_S + MARGIN_S
    counted = [each for each in clients.sent[before:] if each[3] >= from_s]
    runs = {run[0]: runner for runner in runners for run in runner.ran}
    dropped_key = old_service = refused = 0
    for _, key, request_id, _, status in counted:
        runner = runs.get(request_id)
        dropped_key += runner is not None and key == "key-beta"
        old_service += runner is not None and runner.service == "desk"
        refused += key == "key-gamma" and status in (401, 403, 404)
    journal.text(
        f"sent {CONFIG_APPLY_S + MARGIN_S} s and more after the confirmation"
        f" of version 12: {len(counted)} requests"
    )
    journal.text(f"run with a dropped key: {dropped_key}")
    journal.text(f"run by the old service: {old_service}")
    journal.text(f"refused with a key that the version has: {refused}")
    journal.text(
        f"calls of the nodes to the store: {dict(store.calls)},"
        f" turned away {store.turned_away}"
    )
    if not counted:
        raise world.CannotRunError("no request was counted")
    return bool(dropped_key or old_service or refused)


# Writes record.txt, whose path run.sh passes.
world.main(case)
