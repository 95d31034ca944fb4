"""The manifest: routes, services, API keys and limits on requests."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import NamedTuple

__all__ = [
    "Backend",
    "CallerLimits",
    "Engine",
    "HostRoutes",
    "Manifest",
    "Organisation",
    "RequestKind",
    "Route",
    "Service",
    "index_routes",
]


class RequestKind(enum.Enum):
    """What may be repeated if the outcome of a request is unknown."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests for one host and path prefix.

    Attributes:
        name: Label, unique within a manifest.
        host: Requested host name, in lower case.
        prefix: Path prefix, which starts and ends with a slash.
        kind: What may be repeated.
        timeout_s: Time limit of a request, unless the client's deadline is
            earlier.
        target_latency_s: Target latency; for a stream, of its first event.
        target_gap_s: Target for the longest gap between two events of a stream.
        priority: Priority of its requests; 0 is the highest.
        max_attempts: Maximum number of upstreams tried for one request.
        is_public: Whether requests need no API key.
        is_resumable: Whether another upstream may continue a stream.
        models: Models to choose from, smallest first; empty if the client
            names the model, or there is none.
        backends: Services among which requests are distributed.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    models: tuple[str, ...]
    backends: tuple[Backend, ...]


class Engine(NamedTuple):
    """Properties of each upstream of a model service.

    Attributes:
        slots: Requests that can run at once.
        kv_tokens: Tokens that fit into the KV cache of one upstream.
        cost_by_model: Cost of 1,000 generated tokens, by model.
    """

    slots: int
    kv_tokens: int
    cost_by_model: Mapping[str, float]


class Service(NamedTuple):
    """A group of interchangeable upstreams.

    Attributes:
        name: Name, unique within a manifest.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts from all nodes.
        cold_s: Seconds for which an upstream is cold after its start.
        cold_per_s: Requests a second that a cold upstream can take.
        engine: Properties of the model engines, None without models.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float
    engine: Engine | None


class CallerLimits(NamedTuple):
    """Limits on the requests of clients.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a body.
        header_timeout_s: Time within which a request head must arrive.
        idle_timeout_s: Longest time between two requests on a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(NamedTuple):
    """The owner of an API key; `priority`, if set, overrides a route's."""

    name: str
    priority: int | None


class HostRoutes(NamedTuple):
    """The routes of one host.

    Attributes:
        prefix_lengths: Lengths of the prefixes, without repetition, the
            longest first.
        route_by_prefix: Routes by their prefix.
    """

    prefix_lengths: Sequence[int]
    route_by_prefix: Mapping[str, Route]

    def find(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        for length in self.prefix_lengths:
            route = self.route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class Manifest(NamedTuple):
    """One complete version of the configuration.

    Attributes:
        version: Number that grows with each change, by one or more.
        routes_by_host: Routes of each host.
        service_by_name: Services by name.
        organisation_by_key: Owners of API keys; None if no key is required.
        limits: Limits on requests.
    """

    version: int
    routes_by_host: Mapping[str, HostRoutes]
    service_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation] | None
    limits: CallerLimits

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return sum(
            len(each.route_by_prefix) for each in self.routes_by_host.values()
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        routes = self.routes_by_host.get(host.lower())
        return None if routes is None else routes.find(path)


def index_routes(routes: Iterable[Route]) -> dict[str, HostRoutes]:
    """Returns the routes of each host; of equal prefixes, the first counts."""
    by_prefix_by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_prefix = by_prefix_by_host.setdefault(route.host, {})
        by_prefix.setdefault(route.prefix, route)
    return {
        host: HostRoutes(
            sorted(set(map(len, by_prefix)), reverse=True), by_prefix
        )
        for host, by_prefix in by_prefix_by_host.items()
    }
