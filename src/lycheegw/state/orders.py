"""What operators ask of the nodes, and what becomes of it."""

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
    "ZoneClosed",
]


class RolloutState(enum.Enum):
    """How far a roll-out has come."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(NamedTuple):
    """Asks that a service's traffic move to upstreams of a version.

    Attributes:
        service: Which service.
        version: Version that its upstreams shall have.
        duration_s: Time in which that shall be done.
    """

    service: str
    version: str
    duration_s: float


class RolloutOutcome(NamedTuple):
    """What the nodes report of a roll-out."""

    service: str
    version: str
    state: RolloutState


class ZoneClosed(NamedTuple):
    """Asks that upstreams of a zone get no new work."""

    zone: str


Order = routing.Manifest | RolloutOrder | ZoneClosed


class Codec(NamedTuple):
    """How records of the store are read and written.

    Attributes:
        decode_order: Returns an order, None for an unknown key.
        decode_outcome: Returns an outcome, None for an unknown key.
        encode_outcome: Returns the key and the value of an outcome.
        decode_upstream: Returns the entry of an upstream.
    """

    decode_order: Callable[[str, bytes], Order | None]
    decode_outcome: Callable[[str, bytes], RolloutOutcome | None]
    encode_outcome: Callable[[RolloutOutcome], tuple[str, bytes]]
    decode_upstream: Callable[[str, bytes], upstreams.HostEntry]
