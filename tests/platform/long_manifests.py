"""Long manifests, and nodes that lose the store, for tests."""

from collections.abc import Iterable
import random
from typing import Any

from lycheegw import edge_app
from lycheegw.state import errors
from lycheegw.state import topics
from tests.platform import fleet_harness
from tests.platform import platform_standins

WITHDRAWN_KEY = "key-to-withdraw"


def manifest(version: int, routes: int, **changes: Any) -> dict[str, Any]:
    """Returns a manifest with many routes besides those of the stand-ins.

    Names are drawn at random, as on real installations, so that compression
    gains no more than it does there.
    """
    names = random.Random(1)
    long = platform_standins.manifest(version, **changes)
    template = long["routes"][0]
    long["routes"] += [
        {
            **template,
            "name": f"r-{names.randbytes(6).hex()}",
            "hostname": f"{names.randbytes(4).hex()}.example",
            "path_prefix": f"/{names.randbytes(5).hex()}/",
        }
        for _ in range(routes)
    ]
    return long


def tenants(*keys: str) -> list[dict[str, Any]]:
    """Returns the tenants of a manifest, of which one has these keys."""
    return [
        {
            "name": "acme",
            "api_keys": [platform_standins.API_KEY, *keys],
            "priority": 1,
        }
    ]


async def publish(
    fleet: fleet_harness.Fleet, version: int, routes: int, *keys: str
) -> None:
    """Writes a manifest of which one tenant has these keys besides its own."""
    await fleet.store.put(
        "keyed.op",
        "config",
        manifest(version, routes, tenants=tenants(*keys)),
    )


async def wait_for_version(
    nodes: Iterable[edge_app.EdgeNode],
    number: int,
    seconds: float = fleet_harness.WAIT_S,
) -> None:
    """Waits until a version of the manifest is in force at all nodes."""
    await fleet_harness.wait_until(
        lambda: all(version(node) == number for node in nodes), seconds
    )


async def status_of_withdrawn_key(node: edge_app.EdgeNode) -> int:
    """Returns the status of a request with the withdrawn key."""
    reply = await platform_standins.send_request(
        node.settings.listen, "/look/1", headers={"Api-Key": WITHDRAWN_KEY}
    )
    assert reply is not None
    return reply.status


def cut_off_store(node: edge_app.EdgeNode) -> None:
    """Makes all reads of a node fail."""

    async def fail(*_: object) -> topics.TopicPage:
        raise errors.StoreError("refused by the store")

    node.store.newest = fail  # type: ignore[method-assign]
    node.store.changes = fail  # type: ignore[method-assign]


def version(node: edge_app.EdgeNode) -> int:
    """Returns the version of the manifest in force, -1 without one."""
    in_force = node.directory.manifest
    return -1 if in_force is None else in_force.version
