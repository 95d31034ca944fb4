"""Protobuf encoding of the quality rows that nodes exchange."""

from collections.abc import Sequence

from lycheegw.protocol.pb import quality_pb2
from lycheegw.state import quality

__all__ = ["decode", "encode"]


def encode(rows: Sequence[quality.QualityRow]) -> bytes:
    """Returns the encoded rows."""
    message = quality_pb2.Rows(
        rows=[
            quality_pb2.Row(
                **row.key._asdict(),
                position=row.position,
                seen=row.seen,
                good=row.good,
                rated=row.rated,
            )
            for row in rows
        ]
    )
    return bytes(message.SerializeToString())


def decode(payload: bytes) -> list[quality.QualityRow]:
    """Returns the decoded rows, without those that are not valid.

    Raises:
        google.protobuf.message.DecodeError: The payload can't be decoded.
    """
    message = quality_pb2.Rows.FromString(payload)
    rows = [
        quality.QualityRow(
            quality.QualityKey(
                row.organisation, row.kind, row.model, row.version
            ),
            row.position,
            row.seen,
            tuple(row.good),
            tuple(row.rated),
        )
        for row in message.rows
    ]
    return [
        row
        for row in rows
        if len(row.good) == len(row.rated) == quality.CONFIDENCE_BINS
        and all(0 <= part <= whole for part, whole in _good_rated_pairs(row))
    ]


def _good_rated_pairs(row: quality.QualityRow) -> Sequence[tuple[float, float]]:
    return list(zip(row.good, row.rated, strict=True))
