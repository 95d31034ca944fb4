"""Protobuf encoding of the messages by which nodes exchange configuration."""

from typing import Any

from google.protobuf import message

from lycheegw.coordination import catalog_updater
from lycheegw.coordination import config_exchange
from lycheegw.coordination import config_progress
from lycheegw.protocol.pb import configuration_pb2
from lycheegw.state import errors

__all__ = [
    "EXCHANGE_CODEC",
    "decode_progress",
    "encode_progress",
]

_MAX_APPLIED = 64


def encode_progress(progress: config_progress.ProgressUpdate) -> bytes:
    """Returns the encoded progress update."""
    applied = [
        configuration_pb2.Applied(**each._asdict()) for each in progress.applied
    ]
    encoded = configuration_pb2.Progress(
        offset=progress.offset, applied=applied
    )
    return bytes(encoded.SerializeToString())


def decode_progress(payload: bytes) -> config_progress.ProgressUpdate:
    """Returns the decoded update; raises errors.PeerMessageError."""
    decoded = _parse(configuration_pb2.Progress(), payload)
    applied = tuple(
        config_progress.AppliedOffset(
            each.node_id, each.offset, each.reported_at_s
        )
        for each in decoded.applied[:_MAX_APPLIED]
    )
    return config_progress.ProgressUpdate(decoded.offset, applied)


def _encode_request(request: config_exchange.Request) -> bytes:
    encoded = configuration_pb2.Request(**request._asdict())
    return bytes(encoded.SerializeToString())


def _decode_request(payload: bytes) -> config_exchange.Request:
    decoded = _parse(configuration_pb2.Request(), payload)
    return config_exchange.Request(
        decoded.after, decoded.snapshot_offset, decoded.part
    )


def _encode_reply(reply: config_exchange.Reply) -> bytes:
    entries = [
        configuration_pb2.Entry(**entry._asdict()) for entry in reply.entries
    ]
    encoded = configuration_pb2.Reply(
        entries=entries,
        snapshot_offset=reply.snapshot_offset,
        parts=reply.parts,
        part=reply.part,
    )
    return bytes(encoded.SerializeToString())


def _decode_reply(payload: bytes) -> config_exchange.Reply:
    decoded = _parse(configuration_pb2.Reply(), payload)
    entries = tuple(
        catalog_updater.TailEntry(entry.offset, entry.at_s, entry.data)
        for entry in decoded.entries
    )
    return config_exchange.Reply(
        entries, decoded.snapshot_offset, decoded.parts, decoded.part
    )


def _parse(decoded: Any, payload: bytes) -> Any:
    try:
        decoded.ParseFromString(payload)
    except message.DecodeError as error:
        raise errors.PeerMessageError(str(error)) from error
    return decoded


EXCHANGE_CODEC = config_exchange.Codec(
    _encode_request, _decode_request, _encode_reply, _decode_reply
)
