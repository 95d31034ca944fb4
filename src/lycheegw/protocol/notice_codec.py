"""Protobuf encoding of the limits of upstreams that nodes exchange."""

from lycheegw.coordination import upstream_notices
from lycheegw.protocol.pb import notices_pb2

__all__ = ["CODEC"]


def _encode(limits: list[upstream_notices.HeardLimit]) -> bytes:
    message = notices_pb2.News(
        limits=[
            notices_pb2.RateLimit(
                host_id=each.process.host_id,
                started_ms=each.process.started_ms,
                per_s=each.per_s,
                age_ms=max(0, int(each.age_s * 1000)),
            )
            for each in limits
        ]
    )
    return bytes(message.SerializeToString())


def _decode(payload: bytes) -> list[upstream_notices.HeardLimit]:
    return [
        upstream_notices.HeardLimit(
            upstream_notices.Process(each.host_id, each.started_ms),
            each.per_s if each.HasField("per_s") else None,
            each.age_ms / 1000,
        )
        for each in notices_pb2.News.FromString(payload).limits
    ]


CODEC = upstream_notices.Codec(_encode, _decode)
