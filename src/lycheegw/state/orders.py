"""Types of operators' orders and of roll-out outcomes, as in the store."""

from collections.abc import Callable
import enum
from typing import NamedTuple

from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = [
    "Codec",
    "Order",
    "RolloutOrder",
    "RolloutOutcome",
    "RolloutState",
    "ZoneClosure",
]


class RolloutState(enum.Enum):
    """State of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(NamedTuple):
    """Order to move a service's traffic to upstreams of a version.

    Attributes:
        service: Name of the service.
        version: Target version.
        duration_s: Time that the roll-out should take.
    """

    service: str
    version: str
    duration_s: float


class RolloutOutcome(NamedTuple):
    """State of a roll-out, as nodes write it to the store."""

    service: str
    version: str
    state: RolloutState


class ZoneClosure(NamedTuple):
    """Order to send no new work to the upstreams of a zone."""

    zone: str


Order = routing.Manifest | RolloutOrder | ZoneClosure


class Codec(NamedTuple):
    """Functions that decode and encode records of the store.

    Attributes:
        decode_order: Returns an order, or None for an unknown key.
        decode_outcome: Returns an outcome, or None for an unknown key.
        encode_outcome: Returns the key and the value of an outcome.
        decode_upstream: Returns the entry of an upstream.
    """

    decode_order: Callable[[str, bytes], Order | None]
    decode_outcome: Callable[[str, bytes], RolloutOutcome | None]
    encode_outcome: Callable[[RolloutOutcome], tuple[str, bytes]]
    decode_upstream: Callable[[str, bytes], upstreams.HostEntry]
