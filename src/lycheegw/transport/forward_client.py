"""Passes requests on to upstreams over kept connections."""

from collections.abc import Callable
import math
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import forwarded
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.transport import exchange_client

__all__ = ["Codec", "ForwardClient", "HealthReports", "connection_key"]

# A request that must not run twice goes on a connection that was alive this
# lately; on one that fell silent its outcome would stay unknown.
_MAX_IDLE_ONCE_S = 0.5
# Longest wait for a health check, which waits for a slot like any request.
_HEALTH_TIMEOUT_S = 1.0


class Codec(NamedTuple):
    """How requests and answers are written and read.

    Attributes:
        encode_attempt: Returns the headers of a request.
        decode_answer: Returns the decoded head of an answer.
        encode_health_check: Returns the request for an upstream's health.
    """

    encode_attempt: Callable[[interfaces.ForwardAttempt], forwarded.Headers]
    decode_answer: Callable[[exchange_client.RawHead], forwarded.AnswerHead]
    encode_health_check: Callable[[bytes, str], exchange_client.ClientRequest]


def connection_key(entry: upstreams.HostEntry) -> str:
    """Returns what names a process; its connections serve no other."""
    return f"{entry.host_id}@{entry.address}/{entry.started_ms}"


class _ForwardCall:
    """A request on its connection."""

    def __init__(
        self, call: exchange_client.Call, codec: Codec, request_id: str
    ):
        self._call = call
        self._codec = codec
        self._request_id = request_id

    async def head(self) -> forwarded.AnswerHead:
        """Returns the head of the answer; raises errors.UpstreamError."""
        while True:
            head = self._codec.decode_answer(await self._call.head())
            is_ours = head.echoed_id == self._request_id
            is_success = 200 <= head.status < 300
            if is_ours or (head.echoed_id is None and not is_success):
                self._call.note_idle_limit(head.keep_alive_s)
                return head
            # A second answer to an earlier request came late.
            await self._call.skip_answer()

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end."""
        return await self._call.read()

    def finish(self) -> None:
        """Gives the connection back."""
        self._call.finish()

    def abort(self) -> None:
        """Resets the connection."""
        self._call.abort()


class ForwardClient:
    """Sends requests to upstreams."""

    def __init__(self, pool: exchange_client.ConnectionPool, codec: Codec):
        self._pool = pool
        self._codec = codec

    def has_connection(self, entry: upstreams.HostEntry, limit: int) -> bool:
        """Returns whether a request can be sent under a connection bound."""
        return self._pool.has_room(connection_key(entry), limit)

    async def send(
        self, attempt: interfaces.ForwardAttempt
    ) -> interfaces.ForwardCall:
        """Sends a request; raises errors.UpstreamError if it is not sent."""
        entry = attempt.upstream
        key = connection_key(entry)
        if not self._pool.has_room(key, attempt.max_connections):
            raise errors.UpstreamError(
                reasons.RetryReason.NO_FREE_CONNECTION,
                f"no free connection to {entry.host_id}",
                verdicts.RunVerdict.NOT_RUN,
            )
        incoming = attempt.work.incoming
        request = exchange_client.ClientRequest(
            incoming.method,
            incoming.target,
            self._codec.encode_attempt(attempt),
            incoming.body,
        )
        max_idle_s = math.inf
        if attempt.work.route.kind is routing.RequestKind.ONCE:
            max_idle_s = _MAX_IDLE_ONCE_S
        call = await self._pool.send(key, entry.address, request, max_idle_s)
        return _ForwardCall(call, self._codec, attempt.work.traits.request_id)

    async def check_health(
        self, entry: upstreams.HostEntry, path: str, timeout_s: float
    ) -> forwarded.AnswerHead:
        """Returns the head of an upstream's health check.

        Raises:
            errors.UpstreamError: There was none in time.
        """
        head, _ = await exchange_client.fetch(
            self._pool,
            connection_key(entry),
            entry.address,
            self._codec.encode_health_check(path.encode(), entry.address),
            min(timeout_s, _HEALTH_TIMEOUT_S),
        )
        return self._codec.decode_answer(head)


class HealthReports:
    """Load reports from health checks, for upstreams in doubt."""

    def __init__(
        self,
        client: ForwardClient,
        path_of: Callable[[str], str],
        monotonic_s: Callable[[], float],
    ):
        self._client = client
        self._path_of = path_of
        self._monotonic_s = monotonic_s

    async def report(
        self, target: upstreams.HostEntry, timeout_s: float
    ) -> upstreams.LoadReport:
        """Returns what a health check tells; raises errors.UpstreamError."""
        head = await self._client.check_health(
            target, self._path_of(target.pool), timeout_s
        )
        if head.instance not in {None, target.host_id}:
            raise errors.UpstreamError(
                reasons.RetryReason.CONNECT_FAILED,
                f"{head.instance} has the address of {target.host_id}",
                verdicts.RunVerdict.NOT_RUN,
            )
        return upstreams.LoadReport(
            frozenset({target.version}),
            head.running or 0,
            head.waiting or 0,
            target.started_ms / 1000,
            0,
            self._monotonic_s(),
        )
