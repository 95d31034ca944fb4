"""Cuts nodes of a fleet off from all upstreams."""

import asyncio
from typing import Any
from typing import NamedTuple

from lycheegw import edge_app
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool

__all__ = ["KINDS", "Cut", "Kind", "begin"]

_USER_TIMEOUT_S = 1.5


class Kind(NamedTuple):
    """What becomes of connections to upstreams.

    Attributes:
        is_refused: Whether new ones are refused; else they get no answer.
        kept: What becomes of open ones: "live", "hang" or "reset".
    """

    is_refused: bool
    kept: str


KINDS = (Kind(True, "live"), Kind(False, "hang"), Kind(True, "reset"))


class Cut:
    """A node that is cut off; `end` connects it again."""

    def __init__(self, node: edge_app.EdgeNode, kind: Kind):
        self._pool = node.upstream_pool
        self._connect = self._pool._connect
        self._kind = kind
        self._pool._connect = self._fail_to_connect  # type: ignore[method-assign]
        for connection in list(self._pool._key_by_connection):
            if kind.kept == "reset":
                connection.transport.abort()
            elif kind.kept == "hang":
                _silence(connection)

    def end(self) -> None:
        self._pool._connect = self._connect  # type: ignore[method-assign]

    async def _fail_to_connect(
        self, key: str, address: str
    ) -> connection_pool._Connection:
        if not self._kind.is_refused:
            await asyncio.sleep(connection_pool._CONNECT_TIMEOUT_S)
        raise errors.UpstreamError(
            reasons.RetryReason.CONNECT_FAILED,
            f"connecting to {address} failed",
            verdicts.RunVerdict.NOT_RUN,
            is_timeout=not self._kind.is_refused,
        )


def _silence(connection: Any) -> None:
    """Lets a connection hang until bytes stay unacknowledged for too long."""
    transport = connection.transport
    transport.pause_reading()
    transport.resume_reading = lambda: None

    def lose(data: bytes) -> None:
        loop = asyncio.get_running_loop()
        error = TimeoutError(110, "Connection timed out")
        loop.call_later(_USER_TIMEOUT_S, connection.connection_lost, error)
        loop.call_later(_USER_TIMEOUT_S, transport.abort)

    connection.transport = _WriteProxy(transport, lose)


class _WriteProxy:
    """A transport whose writes go to a function."""

    def __init__(self, transport: Any, write: Any):
        self._transport = transport
        self.write = write

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def begin(node: edge_app.EdgeNode, kind: Kind) -> Cut:
    """Cuts a node off from all upstreams."""
    return Cut(node, kind)
