"""Builds the status of upstreams, zones, roll-outs and suspect requests."""

from collections.abc import Mapping
import math
from typing import Any

from lycheegw.coordination import cold_detection
from lycheegw.coordination import suspects
from lycheegw.state import node_state
from lycheegw.state import records
from lycheegw.state import upstreams

__all__ = ["describe"]


def describe(
    state: node_state.NodeState,
    cold_upstreams: cold_detection.ColdDetector,
    suspect_requests: suspects.Suspects,
) -> Mapping[str, Any]:
    """Returns the routing part of a node's status, as JSON values."""
    return {
        "upstreams": {
            upstream_id: _describe_upstream(state, cold_upstreams, upstream)
            for upstream_id, upstream in sorted(state.upstreams.by_id.items())
        },
        "zones": {
            body.zone: "serving" if body.is_serving else "out"
            for body in _current_bodies(state, "zone")
            if isinstance(body, records.ZoneStatus)
        },
        "withdrawn": sorted(
            f"{body.model}@{body.version}"
            for body in _current_bodies(state, "withdrawal")
            if isinstance(body, records.Withdrawal) and body.is_withdrawn
        ),
        "rollouts": {
            body.model: _describe_rollout(state, body)
            for body in _current_bodies(state, "rollout")
            if isinstance(body, records.Rollout)
        },
        "suspects": suspect_requests.crashes_by_fingerprint(),
        "crashed": sorted(suspect_requests.crashed_upstreams()),
        "counters": dict(sorted(state.counters.by_name.items())),
    }


def _current_bodies(
    state: node_state.NodeState, kind: str
) -> list[records.Body]:
    """Returns the current record bodies of a kind, sorted by name."""
    keys = sorted(key for key in state.catalog.state_by_key if key.kind == kind)
    bodies = [state.catalog.body(*key) for key in keys]
    return [body for body in bodies if body is not None]


def _describe_upstream(
    state: node_state.NodeState,
    cold_upstreams: cold_detection.ColdDetector,
    upstream: upstreams.Upstream,
) -> Mapping[str, Any]:
    now_s = state.environment.monotonic_s()
    age_s = upstream.report_age_s(now_s)
    report = upstream.report
    return {
        "zone": upstream.entry.zone,
        "pool": upstream.entry.pool,
        "versions": sorted(report.versions) if report is not None else [],
        "load": upstream.load,
        "report_age_s": round(age_s, 1) if math.isfinite(age_s) else None,
        "cold_limit": cold_upstreams.limit(upstream),
        "is_leaving": upstream.entry.is_leaving,
        "is_unreachable": upstream.is_excluded(now_s),
    }


def _describe_rollout(
    state: node_state.NodeState, rollout: records.Rollout
) -> Mapping[str, Any]:
    pool = [
        upstream
        for upstream in state.upstreams.by_id.values()
        if upstream.entry.pool == rollout.model
    ]
    return {
        "from_version": rollout.from_version,
        "to_version": rollout.to_version,
        "share": rollout.share,
        "is_held": rollout.is_held,
        "loaded_on": sum(each.serves(rollout.to_version) for each in pool),
        "upstreams": len(pool),
    }
