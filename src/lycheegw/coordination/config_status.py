"""Builds the status of the configuration and of the nodes that lag behind."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from lycheegw.coordination import config_progress
from lycheegw.state import catalog as catalogs
from lycheegw.state import node_state
from lycheegw.state import records

__all__ = ["describe"]


def describe(
    state: node_state.NodeState,
    progress: config_progress.ConfigProgress,
    live_nodes: Sequence[str],
    is_log_healthy: bool,
) -> Mapping[str, Any]:
    """Returns the configuration part of a node's status, as JSON values."""
    catalog = state.catalog
    now_s = state.environment.wall_s()
    offset_by_node_id = {
        node_id: _applied_offset(node_id, state, progress)
        for node_id in live_nodes
    }
    latest = max(offset_by_node_id.values(), default=catalog.offset)
    return {
        "offset": catalog.offset,
        "age_s": None if catalog.is_empty else round(now_s - catalog.at_s, 3),
        "is_log_healthy": is_log_healthy,
        "unreadable": ["/".join(key) for key in catalog.unreadable_keys()],
        "records": [
            _describe_record(verdict, offset_by_node_id, now_s)
            for verdict in catalog.verdict_by_offset.values()
        ],
        "offset_by_node_id": offset_by_node_id,
        "lagging": _nodes_behind(latest, offset_by_node_id),
    }


def _applied_offset(
    node_id: str,
    state: node_state.NodeState,
    progress: config_progress.ConfigProgress,
) -> int:
    if node_id == state.identity.node_id:
        return state.catalog.offset
    report = progress.applied_by_node_id.get(node_id)
    return catalogs.NO_OFFSET if report is None else report.offset


def _describe_record(
    verdict: records.RecordVerdict,
    offset_by_node_id: Mapping[str, int],
    now_s: float,
) -> Mapping[str, Any]:
    lagging = _nodes_behind(verdict.offset, offset_by_node_id)
    return {
        "record_id": verdict.record_id,
        "offset": verdict.offset,
        "key": "/".join(verdict.key),
        "revision": verdict.revision,
        "outcome": verdict.outcome.value,
        "reason": verdict.reason,
        "age_s": round(now_s - verdict.at_s, 3),
        "applied_by": len(offset_by_node_id) - len(lagging),
        "nodes": len(offset_by_node_id),
        "lagging": lagging,
    }


def _nodes_behind(
    offset: int, offset_by_node_id: Mapping[str, int]
) -> list[str]:
    """Returns the nodes that have not reached an offset, sorted."""
    return sorted(
        node_id
        for node_id, applied in offset_by_node_id.items()
        if applied < offset
    )
