"""Protobuf form of what nodes tell each other of backlogs."""

from lycheegw.coordination import backlogs
from lycheegw.protocol.pb import backlogs_pb2

__all__ = ["CODEC"]


def _encode(claims: list[backlogs.Claim]) -> bytes:
    news = backlogs_pb2.News(
        claims=[
            backlogs_pb2.Claim(
                node_id=claim.node_id,
                started_ms=claim.started_ms,
                sequence=claim.sequence,
                age_ms=max(0, int(claim.age_s * 1000)),
                backlogs=[
                    backlogs_pb2.Backlog(
                        upstream=upstream,
                        milliseconds=max(0, int(seconds * 1000)),
                    )
                    for upstream, seconds in claim.seconds_by_upstream.items()
                ],
            )
            for claim in claims
        ]
    )
    return bytes(news.SerializeToString())


def _decode(payload: bytes) -> list[backlogs.Claim]:
    return [
        backlogs.Claim(
            claim.node_id,
            claim.started_ms,
            claim.sequence,
            claim.age_ms / 1000,
            {
                each.upstream: each.milliseconds / 1000
                for each in claim.backlogs
            },
        )
        for claim in backlogs_pb2.News.FromString(payload).claims
    ]


CODEC = backlogs.Codec(_encode, _decode)
