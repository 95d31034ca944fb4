"""Protobuf encoding of the messages that replicate bills to other nodes."""

from lycheegw.coordination import bill_messages
from lycheegw.protocol.pb import bills_pb2

__all__ = ["CODEC"]


def _encode_request(request: bill_messages.ReplicateRequest) -> bytes:
    return bytes(bills_pb2.Keep(**request._asdict()).SerializeToString())


def _decode_request(payload: bytes) -> bill_messages.ReplicateRequest:
    message = bills_pb2.Keep.FromString(payload)
    return bill_messages.ReplicateRequest(
        message.owner_run,
        message.logged_seq,
        message.first_seq,
        list(message.rows),
    )


def _encode_reply(reply: bill_messages.ReplicateReply) -> bytes:
    return bytes(bills_pb2.Kept(**reply._asdict()).SerializeToString())


def _decode_reply(payload: bytes) -> bill_messages.ReplicateReply:
    message = bills_pb2.Kept.FromString(payload)
    return bill_messages.ReplicateReply(message.is_kept, message.next_seq)


CODEC = bill_messages.Codec(
    _encode_request, _decode_request, _encode_reply, _decode_reply
)
