"""Protobuf encoding of relayed requests and of their responses."""

from collections.abc import Iterable
from typing import Any

from lycheegw.coordination import interfaces
from lycheegw.protocol.pb import peer_pb2
from lycheegw.state import errors
from lycheegw.state import forwarded_requests

__all__ = ["decode_part", "decode_request", "encode_part", "encode_request"]


def encode_request(
    incoming: forwarded_requests.IncomingRequest, time_left_s: float
) -> Any:
    """Returns the message for a request that a peer is to serve."""
    return peer_pb2.RelayedRequest(
        method=incoming.method,
        target=incoming.target,
        headers=_encode_headers(incoming.headers),
        body=incoming.body,
        time_left_s=time_left_s,
    )


def decode_request(
    message: Any, now_s: float
) -> forwarded_requests.IncomingRequest:
    """Returns a relayed request; raises errors.PeerMessageError."""
    if not message.time_left_s > 0:
        raise errors.PeerMessageError(f"time left {message.time_left_s} s")
    return forwarded_requests.IncomingRequest(
        message.method,
        message.target,
        _decode_headers(message.headers),
        message.body,
        now_s,
        False,
        message.time_left_s,
    )


def encode_part(part: interfaces.RelayedPart) -> Any:
    """Returns the message for a part of a response."""
    return peer_pb2.RelayedPart(
        status=part.status,
        headers=_encode_headers(part.headers),
        has_length=part.content_length is not None,
        content_length=part.content_length or 0,
        data=part.data,
        is_end=part.is_end,
        is_declined=part.is_declined,
    )


def decode_part(message: Any) -> interfaces.RelayedPart:
    """Returns a part of a response."""
    return interfaces.RelayedPart(
        message.status,
        _decode_headers(message.headers),
        message.content_length if message.has_length else None,
        message.data,
        message.is_end,
        message.is_declined,
    )


def _encode_headers(headers: forwarded_requests.Headers) -> list[Any]:
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _decode_headers(headers: Iterable[Any]) -> forwarded_requests.Headers:
    return tuple((each.name, each.value) for each in headers)
