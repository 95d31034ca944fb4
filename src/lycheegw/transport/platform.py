"""Adapters to the platform: log, list of hosts, ratings and weights.

Each class is the only place that knows its service's protocol.
"""

from collections.abc import Sequence
import json
from typing import Any
import urllib.parse

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import http_client

__all__ = ["HttpHosts", "HttpLog", "HttpRatings", "HttpWeights"]

_TIMEOUT_S = 3.0


async def _ask(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = _TIMEOUT_S,
) -> Any:
    """Returns the JSON answer of a platform service.

    Raises:
        errors.UpstreamError: No answer came.
        errors.PlatformError: The answer was an error or not JSON.
    """
    payload = b"" if body is None else json.dumps(body).encode()
    answer = await http_client.fetch(
        address, method, path, timeout_s, body=payload
    )
    if answer.status != 200:
        raise errors.PlatformError(f"{path}: status {answer.status}")
    try:
        return answer.json()
    except ValueError as error:
        raise errors.PlatformError(f"{path}: not JSON") from error


class HttpLog:
    """The append-only log service."""

    def __init__(self, address: str):
        self._address = address

    async def append(
        self, stream: str, entries: Sequence[interfaces.NewEntry]
    ) -> int:
        """Appends a batch; raises errors.LogUnavailableError."""
        body = {"entries": [entry._asdict() for entry in entries]}
        path = f"/streams/{urllib.parse.quote(stream)}"
        try:
            answer = await _ask(self._address, "POST", path, body)
            return int(answer["offset"])
        except errors.UpstreamError as error:
            applied = error.verdict is not verdicts.RunVerdict.NOT_RUN
            raise errors.LogUnavailableError(str(error), applied) from error
        except (errors.PlatformError, KeyError, TypeError) as error:
            raise errors.LogUnavailableError(str(error)) from error

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        """Reads a page; raises errors.LogUnavailableError."""
        query = urllib.parse.urlencode(
            {"from": start, "limit": limit, "wait_s": wait_s}
        )
        path = f"/streams/{urllib.parse.quote(stream)}?{query}"
        try:
            answer = await _ask(
                self._address, "GET", path, timeout_s=_TIMEOUT_S + wait_s
            )
            return _page(answer)
        except (
            errors.UpstreamError,
            errors.PlatformError,
            KeyError,
            TypeError,
        ) as error:
            raise errors.LogUnavailableError(str(error), False) from error


def _page(answer: Any) -> interfaces.LogPage:
    entries = [
        interfaces.AppendedEntry(
            entry["offset"], entry["at_s"], entry["entry_id"], entry["data"]
        )
        for entry in answer["entries"]
    ]
    return interfaces.LogPage(answer["first"], answer["next"], entries)


class HttpHosts:
    """The lagging list of hosts."""

    def __init__(self, address: str):
        self._address = address

    async def list_hosts(self) -> Sequence[upstreams.HostEntry]:
        """Returns the list; raises errors.PlatformError."""
        try:
            answer = await _ask(self._address, "GET", "/hosts")
            return [_host(value) for value in answer["hosts"]]
        except (
            errors.UpstreamError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise errors.PlatformError(f"hosts: {error}") from error


def _host(value: Any) -> upstreams.HostEntry:
    return upstreams.HostEntry(
        value["host_id"],
        upstreams.HostRole(value["role"]),
        value["pool"],
        value["address"],
        value["zone"],
        value["is_leaving"],
        value.get("honours_fencing", False),
    )


class HttpRatings:
    """The rating service."""

    def __init__(self, address: str):
        self._address = address

    async def submit(self, answers: Sequence[interfaces.RatedAnswer]) -> None:
        """Hands answers in; raises errors.PlatformError."""
        body = {"answers": [answer._asdict() for answer in answers]}
        try:
            await _ask(self._address, "POST", "/answers", body)
        except errors.UpstreamError as error:
            raise errors.PlatformError(f"ratings: {error}") from error

    async def read(self, start: int) -> tuple[int, Sequence[interfaces.Rating]]:
        """Returns the next position and ratings; raises PlatformError."""
        try:
            answer = await _ask(self._address, "GET", f"/ratings?from={start}")
            ratings = [
                interfaces.Rating(**value) for value in answer["ratings"]
            ]
            return int(answer["next"]), ratings
        except (errors.UpstreamError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"ratings: {error}") from error


class HttpWeights:
    """The rate-limited weight store."""

    def __init__(self, address: str):
        self._address = address

    async def reserve(self, model: str, version: str) -> float:
        """Returns seconds to wait, 0 for go; raises PlatformError."""
        body = {"model": model, "version": version}
        try:
            answer = await _ask(self._address, "POST", "/reserve", body)
            return float(answer["wait_s"])
        except (errors.UpstreamError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"weights: {error}") from error
