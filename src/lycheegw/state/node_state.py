"""The state of one node; only its event loop may use it."""

from typing import NamedTuple

from lycheegw.state import catalog
from lycheegw.state import clocks
from lycheegw.state import counters
from lycheegw.state import limits
from lycheegw.state import sessions
from lycheegw.state import traces
from lycheegw.state import upstreams
from lycheegw.state import zone_traffic

__all__ = ["Identity", "NodeState", "create"]


class Identity(NamedTuple):
    """Name and location of a node."""

    node_id: str
    zone: str
    region: str


class NodeState(NamedTuple):
    """The state of one node; the tables are mutable, the tuple is not."""

    identity: Identity
    limits: limits.Limits
    environment: clocks.Environment
    catalog: catalog.Catalog
    upstreams: upstreams.UpstreamTable
    pins: sessions.SessionPins
    counters: counters.Counters
    traces: traces.Traces
    zone_traffic: zone_traffic.ZoneTraffic

    def trace(self, request_id: str, name: str, **details: object) -> None:
        """Adds an event to the trace of a request."""
        now_s = self.environment.monotonic_s()
        self.traces.add(request_id, now_s, name, **details)


def create(
    identity: Identity,
    node_limits: limits.Limits,
    environment: clocks.Environment,
) -> NodeState:
    """Returns the empty state of a node that starts."""
    return NodeState(
        identity,
        node_limits,
        environment,
        catalog.Catalog(),
        upstreams.UpstreamTable(),
        sessions.SessionPins(),
        counters.Counters(),
        traces.Traces(),
        zone_traffic.ZoneTraffic(identity.zone),
    )
