"""Settings of a node that forwards opaque HTTP requests."""

from typing import NamedTuple

__all__ = ["METRICS_PORT", "EdgeSettings", "LoadSettings", "ServiceLevels"]

# Port of the metrics page; deploy/system.toml names the same one.
METRICS_PORT = 9464


class ServiceLevels(NamedTuple):
    """Service levels that all nodes of a deployment must meet together.

    Attributes:
        drain_s: Time from the notice that an upstream leaves to its last new
            request.
        grace_s: Time from SIGTERM to SIGKILL.
        config_apply_s: Time until a configuration is effective on all nodes.
        retry_ratio: Additional attempts allowed for each request.
        retry_window_s: Window over which these attempts are counted.
        retry_slack: Attempts allowed on top of the ratio.
        exposure_share: Share of requests that a bad version may get.
        exposure_slack: Requests that it may get in addition to the share.
        rollback_s: Time from a bad version's 50th bad answer to its last
            request.
        cold_overage: Factor on the request rate that a cold upstream can take.
        cold_slack: Requests a second that it may get in addition.
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


class LoadSettings(NamedTuple):
    """What decisions under load go by.

    Attributes:
        crossing_s: Wait in seconds that a request may have in its own zone
            before it goes to another one.
        crossing_s_per_mb: The same for each megabyte of its body, in addition.
        late_worth: Worth of a late answer to its caller, as a part of one in
            time (0 to 1).
    """

    crossing_s: float = 0.1
    crossing_s_per_mb: float = 2.0
    late_worth: float = 0.6


class EdgeSettings(NamedTuple):
    """Settings of one node; addresses are "ip:port".

    Attributes:
        node_id: Name of the node.
        zone: Availability zone.
        region: Region of the zone.
        listen: Address for requests of clients.
        readiness_listen: Address for readiness checks of the load balancer.
        peer_listen: Address for streams of other nodes.
        metrics_listen: Address of the metrics page.
        store_address: Address of the shared store.
        store_reads_per_s: Read calls that all nodes together may make.
        store_writes_per_s: Write calls that all nodes together may make.
        heartbeat_s: Interval at which an upstream renews its entry.
        memory_mb: Megabytes that the process may use.
        service_levels: Service levels of the deployment.
        load: What decisions under load go by.
    """

    node_id: str
    zone: str
    region: str
    listen: str
    readiness_listen: str
    peer_listen: str
    metrics_listen: str
    store_address: str
    store_reads_per_s: float
    store_writes_per_s: float
    heartbeat_s: float
    memory_mb: float
    service_levels: ServiceLevels
    load: LoadSettings = LoadSettings()
