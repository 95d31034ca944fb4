"""The manifest: routes, services, API keys and limits on requests."""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import NamedTuple

__all__ = [
    "Backend",
    "CallerLimits",
    "Engine",
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


class Manifest(NamedTuple):
    """One complete version of the configuration.

    Attributes:
        version: Number that grows with each change, by one or more.
        routes_by_host: Routes of each host, the longest prefix first.
        service_by_name: Services by name.
        organisation_by_key: Owners of API keys; None if no key is required.
        limits: Limits on requests.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[Route]]
    service_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation] | None
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: Sequence[Route]) -> dict[str, list[Route]]:
    """Returns the routes of each host, the longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda each: -len(each.prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    return routes_by_host
