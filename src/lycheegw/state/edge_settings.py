"""Settings of a node that passes opaque requests on."""

from typing import NamedTuple

__all__ = ["METRICS_PORT", "Bounds", "EdgeSettings"]

# Port of the metrics page; deploy/system.toml names the same one.
METRICS_PORT = 9464


class Bounds(NamedTuple):
    """What a deployment's operators ask of all nodes together.

    Attributes:
        drain_s: New work stops within this after an upstream said it leaves.
        grace_s: Time from SIGTERM to SIGKILL.
        config_apply_s: A configuration is in force everywhere within this.
        retry_ratio: Further attempts allowed for each request.
        retry_window_s: Window over which they are counted.
        retry_slack: Further attempts allowed besides.
        exposure_share: Share of requests that a bad version may get.
        exposure_slack: Requests that it may get besides.
        rollback_s: Time from the 50th bad answer to the last request.
        cold_overage: Factor on what a cold upstream bears.
        cold_slack: Requests a second that it may get besides.
        event_deadline_s: Longest delay of an event of a stream.
        session_s: Longest gap between two requests of one session.
    """

    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    exposure_share: float
    exposure_slack: float
    rollback_s: float
    cold_overage: float
    cold_slack: float
    event_deadline_s: float
    session_s: float


class EdgeSettings(NamedTuple):
    """Settings of one node; addresses are "ip:port".

    Attributes:
        node_id: Name of the node.
        zone: Availability zone.
        region: Region of the zone.
        front: Where callers connect.
        ready: Where the balancer asks whether the node takes new work.
        peer: Where other nodes connect.
        metrics: Where the metrics page is served.
        store: The shared store.
        store_reads_per_s: Read calls that all nodes together may make.
        store_writes_per_s: Write calls that all nodes together may make.
        heartbeat_s: How often an upstream renews its entry.
        bounds: What all nodes together keep to.
    """

    node_id: str
    zone: str
    region: str
    front: str
    ready: str
    peer: str
    metrics: str
    store: str
    store_reads_per_s: float
    store_writes_per_s: float
    heartbeat_s: float
    bounds: Bounds
