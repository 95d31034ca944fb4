"""Protobuf encoding of the messages about slots of cold upstreams."""

from collections.abc import Sequence

from lycheegw.coordination import cold_detection
from lycheegw.coordination import slot_grantor
from lycheegw.protocol.pb import slots_pb2

__all__ = [
    "decode_cold_signs",
    "decode_leases",
    "decode_requests",
    "encode_cold_signs",
    "encode_leases",
    "encode_requests",
]


def encode_requests(requests: Sequence[slot_grantor.SlotRequest]) -> bytes:
    """Returns the encoded requests of a holder."""
    values = [slots_pb2.Ask(**request._asdict()) for request in requests]
    return slots_pb2.Asks(asks=values).SerializeToString()


def decode_requests(payload: bytes) -> list[slot_grantor.SlotRequest]:
    """Returns the requests; raises google.protobuf.message.DecodeError."""
    return [
        slot_grantor.SlotRequest(
            request.upstream_id,
            request.wanted,
            request.held,
            request.cold_age_s,
        )
        for request in slots_pb2.Asks.FromString(payload).asks
    ]


def encode_leases(leases: Sequence[slot_grantor.SlotLease]) -> bytes:
    """Returns the encoded leases of a grantor."""
    values = [slots_pb2.Lease(**lease._asdict()) for lease in leases]
    return slots_pb2.Leases(leases=values).SerializeToString()


def decode_leases(payload: bytes) -> list[slot_grantor.SlotLease]:
    """Returns the leases; raises google.protobuf.message.DecodeError."""
    return [
        slot_grantor.SlotLease(lease.upstream_id, lease.slots)
        for lease in slots_pb2.Leases.FromString(payload).leases
    ]


def encode_cold_signs(signs: Sequence[cold_detection.ColdSign]) -> bytes:
    """Returns the encoded signs of cold upstreams."""
    values = [slots_pb2.Sign(**sign._asdict()) for sign in signs]
    return slots_pb2.Signs(signs=values).SerializeToString()


def decode_cold_signs(payload: bytes) -> list[cold_detection.ColdSign]:
    """Returns the signs; raises google.protobuf.message.DecodeError."""
    return [
        cold_detection.ColdSign(sign.upstream_id, sign.age_s, sign.slow)
        for sign in slots_pb2.Signs.FromString(payload).signs
    ]
