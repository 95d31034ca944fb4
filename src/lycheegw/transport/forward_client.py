"""Forwards requests to upstreams over pooled connections.

Also reads upstreams' load from the heads of their health check responses.
"""

from collections.abc import Callable
import math
from typing import NamedTuple

from lycheegw.coordination import interfaces
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import reasons
from lycheegw.state import routing
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from lycheegw.state import zone_traffic
from lycheegw.transport import connection_pool

__all__ = ["Codec", "ForwardClient", "HealthReportClient", "connection_key"]

# A request that must not run twice doesn't reuse a connection that was idle for
# longer: if that no longer reached its server, the outcome would be unknown.
_MAX_IDLE_ONCE_S = 0.5
# Health checks wait for a slot of the upstream like other requests.
_HEALTH_TIMEOUT_S = 1.0


class Codec(NamedTuple):
    """Encodes requests to upstreams and decodes the heads of their responses.

    Attributes:
        encode_attempt: Returns the headers of a request.
        decode_response_head: Returns the decoded response head.
        encode_health_check: Returns a health check for a path and address.
    """

    encode_attempt: Callable[
        [interfaces.ForwardAttempt], forwarded_requests.Headers
    ]
    decode_response_head: Callable[
        [connection_pool.RawResponseHead], forwarded_requests.ResponseHead
    ]
    encode_health_check: Callable[[bytes, str], connection_pool.ClientRequest]


def connection_key(entry: upstreams.HostEntry) -> str:
    """Returns the pool's key of an upstream process.

    A restart changes the key, so that old connections are not reused.
    """
    return f"{entry.host_id}@{entry.address}/{entry.started_ms}"


class _ForwardCall:
    """A request that was sent to an upstream."""

    def __init__(
        self,
        call: connection_pool.Call,
        codec: Codec,
        request_id: str,
        note_answered: Callable[[], None],
        count: Callable[[str, int], None],
    ):
        """Creates a call.

        Args:
            call: The request on its connection.
            codec: Decodes the head.
            request_id: Id that the response must repeat.
            note_answered: Called once the response is complete.
            count: Counts bytes for a purpose.
        """
        self._call = call
        self._count = count
        self._codec = codec
        self._request_id = request_id
        self._note_answered = note_answered
        self._has_skipped = False

    async def head(self) -> forwarded_requests.ResponseHead:
        """Returns the response head; raises errors.UpstreamError."""
        while True:
            raw_head = await self._call.head()
            self._count("response", raw_head.size())
            head = self._codec.decode_response_head(raw_head)
            if head.echoed_ids == {self._request_id}:
                self._call.note_idle_timeout(head.keep_alive_s)
                return head
            if self._request_id in head.echoed_ids:
                # It names another request as well.
                return head._replace(is_attributed=False)
            is_success = 200 <= head.status < 300
            if not head.echoed_ids and not is_success:
                # On a used connection it may be for an earlier request.
                is_used = self._call.is_reused or self._has_skipped
                return head._replace(is_attributed=not is_used)
            # This is a late, second response to an earlier request.
            self._has_skipped = True
            await self._call.skip_response()

    async def read(self) -> bytes | None:
        """Returns the next bytes of the body, None at its end."""
        data = await self._call.read()
        if data:
            self._count("response", len(data))
        return data

    @property
    def trailing_data(self) -> bytes:
        """Bytes that were received after the end of the response."""
        return self._call.trailing_data

    def finish(self) -> None:
        """Returns the connection to the pool."""
        self._note_answered()
        self._call.finish()

    def abort(self) -> None:
        """Resets the connection, which cancels the request."""
        self._call.abort()


class ForwardClient:
    """Forwards requests to upstreams over a connection pool."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        codec: Codec,
        traffic: zone_traffic.ZoneTraffic,
    ):
        self._pool = pool
        self._codec = codec
        self._traffic = traffic

    def has_capacity(self, entry: upstreams.HostEntry, limit: int) -> bool:
        """Returns whether a request needs no more than `limit` connections."""
        return self._pool.has_capacity(connection_key(entry), limit)

    async def send(
        self, attempt: interfaces.ForwardAttempt
    ) -> interfaces.ForwardCall:
        """Sends a request; raises errors.UpstreamError if it was not sent."""
        entry = attempt.upstream
        key = connection_key(entry)
        if not self._pool.has_capacity(key, attempt.max_connections):
            raise errors.UpstreamError(
                reasons.RetryReason.NO_FREE_CONNECTION,
                f"all {attempt.max_connections} connections to"
                f" {entry.host_id} are in use",
                verdicts.RunVerdict.NOT_RUN,
            )
        incoming = attempt.work.incoming

        def build_request() -> connection_pool.ClientRequest | None:
            if not attempt.may_send():
                return None
            request = connection_pool.ClientRequest(
                incoming.method,
                incoming.target,
                self._codec.encode_attempt(attempt),
                incoming.body,
            )
            self._traffic.add(entry.zone, "request", request.size())
            return request

        # Any used connection may bring another copy of the first response, with
        # the id of this request.
        is_repeated = key in attempt.answered
        if is_repeated:
            self._pool.make_room(key, attempt.max_connections)
        max_idle_s = math.inf
        if attempt.work.route.kind is routing.RequestKind.ONCE:
            max_idle_s = _MAX_IDLE_ONCE_S
        call = await self._pool.send_built(
            key,
            entry.address,
            build_request,
            max_idle_s,
            reuses=not is_repeated,
        )
        return _ForwardCall(
            call,
            self._codec,
            attempt.work.traits.request_id,
            lambda: attempt.answered.add(key),
            lambda purpose, size: self._traffic.add(entry.zone, purpose, size),
        )

    async def connect(self, entry: upstreams.HostEntry) -> None:
        """Opens a connection; raises errors.UpstreamError."""
        await self._pool.connect(connection_key(entry), entry.address)

    async def check_health(
        self, entry: upstreams.HostEntry, path: str, timeout_s: float
    ) -> forwarded_requests.ResponseHead:
        """Returns the response head of an upstream's health check.

        Raises:
            errors.UpstreamError: No response was received in time.
        """
        request = self._codec.encode_health_check(path.encode(), entry.address)
        self._traffic.add(entry.zone, "health_check", request.size())
        head = await connection_pool.fetch_head(
            self._pool,
            connection_key(entry),
            entry.address,
            request,
            min(timeout_s, _HEALTH_TIMEOUT_S),
        )
        self._traffic.add(entry.zone, "health_check", head.size())
        return self._codec.decode_response_head(head)


class HealthReportClient:
    """Reads load reports from the response heads of health checks."""

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
        """Returns the reported load; raises errors.UpstreamError."""
        head = await self._client.check_health(
            target, self._path_of(target.pool), timeout_s
        )
        if head.instance not in {None, target.host_id}:
            raise errors.UpstreamError(
                reasons.RetryReason.CONNECT_FAILED,
                f"{target.address} belongs to {head.instance},"
                f" expected {target.host_id}",
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
