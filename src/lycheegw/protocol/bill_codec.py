"""Protobuf form of the messages about bills."""

from lycheegw.coordination import bill_messages
from lycheegw.protocol.pb import bills_pb2

__all__ = ["CODEC"]


def _encode_keep(keep: bill_messages.ReplicateRequest) -> bytes:
    return bytes(bills_pb2.Keep(**keep._asdict()).SerializeToString())


def _decode_keep(payload: bytes) -> bill_messages.ReplicateRequest:
    message = bills_pb2.Keep.FromString(payload)
    return bill_messages.ReplicateRequest(
        message.owner_run,
        message.logged_seq,
        message.first_seq,
        list(message.rows),
    )


def _encode_kept(kept: bill_messages.ReplicateReply) -> bytes:
    return bytes(bills_pb2.Kept(**kept._asdict()).SerializeToString())


def _decode_kept(payload: bytes) -> bill_messages.ReplicateReply:
    message = bills_pb2.Kept.FromString(payload)
    return bill_messages.ReplicateReply(message.is_kept, message.next_seq)


CODEC = bill_messages.Codec(
    _encode_keep, _decode_keep, _encode_kept, _decode_kept
)
