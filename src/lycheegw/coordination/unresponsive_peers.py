"""Nodes that recently failed to answer a call, and are skipped for a while."""

from collections.abc import Iterable

__all__ = ["UnresponsivePeers"]

_SKIPPED_S = 5.0


class UnresponsivePeers:
    """Nodes that recently failed to answer a call."""

    def __init__(self) -> None:
        self._skipped_until_s_by_node_id: dict[str, float] = {}

    def note(self, node_id: str, now_s: float) -> None:
        """Records an unanswered call."""
        self._skipped_until_s_by_node_id[node_id] = now_s + _SKIPPED_S

    def responsive(self, node_ids: Iterable[str], now_s: float) -> list[str]:
        """Returns the nodes that did not recently fail, in the given order."""
        return [
            node_id
            for node_id in node_ids
            if self._skipped_until_s_by_node_id.get(node_id, now_s) <= now_s
        ]
