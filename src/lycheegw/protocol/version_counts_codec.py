"""Protobuf encoding of counts per version that nodes send to a collector."""

from collections.abc import Sequence

from google.protobuf import message

from lycheegw.coordination import version_counts
from lycheegw.protocol.pb import evidence_pb2
from lycheegw.state import errors

__all__ = ["decode", "encode"]

_MAX_ROWS = 4096


def encode(rows: Sequence[version_counts.CountsRow]) -> bytes:
    """Returns the encoded rows."""
    encoded = [
        evidence_pb2.Row(**row.key._asdict(), **row.counts._asdict())
        for row in rows
    ]
    return bytes(evidence_pb2.Rows(rows=encoded).SerializeToString())


def decode(payload: bytes) -> Sequence[version_counts.CountsRow]:
    """Returns the decoded rows; raises errors.PeerMessageError."""
    decoded = evidence_pb2.Rows()
    try:
        decoded.ParseFromString(payload)
    except message.DecodeError as error:
        raise errors.PeerMessageError(str(error)) from error
    return [
        version_counts.CountsRow(
            version_counts.CountsKey(
                row.source, row.period, row.model, row.version
            ),
            version_counts.Counts(
                row.answered, row.failed, row.rated_good, row.rated_poor
            ),
        )
        for row in decoded.rows[:_MAX_ROWS]
    ]
