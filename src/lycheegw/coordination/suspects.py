"""Suspects: requests whose upstreams died under them.

A request under which an upstream died gets a strike, known to every node
before it is sent again. With one strike it runs alone: the steward of its
pool lets one suspect run on an upstream at a time, so that a second crash
tells which one it was. With two it is refused until the strikes expire.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from lycheegw.coordination import care
from lycheegw.coordination import rendezvous
from lycheegw.coordination import seams
from lycheegw.coordination import strikes
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams

__all__ = ["Codec", "Suspects"]

_NEWS_TOPIC = "suspects.news"
_CARE_TOPIC = "suspects.care"
_CRASH_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
        reasons.RetryReason.TRUNCATED,
    }
)
_AWAY_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.SEND_FAILED,
    }
)
_PROBE_TIMEOUT_S = 0.5
_NEWS_TIMEOUT_S = 0.5
_CARE_TIMEOUT_S = 0.5
_CARE_POLL_S = 0.05
_MAX_CARE_FAILURES = 3
_RETRY_AFTER_S = 1.0
_SAME_START_S = 0.2
_NEIGHBOURS_PROBED = 3
_FEWEST_NEIGHBOURS = 2
_GOSSIP_S = 30.0
_MAX_GOSSIP = 64

Choose = Callable[[], Awaitable[upstreams.Upstream]]
HasFree = Callable[[upstreams.Upstream], bool]


class Codec(NamedTuple):
    """How messages about suspects are written and read."""

    encode_news: Callable[[strikes.News], bytes]
    decode_news: Callable[[bytes], strikes.News]
    encode_ask: Callable[[strikes.Ask], bytes]
    decode_ask: Callable[[bytes], strikes.Ask]
    encode_grant: Callable[[bool], bytes]
    decode_grant: Callable[[bytes], bool]


class _Heard(NamedTuple):
    """News to pass on for a while, since it was heard."""

    heard_s: float
    news: strikes.News


class Suspects:
    """Counts strikes by fingerprint and runs suspects alone."""

    def __init__(
        self,
        state: node_state.NodeState,
        client: seams.ReportClient,
        peers: seams.PeerBus,
        codec: Codec,
    ):
        self._state = state
        self._client = client
        self._peers = peers
        self._codec = codec
        self._strikes = strikes.Strikes(state.environment)
        self._care = care.CareTable(state.environment)
        self._heard: list[_Heard] = []
        self._tasks: set[asyncio.Task[None]] = set()
        peers.on_call(_NEWS_TOPIC, self._answer_news)
        peers.on_call(_CARE_TOPIC, self._answer_care)
        peers.on_delta(_NEWS_TOPIC, self._gossip, self._merge_gossip)

    def check(self, request: requests.Request) -> None:
        """Raises errors.RefusalError (POISON) for a condemned request."""
        left_s = self._strikes.condemned_s(request.fingerprint)
        if left_s > 0:
            raise errors.RefusalError(
                reasons.RefusalReason.POISON,
                "upstreams died under this request",
                retry_after_s=left_s,
            )

    def is_suspect(self, request: requests.Request) -> bool:
        """Returns whether an upstream died under a request."""
        return self._strikes.count(request.fingerprint) > 0

    def strikes_by_fingerprint(self) -> dict[str, int]:
        """Returns the strikes of each suspect that have not expired."""
        return self._strikes.by_fingerprint()

    def crashed(self) -> set[str]:
        """Returns ids of upstreams that have not started anew since a crash."""
        return {
            upstream_id
            for upstream_id, started_at_s in self._strikes.crashes()
            if self._is_still_away(upstream_id, started_at_s)
        }

    def _is_still_away(self, upstream_id: str, started_at_s: int) -> bool:
        upstream = self._state.upstreams.by_id.get(upstream_id)
        if upstream is None or upstream.report is None:
            return True
        return round(upstream.report.started_at_s) == started_at_s

    async def choose(
        self, request: requests.Request, choose: Choose, has_free: HasFree
    ) -> upstreams.Upstream:
        """Returns an upstream; to a suspect once it may run there alone.

        Args:
            request: What is to be sent.
            choose: Returns an upstream with a free slot.
            has_free: Returns whether it still has one, after the steward's
                answer.

        Raises:
            errors.RefusalError: Condemned, or the steward can't be reached.
        """
        failures = 0
        while True:
            upstream = await choose()
            if not self.is_suspect(request):
                return upstream
            try:
                if await self._ask(request, upstream, False):
                    if has_free(upstream):
                        self._state.counters.add("suspects.run_alone")
                        return upstream
                    self.release(request, upstream)
            except asyncio.CancelledError:
                # The steward may have granted it.
                self.release(request, upstream)
                raise
            except errors.PeerUnavailableError as error:
                failures += 1
                if failures >= _MAX_CARE_FAILURES:
                    raise errors.RefusalError(
                        reasons.RefusalReason.NO_UPSTREAM,
                        f"no steward for a suspect: {error}",
                        retry_after_s=_RETRY_AFTER_S,
                    ) from error
            jitter = 0.5 + self._state.environment.random.random()
            await self._state.environment.sleep(_CARE_POLL_S * jitter)
            self.check(request)

    async def _ask(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        is_release: bool,
    ) -> bool:
        """Asks the steward of the pool; returns whether the run is granted."""
        now_s = self._state.environment.monotonic_s()
        ask = strikes.Ask(
            request.fingerprint,
            upstream.entry.host_id,
            is_release,
            max(0.0, request.deadline_s - now_s),
        )
        stewards = rendezvous.order(
            f"suspects-{upstream.entry.pool}", self._peers.live_nodes()
        )
        reply = await self._peers.call(
            stewards[0],
            _CARE_TOPIC,
            self._codec.encode_ask(ask),
            _CARE_TIMEOUT_S,
        )
        return self._codec.decode_grant(reply)

    async def _answer_care(self, sender: str, payload: bytes) -> bytes:
        """Answers a node that wants to run a suspect, or has run it."""
        ask = self._codec.decode_ask(payload)
        if ask.is_release:
            self._care.release(sender, ask)
            return self._codec.encode_grant(False)
        is_condemned = self._strikes.condemned_s(ask.fingerprint) > 0
        live = set(self._peers.live_nodes())
        return self._codec.encode_grant(
            not is_condemned and self._care.grant(sender, ask, live)
        )

    def release(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        """Ends the run of a suspect; the caller does not wait for it."""
        if self.is_suspect(request):
            self._spawn(self._release(request, upstream))

    async def _release(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        try:
            await self._ask(request, upstream, True)
        except errors.PeerUnavailableError:
            # The lease ends with the deadline of the request.
            self._state.counters.add("suspects.release_failed")

    async def note_failure(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
        started_at_s: float,
        begun_s: float,
    ) -> None:
        """Gives a strike where the upstream died; every node knows it then.

        Goes on where the caller of this is cancelled.
        """
        crashed_s = self._strikes.crashed_s(
            upstream.entry.host_id, started_at_s
        )
        was_dead = crashed_s is not None and crashed_s < begun_s
        if was_dead or error.reason not in _CRASH_REASONS:
            self.release(request, upstream)
            return
        await asyncio.shield(
            self._spawn(self._judge(request, upstream, started_at_s))
        )

    async def _judge(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        started_at_s: float,
    ) -> None:
        if await self._has_died(
            upstream, started_at_s
        ) and not await self._is_zone_down(upstream):
            strike = strikes.Strike(
                request.fingerprint, upstream.entry.host_id, started_at_s
            )
            self._state.counters.add("suspects.strikes")
            self._state.trace(
                request.request_id, "strike", upstream=upstream.entry.host_id
            )
            await self._spread(strikes.News(strikes=(strike,)))
        self.release(request, upstream)

    async def _has_died(
        self, upstream: upstreams.Upstream, started_at_s: float
    ) -> bool:
        """Returns whether an upstream is away or has started anew.

        One that is silent, but takes connections, hangs or is cut off; that
        says nothing of the request.
        """
        try:
            report = await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError as error:
            return error.reason in _AWAY_REASONS
        if not started_at_s:
            return False
        return abs(report.started_at_s - started_at_s) > _SAME_START_S

    async def _is_away(self, upstream: upstreams.Upstream) -> bool:
        try:
            await self._client.report(upstream.entry, _PROBE_TIMEOUT_S)
        except errors.UpstreamError:
            return True
        return False

    async def _is_zone_down(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the other upstreams of the zone are away, too.

        One request does not kill a zone; those that ran there are innocent.
        """
        others = [
            other
            for other in self._state.upstreams.by_id.values()
            if other.entry.zone == upstream.entry.zone and other is not upstream
        ]
        count = min(_NEIGHBOURS_PROBED, len(others))
        probed = self._state.environment.random.sample(others, count)
        away = await asyncio.gather(*(self._is_away(each) for each in probed))
        return len(away) >= _FEWEST_NEIGHBOURS and all(away)

    def note_success(
        self, request: requests.Request, upstream: upstreams.Upstream
    ) -> None:
        """Clears a suspect that ran to its end."""
        if self.is_suspect(request):
            self.release(request, upstream)
            cleared = strikes.News(cleared=(request.fingerprint,))
            self._state.counters.add("suspects.cleared")
            self._spawn(self._spread(cleared))

    async def _spread(self, news: strikes.News) -> None:
        """Takes news in and tells every node that can be reached."""
        self._take(news)
        payload = self._codec.encode_news(news)
        own_id = self._state.identity.node_id
        others = [each for each in self._peers.live_nodes() if each != own_id]
        await asyncio.gather(
            *(
                self._peers.call(node_id, _NEWS_TOPIC, payload, _NEWS_TIMEOUT_S)
                for node_id in others
            ),
            return_exceptions=True,
        )

    def _take(self, news: strikes.News) -> None:
        """Takes news in and keeps what is new to be passed on."""
        new = strikes.News(
            tuple(each for each in news.strikes if self._strikes.add(each)),
            tuple(each for each in news.cleared if self._strikes.clear(each)),
        )
        if new.strikes or new.cleared:
            now_s = self._state.environment.monotonic_s()
            self._heard.append(_Heard(now_s, new))
            del self._heard[:-_MAX_GOSSIP]

    async def _answer_news(self, sender: str, payload: bytes) -> bytes:
        del sender
        self._take(self._codec.decode_news(payload))
        return b""

    def _gossip(self, neighbour: str) -> bytes | None:
        """Returns what was heard of late, for nodes that missed the call."""
        del neighbour
        now_s = self._state.environment.monotonic_s()
        late = [
            each for each in self._heard if now_s - each.heard_s < _GOSSIP_S
        ]
        if not late:
            return None
        return self._codec.encode_news(_joined(late, now_s))

    def _merge_gossip(self, neighbour: str, payload: bytes) -> None:
        del neighbour
        news = self._codec.decode_news(payload)
        # A run that was cleared may have come after the strike, or before.
        self._take(strikes.News(strikes=news.strikes))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _joined(late: Sequence[_Heard], now_s: float) -> strikes.News:
    """Returns all strikes heard, as old as they are now."""
    return strikes.News(
        tuple(
            strike._replace(age_s=strike.age_s + now_s - each.heard_s)
            for each in late
            for strike in each.news.strikes
        )
    )
