"""Runs nodes with the adapter on loopback, with stand-ins of the platform."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import os
from typing import Any

from lycheegw import edge_app
from lycheegw.platform import main
from lycheegw.platform import settings_file
from lycheegw.state import clocks
from lycheegw.state import edge_settings
from lycheegw.transport import event_log
from tests.platform import platform_standins

# Seconds within which what tests wait for has to happen.
WAIT_S = 8.0
BOUNDS = """
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.9
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.exposure_share=0.15
bounds.exposure_slack=30
bounds.rollback_ms=5000
bounds.cold_overage=1.5
bounds.cold_slack=5
bounds.event_deadline_ms=120
bounds.session_s=5
"""


def settings_text(store: str, number: int = 1, zone: str = "z-a") -> str:
    """Returns the settings file of a node that binds to free ports."""
    return f"""node_name=node-{number}
role=router
ip=127.0.0.1
zone={zone}
region=r
listeners_map.front=127.0.0.1:0
listeners_map.ready=127.0.0.1:0
internal_ports=0,10
heartbeat_ms=1200
platform.address={store}
platform.writes_per_s=400
platform.reads_per_s=2000
unknown.field=1
{BOUNDS}"""


def settings(
    store: str, number: int = 1, zone: str = "z-a"
) -> edge_settings.EdgeSettings:
    """Returns the settings of a node that binds all listeners to free ports."""
    parsed = settings_file.parse(settings_text(store, number, zone))
    return parsed._replace(metrics_listen="127.0.0.1:0")


class Fleet:
    """The store, upstreams and nodes of a test."""

    def __init__(self, store: Any = None) -> None:
        self.store = store or platform_standins.Store()
        self.seen: list[platform_standins.ReceivedRequest] = []
        self.upstream_by_name: dict[str, platform_standins.Upstream] = {}
        self.nodes: list[edge_app.EdgeNode] = []

    def capture_request_events(
        self, node: edge_app.EdgeNode
    ) -> list[dict[str, Any]]:
        """Returns a list to which the node's request events are added."""
        lines: list[dict[str, Any]] = []

        def note(event: str, **fields: Any) -> None:
            lines.append({"event": event, **fields})

        forwarder = node.forwarder
        forwarder._dependencies = forwarder._dependencies._replace(note=note)
        attempts = forwarder.attempts
        attempts._dependencies = attempts._dependencies._replace(note=note)
        attempts._records._dependencies = attempts._dependencies
        return lines

    async def add_upstream(
        self, name: str, service: str, **changes: Any
    ) -> platform_standins.Upstream:
        """Starts an upstream and writes its entry to the store."""
        upstream = platform_standins.Upstream(
            name, self.seen, changes.pop("version", "v1")
        )
        await upstream.start()
        self.upstream_by_name[name] = upstream
        await self.store.put(
            "keyed.servers", name, upstream.entry(service, **changes)
        )
        return upstream

    async def add_node(self, zone: str = "z-a") -> edge_app.EdgeNode:
        """Starts a node and records its bound addresses in its settings."""
        number = len(self.nodes) + 1
        environment = clocks.seeded(number)
        null_descriptor = os.open(os.devnull, os.O_WRONLY)
        log = event_log.EventLog(
            f"node-{number}",
            environment.wall_s,
            environment.monotonic_s,
            null_descriptor,
        )
        node = edge_app.EdgeNode(
            settings(self.store.address, number, zone),
            main.ADAPTER,
            environment,
            log,
        )
        await node.start()
        node.settings = node.settings._replace(
            listen=node.server.address,
            readiness_listen=node.readiness_server.address,
            metrics_listen=node.metrics_server.address,
        )
        self.nodes.append(node)
        return node

    async def stop(self) -> None:
        for node in self.nodes:
            node.upstream_pool.close()
            await node.application.stop()
        for upstream in self.upstream_by_name.values():
            await upstream.stop()
        await self.store.stop()


async def wait_until(
    condition: Callable[[], bool], seconds: float = WAIT_S
) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def fleet(
    nodes: int = 1, manifest: dict[str, Any] | None = None, store: Any = None
) -> AsyncIterator[Fleet]:
    """Runs a fleet with two upstreams of each service.

    Args:
        nodes: Number of nodes.
        manifest: Manifest in force, None for that of the stand-ins.
        store: The store, None for one in the event loop of the nodes.
    """
    started = Fleet(store)
    await started.store.start()
    try:
        await started.store.put(
            "keyed.op", "config", manifest or platform_standins.manifest()
        )
        for name, service in (
            ("d1", "desk"),
            ("d2", "desk"),
            ("m1", "llm"),
            ("m2", "llm"),
        ):
            await started.add_upstream(name, service)
        for _ in range(nodes):
            await started.add_node()
        await wait_until(
            lambda: all(
                node.is_ready and len(node.state.upstreams.by_id) == 4
                for node in started.nodes
            )
        )
        yield started
    finally:
        await started.stop()
