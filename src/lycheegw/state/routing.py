"""What callers may reach: routes, services, organisations and limits."""

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
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Backend(NamedTuple):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    Attributes:
        name: Label, unique within a manifest.
        host: Host name that requests ask for, in lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        target_s: Latency objective, to the first event for a stream.
        gap_s: Longest pause between events of a stream in good service.
        priority: 0 (first) upwards.
        max_attempts: Most upstreams that may run one request.
        is_public: Whether no API key is wanted.
        is_resumable: Whether a stream may go on at another upstream.
        models: Models to choose from, smallest first; empty where the
            caller names the model, or there is none.
        backends: Services that share the requests.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    models: tuple[str, ...]
    backends: tuple[Backend, ...]


class Engine(NamedTuple):
    """What the upstreams of a model service are made of.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: Tokens that fit into the memory of one upstream.
        cost_by_model: Cost of 1,000 generated tokens.
    """

    slots: int
    kv_tokens: int
    cost_by_model: Mapping[str, float]


class Service(NamedTuple):
    """A group of upstreams that are alike.

    Attributes:
        name: Identifier.
        health_path: Path of the health check.
        max_connections: Connections that one upstream takes from all nodes.
        cold_s: How long an upstream is cold after its start.
        cold_per_s: Requests a second that a cold upstream bears.
        engine: What runs models there, None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float
    engine: Engine | None


class CallerLimits(NamedTuple):
    """Bounds on what callers send.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body.
        header_timeout_s: Longest time that a head may take.
        idle_timeout_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(NamedTuple):
    """Who holds an API key; `priority` goes before that of a route."""

    name: str
    priority: int | None


class Manifest(NamedTuple):
    """One version of the configuration, whole.

    Attributes:
        version: Grows with each change, in uneven steps.
        routes_by_host: Routes of each host, the longest prefix first.
        service_by_name: Services.
        organisation_by_key: Holders of API keys; None where no key is asked.
        limits: Bounds on callers.
    """

    version: int
    routes_by_host: Mapping[str, Sequence[Route]]
    service_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation] | None
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins `path`."""
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
