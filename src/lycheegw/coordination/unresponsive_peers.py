"""Decides which nodes to skip, because a call to them recently failed."""

from collections.abc import Iterable

__all__ = ["UnresponsivePeers"]

_SKIPPED_S = 5.0


class UnresponsivePeers:
    """Records failed calls; skips those nodes for `_SKIPPED_S` afterwards."""

    def __init__(self) -> None:
        self._skipped_until_s_by_node_id: dict[str, float] = {}

    def record_failure(self, node_id: str, now_s: float) -> None:
        """Records a call that a node did not answer."""
        self._skipped_until_s_by_node_id[node_id] = now_s + _SKIPPED_S

    def responsive(self, node_ids: Iterable[str], now_s: float) -> list[str]:
        """Returns the nodes that are not skipped, in the given order."""
        return [
            node_id
            for node_id in node_ids
            if self._skipped_until_s_by_node_id.get(node_id, now_s) <= now_s
        ]
