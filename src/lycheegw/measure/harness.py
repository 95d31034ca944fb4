"""Runs a fleet of real nodes and stand-ins on loopback, in one process."""

import asyncio
from collections.abc import Collection
from collections.abc import Mapping
import functools
import hashlib
import json
from typing import Any
from typing import NamedTuple

from lycheegw import app
from lycheegw.coordination import bill_messages
from lycheegw.protocol import settings
from lycheegw.standins import engine
from lycheegw.standins import hosts
from lycheegw.standins import log
from lycheegw.standins import ratings
from lycheegw.standins import service
from lycheegw.standins import weights
from lycheegw.state import clocks
from lycheegw.transport import http_client

__all__ = ["Fleet", "Platform", "Reply", "key_sha256", "record"]

_ANY_PORT = "127.0.0.1:0"
_SECRETS = {
    "peer_key": "rig-peer-key-0123456789",
    "session_key": "rig-session-key-0123456789",
    "operator_key": "rig-operator-key-0123456789",
}
_DEFAULT_LIMITS = {"http_threads": 4, "readiness_linger_s": 0}
_READY_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.02


class Reply(NamedTuple):
    """A whole HTTP response as a caller received it.

    Attributes:
        status: HTTP status.
        header_by_name: Headers, names in lower case.
        body: Raw body.
        latency_s: Seconds from the send to the last byte.
    """

    status: int
    header_by_name: Mapping[str, str]
    body: bytes
    latency_s: float

    def json(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)

    @property
    def refusal_reason(self) -> str:
        """Reason of a refusal, empty for status 200."""
        if self.status == 200:
            return ""
        return str(self.json()["error"]["reason"])


class Platform(NamedTuple):
    """Endpoints of the platform's log and host list.

    Several may serve the same data, each with faults of its own.
    """

    log: log.LogStandIn
    hosts: hosts.HostsStandIn

    def set_faults(self, changes: Mapping[str, Any]) -> None:
        """Sets faults of both endpoints."""
        for endpoint in self:
            endpoint.set_faults(changes)


def key_sha256(key: str) -> str:
    """Returns the digest of an API key as it stands in records."""
    return hashlib.sha256(key.encode()).hexdigest()


def record(
    kind: str,
    name: str,
    body: Mapping[str, Any],
    replaces: int = 0,
    record_id: str | None = None,
    schema: int = 2,
) -> dict[str, Any]:
    """Returns a configuration record as an operator writes it."""
    return {
        "schema": schema,
        "id": record_id or f"{kind}-{name}-{replaces + 1}",
        "kind": kind,
        "name": name,
        "replaces": replaces,
        "body": dict(body),
    }


class Fleet:
    """Nodes and stand-ins that find each other through the host list.

    Attributes:
        nodes: Running nodes by id.
        killed_nodes: Killed nodes by id.
        engines: Engine stand-ins by host id.
        services: Service stand-ins by host id.
    """

    def __init__(self, seed: int = 1, node_limits: Mapping[str, Any] = {}):
        self._seed = seed
        self._node_limits = _DEFAULT_LIMITS | dict(node_limits)
        self.log = log.LogStandIn(_ANY_PORT)
        self.hosts = hosts.HostsStandIn(_ANY_PORT)
        self.ratings = ratings.RatingsStandIn(_ANY_PORT, seed)
        self.weights = weights.WeightsStandIn(_ANY_PORT)
        self._nodes_started = 0
        self.nodes: dict[str, app.Node] = {}
        self.killed_nodes: dict[str, app.Node] = {}
        self.engines: dict[str, engine.EngineStandIn] = {}
        self.services: dict[str, service.ServiceStandIn] = {}
        self._isolated_ids: frozenset[str] = frozenset()
        self._endpoints: list[log.LogStandIn | hosts.HostsStandIn] = []

    async def __aenter__(self) -> "Fleet":
        for standin in (self.log, self.hosts, self.ratings, self.weights):
            await standin.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        standins = [
            *self.engines.values(),
            *self.services.values(),
            *self._endpoints,
            self.log,
            self.hosts,
            self.ratings,
            self.weights,
        ]
        await asyncio.gather(*(standin.stop() for standin in standins))

    async def add_engine(
        self, host_id: str, zone: str, config: engine.EngineSettings
    ) -> engine.EngineStandIn:
        """Starts an engine stand-in and adds it to the host list."""
        started = engine.EngineStandIn(config)
        await started.start()
        self.engines[host_id] = started
        self._add_host(host_id, "engine", config.model, started.address, zone)
        return started

    async def add_service(
        self, host_id: str, zone: str, name: str
    ) -> service.ServiceStandIn:
        """Starts a service stand-in and adds it to the host list."""
        config = service.ServiceSettings(name=name)
        started = service.ServiceStandIn(config)
        await started.start()
        self.services[host_id] = started
        self._add_host(host_id, "service", name, started.address, zone)
        return started

    def _add_host(
        self, host_id: str, role: str, pool: str, address: str, zone: str
    ) -> None:
        self.hosts.put(
            {
                "host_id": host_id,
                "role": role,
                "pool": pool,
                "address": address,
                "zone": zone,
                "is_leaving": False,
                "honours_fencing": True,
            }
        )

    async def add_platform(self) -> Platform:
        """Starts further endpoints of log and host list, with own faults."""
        platform = Platform(
            log.LogStandIn(_ANY_PORT, self.log),
            hosts.HostsStandIn(_ANY_PORT, shared=self.hosts),
        )
        self._endpoints += platform
        for endpoint in platform:
            await endpoint.start()
        return platform

    def partition(self, node_ids: Collection[str]) -> None:
        """Cuts the links between these nodes and all others.

        Nodes that are added later can't reach them either.
        """
        self._isolated_ids = frozenset(node_ids)
        for node in self.nodes.values():
            for link in node.peers.links():
                if not node.peers.is_reachable(link.peer.node_id):
                    link.close()

    def heal_partition(self) -> None:
        """Lets all nodes reach each other again."""
        self._isolated_ids = frozenset()

    def _is_linked(self, one_id: str, other_id: str) -> bool:
        return (one_id in self._isolated_ids) == (
            other_id in self._isolated_ids
        )

    def node_settings(
        self,
        node_id: str,
        zone: str,
        region: str,
        platform: Platform | None = None,
    ) -> settings.NodeSettings:
        """Returns the settings of a node of this fleet.

        The node uses `platform`, by default the fleet's own endpoints.
        """
        platform = platform or Platform(self.log, self.hosts)
        return settings.parse_node(
            {
                "node_id": node_id,
                "zone": zone,
                "region": region,
                "listen": _ANY_PORT,
                "peer_listen": _ANY_PORT,
                "platform": {
                    "log": platform.log.address,
                    "hosts": platform.hosts.address,
                    "weights": self.weights.address,
                    "ratings": self.ratings.address,
                },
                "secrets": _SECRETS,
                "limits": self._node_limits,
            }
        )

    async def add_node(
        self,
        node_id: str,
        zone: str,
        region: str = "lakes-east",
        platform: Platform | None = None,
    ) -> app.Node:
        """Starts a node that uses `platform` and adds it to the host list."""
        self._nodes_started += 1
        environment = clocks.seeded(self._seed + self._nodes_started)
        node = app.Node(
            self.node_settings(node_id, zone, region, platform), environment
        )
        node.peers.is_reachable = functools.partial(self._is_linked, node_id)
        await node.start()
        self.nodes[node_id] = node
        self._add_host(node_id, "node", "", node.peers.address, zone)
        return node

    async def stop_node(self, node_id: str) -> None:
        """Shuts a node down gracefully and removes it from the host list."""
        node = self.nodes[node_id]
        await node.stop()
        del self.nodes[node_id]
        self.hosts.remove(node_id)

    def upstream_standins(
        self,
    ) -> Mapping[str, engine.EngineStandIn | service.ServiceStandIn]:
        """Returns the upstream stand-ins by host id."""
        return {**self.engines, **self.services}

    def bills(self) -> list[bill_messages.Bill]:
        """Returns the first bill of each bill id, in log order.

        Later bills with the same id are copies and don't count.
        """
        first_by_id: dict[str, bill_messages.Bill] = {}
        for entry in self.log.stream(bill_messages.STREAM).entries:
            for row in entry["data"]["bills"]:
                bill = bill_messages.Bill(*row)
                first_by_id.setdefault(bill.bill_id, bill)
        return list(first_by_id.values())

    def billed_request_ids(self) -> list[str]:
        """Returns the request id of each bill of `bills`, in their order."""
        return [bill.request_id for bill in self.bills()]

    async def flush_bills(self) -> None:
        """Makes each node append its bills to the log now."""
        await asyncio.gather(
            *(node.billing.flush() for node in self.nodes.values())
        )

    async def kill_node(self, node_id: str) -> None:
        """Kills a node; it stays in the host list, which lags."""
        node = self.nodes.pop(node_id)
        self.killed_nodes[node_id] = node
        await node.kill()

    def set_leaving(self, host_id: str) -> None:
        """Marks a host as leaving in the host list."""
        self.hosts.put(self.hosts.host_by_id[host_id] | {"is_leaving": True})

    async def publish(self, *records: Mapping[str, Any]) -> int:
        """Appends records to the log; returns the offset of the last one."""
        stream = self.log.stream("configuration")
        for value in records:
            stream.append({"entry_id": value["id"], "data": value})
        return stream.next_offset - 1

    async def wait_applied(self, offset: int) -> None:
        """Waits until each node has applied the records up to `offset`."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while any(
                node.state.catalog.offset < offset
                for node in self.nodes.values()
            ):
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_upstreams(self) -> None:
        """Waits until each node has a load report of each upstream."""
        count = len(self.engines) + len(self.services)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(
                _reported_count(node) >= count for node in self.nodes.values()
            ):
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def call(
        self,
        node: app.Node,
        path: str,
        body: Any,
        key: str,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Reply:
        """Sends a request to a node; returns the whole reply.

        Raises:
            errors.UpstreamError: No whole reply came.
        """
        sent_headers = {"authorization": f"Bearer {key}", **(headers or {})}
        begin_s = node.state.environment.monotonic_s()
        response = await http_client.fetch(
            node.address,
            "POST",
            path,
            timeout_s,
            sent_headers,
            json.dumps(body).encode(),
        )
        latency_s = node.state.environment.monotonic_s() - begin_s
        return Reply(
            response.status, response.header_by_name, response.body, latency_s
        )


def _reported_count(node: app.Node) -> int:
    """Returns the number of upstreams that `node` has a load report of."""
    return sum(
        upstream.report is not None
        for upstream in node.state.upstreams.by_id.values()
    )
