"""Estimates the quality of versions from ratings; gossips it to all nodes.

The collectors of the zones read the same ratings in the same order. Of two rows
for a key the one with the later position therefore includes the other.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from lycheegw.coordination import change_tracker
from lycheegw.coordination import interfaces
from lycheegw.state import quality

__all__ = ["Codec", "QualityExchange"]

_TOPIC = "quality"
_MAX_ROWS = 5_000
_MAX_ROWS_PER_HEARTBEAT = 6
# A row is sent again once it has grown by this share of its ratings, of which
# at most _RATINGS_WINDOW count, since older ones fade.
_MIN_RELATIVE_GROWTH = 0.15
_RATINGS_WINDOW = 300
_MIN_GROWTH_RATINGS = 3


class Codec(NamedTuple):
    """Encodes and decodes rows."""

    encode: Callable[[Sequence[quality.QualityRow]], bytes]
    decode: Callable[[bytes], Sequence[quality.QualityRow]]


class QualityExchange:
    """Updates the quality table of a node from ratings and from peers.

    Attributes:
        table: Quality of each version.
    """

    def __init__(self, bus: interfaces.PeerBus, codec: Codec):
        self.table = quality.QualityTable()
        self._codec = codec
        self._changes: change_tracker.ChangeTracker[quality.QualityRow] = (
            change_tracker.ChangeTracker(_MAX_ROWS)
        )
        bus.on_delta(_TOPIC, self._update_for, self._merge_update)

    def add_ratings(
        self, begin: int, ratings: Sequence[interfaces.Rating]
    ) -> None:
        """Adds ratings whose first one has the position `begin`."""
        for index, rating in enumerate(ratings):
            key = quality.QualityKey(
                rating.organisation, rating.kind, rating.model, rating.version
            )
            position = begin + index + 1
            for row in self.table.add_rating(
                key, position, rating.confidence, rating.is_good
            ):
                self._publish_if_grown(row)

    def _publish_if_grown(self, row: quality.QualityRow) -> None:
        last = self._changes.get("/".join(row.key))
        if last is None or row.seen - last.seen >= _growth_to_publish(
            last.seen
        ):
            self._changes.put("/".join(row.key), row)

    def _update_for(self, neighbour: str) -> bytes | None:
        rows = self._changes.take_unsent(neighbour, _MAX_ROWS_PER_HEARTBEAT)
        return self._codec.encode(rows) if rows else None

    def _merge_update(self, sender: str, payload: bytes) -> None:
        for row in self.table.merge(self._codec.decode(payload)):
            self._changes.put("/".join(row.key), row, sender)


def _growth_to_publish(seen: int) -> float:
    """Returns how many new ratings make a row worth sending again."""
    counted = min(seen, _RATINGS_WINDOW)
    return max(_MIN_GROWTH_RATINGS, _MIN_RELATIVE_GROWTH * counted)
