"""What the operators' commands do."""

import asyncio
from collections.abc import Mapping
import json
import pathlib
import sys
from typing import Any

from lycheegw import explaining
from lycheegw.coordination import config_follower
from lycheegw.coordination import interfaces
from lycheegw.protocol import record_codec
from lycheegw.protocol import settings
from lycheegw.state import errors
from lycheegw.transport import http_client
from lycheegw.transport import platform

__all__ = ["check", "explain", "explain_log", "publish", "status", "watch"]

_TIMEOUT_S = 5.0
_WATCH_INTERVAL_S = 1.0
_APPENDS = 3
_APPEND_PAUSE_S = 0.5


def check(path: pathlib.Path) -> int:
    """Checks a file of settings or of records.

    Raises:
        errors.ConfigurationError: With every fault and its path.
    """
    value = settings.read_json(path)
    if isinstance(value, dict) and "node_id" in value:
        settings.parse_node(value)
        print(f"{path}: settings are valid")
        return 0
    records = _parse_all(value)
    print(f"{path}: {len(records)} records are valid")
    return 0


def _parse_all(value: Any) -> list[dict[str, Any]]:
    """Returns the records in `value`, each checked by itself."""
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


async def _append_repeatedly(
    log: platform.HttpLog, entries: list[interfaces.NewEntry]
) -> int:
    """Returns the offset of an append, repeated where its answer was lost.

    The nodes take a repeated record with the same id and content once.

    Raises:
        errors.LogUnavailableError: No append was confirmed.
    """
    for _ in range(_APPENDS - 1):
        try:
            return await log.append(
                config_follower.CONFIGURATION_STREAM, entries
            )
        except errors.LogUnavailableError as error:
            print(f"not confirmed, appending again: {error}", file=sys.stderr)
            await asyncio.sleep(_APPEND_PAUSE_S)
    return await log.append(config_follower.CONFIGURATION_STREAM, entries)


async def publish(path: pathlib.Path, log_address: str) -> int:
    """Appends the records of a file to the log."""
    records = _parse_all(settings.read_json(path))
    entries = [interfaces.NewEntry(value["id"], value) for value in records]
    log = platform.HttpLog(log_address)
    offset = await _append_repeatedly(log, entries)
    for index, value in enumerate(records):
        print(f"{value['id']}: appended at offset {offset + index}")
    return 0


async def _ask(node: str, path: str, key: str) -> Any:
    """Returns what a node answers an operator."""
    try:
        answer = await http_client.fetch(
            node,
            "GET",
            f"/v1/operator/{path}",
            _TIMEOUT_S,
            {"authorization": f"Bearer {key}"},
        )
    except (errors.UpstreamError, ValueError) as error:
        raise errors.PlatformError(f"node {node}: {error}") from error
    if answer.status == 404:
        raise errors.PlatformError(f"{path}: not known to node {node}")
    if answer.status != 200:
        raise errors.PlatformError(f"node {node}: status {answer.status}")
    return answer.json()


def _print_json(value: Any) -> None:
    json.dump(value, sys.stdout, indent=2)
    print()


def _print_configuration(value: Any) -> None:
    """Prints offset, verdicts and spread of a node's status."""
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
        print(f"  node {node_id} lags: applied offset {offset}")


async def status(node: str, key: str, as_json: bool) -> int:
    """Prints the status of a node."""
    value = await _ask(node, "status", key)
    if as_json:
        _print_json(value)
        return 0
    print(f"node {value['node_id']} in {value['zone']}: ", end="")
    _print_configuration(value)
    for upstream_id, upstream in value["upstreams"].items():
        print(f"  {upstream_id}: {_upstream_line(upstream)}")
    for zone, word in value["zones"].items():
        print(f"  availability zone {zone}: {word}")
    for version in value["withdrawn"]:
        print(f"  withdrawn: {version}")
    for model, rollout in value["rollouts"].items():
        print(f"  roll-out of {model}: {_rollout_line(rollout)}")
    for fingerprint, strikes in value["suspects"].items():
        print(f"  suspect {fingerprint[:16]}: {strikes} upstreams died")
    return 0


def _upstream_line(upstream: Mapping[str, Any]) -> str:
    parts = [f"{upstream['pool']} in {upstream['zone']}"]
    parts.append(f"load {upstream['load']}")
    if upstream["cold_limit"] is not None:
        parts.append(f"cold, bears {upstream['cold_limit']}")
    if upstream["report_age_s"] is None:
        parts.append("no report yet")
    else:
        parts.append(f"reported {upstream['report_age_s']:g} s ago")
    if upstream["is_leaving"]:
        parts.append("leaving")
    if upstream["is_unreachable"]:
        parts.append("unreachable")
    return ", ".join(parts)


def _rollout_line(rollout: Mapping[str, Any]) -> str:
    held = ", held" if rollout["is_held"] else ""
    return (
        f"{rollout['from_version']} to {rollout['to_version']},"
        f" share {rollout['share']:g}{held}, loaded on"
        f" {rollout['loaded_on']} of {rollout['upstreams']} upstreams"
    )


async def watch(node: str, key: str, seconds: float) -> int:
    """Prints the status each second, without end for 0 seconds."""
    left_s = seconds
    while True:
        await status(node, key, False)
        left_s -= _WATCH_INTERVAL_S
        if seconds and left_s <= 0:
            return 0
        await asyncio.sleep(_WATCH_INTERVAL_S)


async def explain(request_id: str, node: str, key: str, as_json: bool) -> int:
    """Prints the trace of a request."""
    value = await _ask(node, f"explain/{request_id}", key)
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
    """Prints what the lines of many nodes tell of a request.

    Raises:
        errors.ConfigurationError: The file can't be read.
        errors.PlatformError: No line is about the request.
    """
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in explaining.walk(lines, request_id):
                print(line)
    except OSError as error:
        raise errors.ConfigurationError([f"{path}: {error}"]) from error
    return 0
