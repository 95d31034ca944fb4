"""HTTP clients of the platform's log, host list, ratings and weight store.

Each class implements one interface of coordination, and is the only code that
depends on the HTTP protocol of its service.
"""

from collections.abc import Sequence
import json
from typing import Any
import urllib.parse

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.state import addresses
from lycheegw.state import counters
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import http_client

__all__ = [
    "HttpHostsClient",
    "HttpLogClient",
    "HttpRatingsClient",
    "HttpWeightsClient",
]

_TIMEOUT_S = 3.0


async def _request_json(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = _TIMEOUT_S,
) -> Any:
    """Sends a request to a platform service; returns the decoded response.

    Raises:
        errors.UpstreamError: No response was received.
        errors.PlatformError: The response was an error or not JSON.
    """
    payload = b"" if body is None else json.dumps(body).encode()
    response = await http_client.fetch(
        address, method, path, timeout_s, body=payload
    )
    if response.status != 200:
        raise errors.PlatformError(f"{path}: status {response.status}, not 200")
    try:
        return response.json()
    except ValueError as error:
        raise errors.PlatformError(f"{path}: response is not JSON") from error


class HttpLogClient:
    """Client of the append-only log service."""

    def __init__(self, address: str):
        self._address = address

    async def append(
        self, stream: str, entries: Sequence[interfaces.NewEntry]
    ) -> int:
        """Appends a batch; returns the offset of its first entry.

        Raises:
            errors.LogUnavailableError: The append was not confirmed.
        """
        body = {"entries": [entry._asdict() for entry in entries]}
        path = f"/streams/{urllib.parse.quote(stream)}"
        try:
            response = await _request_json(self._address, "POST", path, body)
            return int(response["offset"])
        except errors.UpstreamError as error:
            applied = error.verdict is not verdicts.RunVerdict.NOT_RUN
            raise errors.LogUnavailableError(str(error), applied) from error
        except (errors.PlatformError, KeyError, TypeError) as error:
            raise errors.LogUnavailableError(str(error)) from error

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        """Reads entries from `start` on; raises errors.LogUnavailableError."""
        query = urllib.parse.urlencode(
            {"from": start, "limit": limit, "wait_s": wait_s}
        )
        path = f"/streams/{urllib.parse.quote(stream)}?{query}"
        try:
            response = await _request_json(
                self._address, "GET", path, timeout_s=_TIMEOUT_S + wait_s
            )
            return _parse_page(response)
        except (
            errors.UpstreamError,
            errors.PlatformError,
            KeyError,
            TypeError,
        ) as error:
            raise errors.LogUnavailableError(str(error), False) from error


def _parse_page(response: Any) -> interfaces.LogPage:
    entries = [
        interfaces.AppendedEntry(
            entry["offset"], entry["at_s"], entry["entry_id"], entry["data"]
        )
        for entry in response["entries"]
    ]
    return interfaces.LogPage(response["first"], response["next"], entries)


class HttpHostsClient:
    """Client of the host list, which may be outdated."""

    def __init__(self, address: str, counts: counters.Counters):
        self._address = address
        self._counts = counts
        self._faults: frozenset[str] = frozenset()

    async def list_hosts(self) -> Sequence[upstreams.HostEntry]:
        """Returns the hosts on the list; raises errors.PlatformError."""
        try:
            response = await _request_json(self._address, "GET", "/hosts")
            values = list(response["hosts"])
        except (errors.UpstreamError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"host list: {error}") from error
        entries, faults = [], set()
        for value in values:
            try:
                entries.append(_parse_host(value))
            except errors.RecordError as error:
                faults.add(str(error))
        self._note_faults(frozenset(faults))
        return entries

    def _note_faults(self, faults: frozenset[str]) -> None:
        """Records the entries that were skipped, once a change."""
        for fault in sorted(faults - self._faults):
            self._counts.add("hosts.unreadable")
            logging.warning("skipping unreadable host: %s", fault)
        self._faults = faults


def _parse_host(value: Any) -> upstreams.HostEntry:
    """Returns an entry of the host list; raises errors.RecordError."""
    if not isinstance(value, dict):
        raise errors.RecordError(["host: not a JSON object"])
    host_id = json_fields.read("host", value, "host_id", str)
    address = json_fields.read(host_id, value, "address", str)
    try:
        role = upstreams.HostRole(json_fields.read(host_id, value, "role", str))
        addresses.parse(address)
    except ValueError as error:
        raise errors.RecordError([f"{host_id}: {error}"]) from error
    return upstreams.HostEntry(
        host_id,
        role,
        json_fields.read(host_id, value, "pool", str),
        address,
        json_fields.read(host_id, value, "zone", str),
        json_fields.read(host_id, value, "is_leaving", bool),
        json_fields.read(host_id, value, "honours_fencing", bool, False),
    )


class HttpRatingsClient:
    """Client of the rating service."""

    def __init__(self, address: str):
        self._address = address

    async def submit(self, answers: Sequence[interfaces.RatedAnswer]) -> None:
        """Submits answers for rating; raises errors.PlatformError."""
        body = {"answers": [answer._asdict() for answer in answers]}
        try:
            await _request_json(self._address, "POST", "/answers", body)
        except errors.UpstreamError as error:
            raise errors.PlatformError(f"ratings: {error}") from error

    async def read(self, start: int) -> tuple[int, Sequence[interfaces.Rating]]:
        """Returns the next position and the ratings from `start` on.

        Raises:
            errors.PlatformError: The service did not respond.
        """
        try:
            response = await _request_json(
                self._address, "GET", f"/ratings?from={start}"
            )
            ratings = [
                interfaces.Rating(**value) for value in response["ratings"]
            ]
            return int(response["next"]), ratings
        except (errors.UpstreamError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"ratings: {error}") from error


class HttpWeightsClient:
    """Client of the rate-limited weight store."""

    def __init__(self, address: str):
        self._address = address

    async def reserve(self, model: str, version: str) -> float:
        """Reserves a fetch; returns the seconds to wait, 0 if it may start.

        Raises:
            errors.PlatformError: The store did not respond.
        """
        body = {"model": model, "version": version}
        try:
            response = await _request_json(
                self._address, "POST", "/reserve", body
            )
            return float(response["wait_s"])
        except (errors.UpstreamError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"weight store: {error}") from error
