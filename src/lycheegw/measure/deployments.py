"""The two reference deployments: their records, hosts and traffic."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from lycheegw.measure import harness
from lycheegw.standins import engine

__all__ = [
    "ALLOWED_VERSIONS",
    "LAKESHORE",
    "METSATOO",
    "Deployment",
    "TrafficKind",
    "build",
    "cost_per_1k_tokens",
    "organisation_key",
    "quality_by_version",
    "records",
]

_ORGANISATIONS = 10
_LARGE_ORGANISATIONS = 2
_LARGE_WEIGHT = 4.0
_COLD_LIMIT = 4


class TrafficKind(NamedTuple):
    """One kind of request.

    Attributes:
        kind: Name of the kind, sent as a header.
        target: Model name, or "service/operation".
        share: Share of the deployment's requests, 0 to 1.
        tokens: Length of a model's answer, 0 for a service.
        is_streamed: Whether the answer is streamed.
        is_idempotent: Whether it may run more than once.
        cheapest_quality: Share of good answers of the cheapest version.
    """

    kind: str
    target: str
    share: float
    tokens: int = 0
    is_streamed: bool = False
    is_idempotent: bool = True
    cheapest_quality: float = 0.7


class Deployment(NamedTuple):
    """The installation of one user.

    Attributes:
        name: Name of the deployment.
        region: Name of the region.
        model: Name of its model.
        engines: Number of engines, spread over the zones.
        service: Name of its service.
        services: Number of service hosts, spread over the zones.
        nodes: Number of nodes, spread over the zones.
        quality_target: Share of good answers that organisations require.
        operations: Whether each operation of the service is idempotent.
        traffic: The mix of requests; shares add up to 1.
    """

    name: str
    region: str
    model: str
    engines: int
    service: str
    services: int
    nodes: int
    quality_target: float
    operations: Mapping[str, bool]
    traffic: tuple[TrafficKind, ...]

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the three availability zones."""
        return tuple(f"{self.region}-{letter}" for letter in "abc")


LAKESHORE = Deployment(
    "lakeshore",
    "lakes-east",
    "drafter",
    10,
    "deskapp",
    3,
    8,
    0.9,
    {"book-visit": False, "account-status": True},
    (
        TrafficKind(
            "case-summary", "drafter", 0.3, 40, True, cheapest_quality=0.6
        ),
        TrafficKind(
            "outage-explanation", "drafter", 0.15, 30, cheapest_quality=0.8
        ),
        TrafficKind("reply-note", "drafter", 0.25, 10, cheapest_quality=0.94),
        TrafficKind("account-status", "deskapp/account-status", 0.2),
        TrafficKind(
            "book-visit", "deskapp/book-visit", 0.1, is_idempotent=False
        ),
    ),
)

METSATOO = Deployment(
    "metsatoo",
    "ee-south",
    "assistant-llm",
    6,
    "dealer-app",
    3,
    7,
    0.85,
    {"warranty-claim": False, "parts-order": False, "stock": True},
    (
        TrafficKind(
            "diagnosis", "assistant-llm", 0.2, 50, cheapest_quality=0.6
        ),
        TrafficKind(
            "manual-summary",
            "assistant-llm",
            0.2,
            40,
            True,
            cheapest_quality=0.9,
        ),
        TrafficKind(
            "parts-question", "assistant-llm", 0.3, 8, cheapest_quality=0.93
        ),
        TrafficKind("stock", "dealer-app/stock", 0.2),
        TrafficKind(
            "warranty-claim",
            "dealer-app/warranty-claim",
            0.05,
            is_idempotent=False,
        ),
        TrafficKind(
            "parts-order", "dealer-app/parts-order", 0.05, is_idempotent=False
        ),
    ),
)

# Cost per 1,000 tokens and share of good answers of each version.
_VERSIONS = {
    "mini-1": (0.2, 0.7),
    "full-1": (1.0, 0.95),
    "full-2": (0.9, 0.96),
    "trial-9": (0.1, 0.99),
}
_DEFAULT_VERSION = "full-1"
_CHEAPEST_VERSION = "mini-1"

# The versions that organisations may use. Engines hold one more, to show that
# it never runs.
ALLOWED_VERSIONS = ("full-1", "full-2", "mini-1")


def organisation_key(deployment: Deployment, index: int) -> str:
    """Returns the API key of the organisation with this index."""
    return f"{deployment.name}-key-{index}"


def records(deployment: Deployment) -> list[dict[str, Any]]:
    """Returns the initial configuration records of a deployment."""
    versions = {
        version: {"cost_per_1k_tokens": cost}
        for version, (cost, _) in _VERSIONS.items()
    }
    operations = {
        name: {"is_idempotent": is_idempotent}
        for name, is_idempotent in deployment.operations.items()
    }
    return [
        harness.record(
            "model",
            deployment.model,
            {"default": _DEFAULT_VERSION, "versions": versions},
        ),
        harness.record(
            "service", deployment.service, {"operations": operations}
        ),
        *(
            harness.record("zone", zone, {"is_serving": True})
            for zone in deployment.zones
        ),
        *(_organisation(deployment, index) for index in range(_ORGANISATIONS)),
    ]


def _organisation(deployment: Deployment, index: int) -> dict[str, Any]:
    is_large = index < _LARGE_ORGANISATIONS
    return harness.record(
        "organisation",
        f"{deployment.name}-{index}",
        {
            "key_sha256": harness.key_sha256(
                organisation_key(deployment, index)
            ),
            "versions_by_model": {deployment.model: list(ALLOWED_VERSIONS)},
            "quality_target": deployment.quality_target,
            "weight": _LARGE_WEIGHT if is_large else 1.0,
        },
    )


def cost_per_1k_tokens(version: str) -> float:
    """Returns the cost per 1,000 tokens of a version."""
    return _VERSIONS[version][0]


def quality_by_version(deployment: Deployment) -> dict[str, float]:
    """Returns shares of good answers by version and by "kind/version"."""
    shares = {version: share for version, (_, share) in _VERSIONS.items()}
    for kind in deployment.traffic:
        shares[f"{kind.kind}/{_CHEAPEST_VERSION}"] = kind.cheapest_quality
    return shares


async def build(
    fleet: harness.Fleet,
    deployment: Deployment,
    platform_by_zone: Mapping[str, harness.Platform] | None = None,
) -> None:
    """Starts a deployment's hosts in `fleet` and publishes its records."""
    platform_by_zone = platform_by_zone or {}
    zones = deployment.zones
    qualities = quality_by_version(deployment)
    for index in range(deployment.engines):
        config = engine.EngineSettings(
            model=deployment.model,
            versions=tuple(_VERSIONS),
            quality_by_version=qualities,
            cold_limit=_COLD_LIMIT,
        )
        zone = zones[index % len(zones)]
        await fleet.add_engine(f"{deployment.model}-{index}", zone, config)
    for index in range(deployment.services):
        zone = zones[index % len(zones)]
        name = deployment.service
        await fleet.add_service(f"{name}-{index}", zone, name)
    for index in range(deployment.nodes):
        zone = zones[index % len(zones)]
        platform = platform_by_zone.get(zone)
        await fleet.add_node(f"node-{index}", zone, deployment.region, platform)
    await fleet.wait_applied(await fleet.publish(*records(deployment)))
    await fleet.wait_upstreams()
