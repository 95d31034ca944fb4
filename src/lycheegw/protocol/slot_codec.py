"""Messages between nodes on the slots of cold upstreams."""

from collections.abc import Sequence

from lycheegw.coordination import cold_detection
from lycheegw.coordination import slot_grantor
from lycheegw.protocol.pb import slots_pb2

__all__ = [
    "decode_asks",
    "decode_leases",
    "decode_signs",
    "encode_asks",
    "encode_leases",
    "encode_signs",
]


def encode_asks(asks: Sequence[slot_grantor.SlotRequest]) -> bytes:
    """Returns the message of a borrower."""
    values = [slots_pb2.Ask(**ask._asdict()) for ask in asks]
    return slots_pb2.Asks(asks=values).SerializeToString()


def decode_asks(payload: bytes) -> list[slot_grantor.SlotRequest]:
    """Returns the asks; raises google.protobuf.message.DecodeError."""
    return [
        slot_grantor.SlotRequest(
            ask.upstream_id, ask.wanted, ask.held, ask.cold_age_s
        )
        for ask in slots_pb2.Asks.FromString(payload).asks
    ]


def encode_leases(leases: Sequence[slot_grantor.SlotLease]) -> bytes:
    """Returns the reply of a grantor."""
    values = [slots_pb2.Lease(**lease._asdict()) for lease in leases]
    return slots_pb2.Leases(leases=values).SerializeToString()


def decode_leases(payload: bytes) -> list[slot_grantor.SlotLease]:
    """Returns the leases; raises google.protobuf.message.DecodeError."""
    return [
        slot_grantor.SlotLease(lease.upstream_id, lease.slots)
        for lease in slots_pb2.Leases.FromString(payload).leases
    ]


def encode_signs(signs: Sequence[cold_detection.ColdSign]) -> bytes:
    """Returns the delta of a node."""
    values = [slots_pb2.Sign(**sign._asdict()) for sign in signs]
    return slots_pb2.Signs(signs=values).SerializeToString()


def decode_signs(payload: bytes) -> list[cold_detection.ColdSign]:
    """Returns the signs; raises google.protobuf.message.DecodeError."""
    return [
        cold_detection.ColdSign(sign.upstream_id, sign.age_s, sign.slow)
        for sign in slots_pb2.Signs.FromString(payload).signs
    ]
