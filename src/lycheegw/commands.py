"""Implements the operators' commands that check, publish and query."""

import asyncio
from collections.abc import Mapping
import json
import pathlib
import sys
from typing import Any

from lycheegw import request_explanation
from lycheegw.coordination import config_follower
from lycheegw.coordination import interfaces
from lycheegw.protocol import record_codec
from lycheegw.protocol import settings
from lycheegw.state import errors
from lycheegw.transport import http_client
from lycheegw.transport import platform_clients

__all__ = ["check", "explain", "explain_log", "publish", "status", "watch"]

_REQUEST_TIMEOUT_S = 5.0
_WATCH_INTERVAL_S = 1.0
_APPEND_ATTEMPTS = 3
_APPEND_RETRY_DELAY_S = 0.5


def check(path: pathlib.Path) -> int:
    """Validates a file of settings or of records.

    Raises:
        errors.ConfigurationError: Lists every fault with its path.
    """
    value = settings.read_json(path)
    if isinstance(value, dict) and "node_id" in value:
        settings.parse_node(value)
        print(f"{path}: settings are valid")
        return 0
    records = _parse_records(value)
    print(f"{path}: {len(records)} records are valid")
    return 0


def _parse_records(value: Any) -> list[dict[str, Any]]:
    """Returns the records in `value`, or raises with the faults of all."""
    values = value if isinstance(value, list) else [value]
    faults = []
    for index, each in enumerate(values):
        try:
            record_codec.parse(each)
        except errors.RecordError as error:
            faults += [f"/{index}{fault}" for fault in error.faults]
    if faults:
        raise errors.RecordError(faults)
    return values


async def _append_with_retries(
    log: platform_clients.HttpLogClient, entries: list[interfaces.NewEntry]
) -> int:
    """Appends entries, retrying if unconfirmed; returns the first offset.

    Nodes apply a repeated record with the same id and content only once.

    Raises:
        errors.LogUnavailableError: No attempt was confirmed.
    """
    for _ in range(_APPEND_ATTEMPTS - 1):
        try:
            return await log.append(
                config_follower.CONFIGURATION_STREAM, entries
            )
        except errors.LogUnavailableError as error:
            print(f"append not confirmed, retrying: {error}", file=sys.stderr)
            await asyncio.sleep(_APPEND_RETRY_DELAY_S)
    return await log.append(config_follower.CONFIGURATION_STREAM, entries)


async def publish(path: pathlib.Path, log_address: str) -> int:
    """Appends the records of a file to the log."""
    records = _parse_records(settings.read_json(path))
    entries = [interfaces.NewEntry(value["id"], value) for value in records]
    log = platform_clients.HttpLogClient(log_address)
    offset = await _append_with_retries(log, entries)
    for index, value in enumerate(records):
        print(f"{value['id']}: appended at offset {offset + index}")
    return 0


async def _fetch_json(node: str, path: str, key: str) -> Any:
    """Returns the JSON value that a node's operator interface serves."""
    try:
        response = await http_client.fetch(
            node,
            "GET",
            f"/v1/operator/{path}",
            _REQUEST_TIMEOUT_S,
            {"authorization": f"Bearer {key}"},
        )
    except (errors.UpstreamError, ValueError) as error:
        raise errors.PlatformError(f"node {node}: {error}") from error
    if response.status == 404:
        raise errors.PlatformError(f"node {node}: {path} not found")
    if response.status != 200:
        raise errors.PlatformError(
            f"node {node}: status {response.status}, expected 200"
        )
    return response.json()


def _print_json(value: Any) -> None:
    json.dump(value, sys.stdout, indent=2)
    print()


def _print_configuration(value: Any) -> None:
    """Prints the configuration offset, records and lagging nodes."""
    log = "" if value["is_log_healthy"] else ", log not readable"
    print(f"configuration offset {value['offset']}{log}")
    for key in value["unreadable"]:
        print(f"  {key}: not readable by this build, refused")
    for record in value["records"]:
        print(
            f"  {record['record_id']}: {record['outcome']} {record['reason']}"
            f" at offset {record['offset']}, {record['age_s']:.0f} s old,"
            f" applied by {record['applied_by']} of {record['nodes']} nodes"
        )
    for node_id in value["lagging"]:
        offset = value["offset_by_node_id"][node_id]
        print(f"  node {node_id} is behind, applied offset {offset}")


async def status(node: str, key: str, as_json: bool) -> int:
    """Prints the status of a node, as text or JSON."""
    value = await _fetch_json(node, "status", key)
    if as_json:
        _print_json(value)
        return 0
    print(f"node {value['node_id']} in {value['zone']}: ", end="")
    _print_configuration(value)
    for upstream_id, upstream in value["upstreams"].items():
        print(f"  {upstream_id}: {_describe_upstream(upstream)}")
    for zone, zone_state in value["zones"].items():
        print(f"  availability zone {zone}: {zone_state}")
    for version in value["withdrawn"]:
        print(f"  withdrawn: {version}")
    for model, rollout in value["rollouts"].items():
        print(f"  roll-out of {model}: {_describe_rollout(rollout)}")
    for fingerprint, crashes in value["suspects"].items():
        print(f"  suspect {fingerprint[:16]}: {crashes} upstreams crashed")
    return 0


def _describe_upstream(upstream: Mapping[str, Any]) -> str:
    parts = [f"{upstream['pool']} in {upstream['zone']}"]
    parts.append(f"load {upstream['load']}")
    if upstream["cold_limit"] is not None:
        parts.append(f"cold, limit {upstream['cold_limit']}")
    if upstream["report_age_s"] is None:
        parts.append("no report yet")
    else:
        parts.append(f"reported {upstream['report_age_s']:g} s ago")
    if upstream["is_leaving"]:
        parts.append("leaving")
    if upstream["is_unreachable"]:
        parts.append("unreachable")
    return ", ".join(parts)


def _describe_rollout(rollout: Mapping[str, Any]) -> str:
    held = ", held" if rollout["is_held"] else ""
    return (
        f"{rollout['from_version']} to {rollout['to_version']},"
        f" share {rollout['share']:g}{held}, loaded on"
        f" {rollout['loaded_on']} of {rollout['upstreams']} upstreams"
    )


async def watch(node: str, key: str, seconds: float) -> int:
    """Prints the status every second; 0 seconds means without end."""
    remaining_s = seconds
    while True:
        await status(node, key, False)
        remaining_s -= _WATCH_INTERVAL_S
        if seconds and remaining_s <= 0:
            return 0
        await asyncio.sleep(_WATCH_INTERVAL_S)


async def explain(request_id: str, node: str, key: str, as_json: bool) -> int:
    """Prints the trace of a request, as text or JSON."""
    value = await _fetch_json(node, f"explain/{request_id}", key)
    if as_json:
        _print_json(value)
        return 0
    begin_s = value["events"][0]["at_s"]
    for event in value["events"]:
        details = " ".join(
            f"{name}={detail}" for name, detail in event["details"].items()
        )
        at_ms = (event["at_s"] - begin_s) * 1000
        print(f"{at_ms:10.1f} ms  {event['name']:16} {details}")
    return 0


def explain_log(request_id: str, path: pathlib.Path) -> int:
    """Prints the history of a request from the log lines of many nodes.

    Raises:
        errors.ConfigurationError: The file can't be read.
        errors.PlatformError: No line has the id of the request.
    """
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in request_explanation.explain_request(lines, request_id):
                print(line)
    except OSError as error:
        raise errors.ConfigurationError([f"{path}: {error}"]) from error
    return 0
