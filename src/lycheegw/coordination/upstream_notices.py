"""Keeps what upstream processes announce about themselves in their responses.

A notice belongs to one process, not to its address or to its entry in the list
of upstreams: a new copy of the list or a load report doesn't end it. Limits
are gossiped, because the nodes share them, and because a node that may not
send to an upstream hears of the end of its limit only from those that do.
"""

from collections.abc import Callable
import http
import math
from typing import NamedTuple

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["Codec", "HeardLimit", "Process", "UpstreamNotices"]

_TOPIC = "upstream_limits"
# Processes whose notices are kept; the ones heard longest ago are dropped.
_MAX_PROCESSES = 4096
# Limits in a gossip message; the rest go with later ones.
_MAX_GOSSIPED_LIMITS = 64
# A limit that was heard again is gossiped again if this much later, so that the
# order of two words on it is known.
_RESEND_AGE_S = 1.0
# The end of a limit that a peer heard counts if it was heard this much later
# than the limit, as gossip may be on its way for some time.
_MAX_TRANSIT_S = 1.0
# Time for which the end of a limit is gossiped.
_ENDED_TTL_S = 60.0
# Time for which the upstreams of a pool count as brittle after one of them said
# so. They say it in all responses.
_BRITTLE_TTL_S = 5.0
# Longest pause that an upstream may ask for; a longer one is cut to it.
_MAX_PAUSE_S = 300.0
# A pause is extended at random by up to this share, so that the nodes don't
# return at the same moment.
_PAUSE_JITTER = 0.1
# Statuses that turn a request away and may ask for a pause.
_PAUSING_STATUSES = frozenset(
    {
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class Process(NamedTuple):
    """Identifies one process of an upstream."""

    host_id: str
    started_ms: int


class HeardLimit(NamedTuple):
    """The latest word of a process on its limit.

    Attributes:
        process: The process.
        per_s: Requests per second that it accepts from all nodes together,
            None without a limit.
        age_s: Seconds since a node heard it.
    """

    process: Process
    per_s: float | None
    age_s: float


class Codec(NamedTuple):
    """Encodes and decodes limits for gossip messages."""

    encode: Callable[[list[HeardLimit]], bytes]
    decode: Callable[[bytes], list[HeardLimit]]


class _Notices:
    """What one process announced.

    Attributes:
        is_leaving: Whether it will stop.
        paused_until_s: Monotonic second until which it wants no requests.
        limit_per_s: Requests per second that it accepts from all nodes
            together, None without a limit.
        limit_heard_s: Monotonic second at which a node last heard of the limit
            or of its end.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.paused_until_s = -math.inf
        self.limit_per_s: float | None = None
        self.limit_heard_s = -math.inf


class _Sent(NamedTuple):
    """What a neighbour knows of a limit."""

    per_s: float | None
    heard_s: float


class UpstreamNotices:
    """The announcements of all upstream processes that this node knows."""

    def __init__(
        self,
        state: node_state.NodeState,
        peers: interfaces.PeerBus,
        codec: Codec,
        send_soon: Callable[[], None],
        note: Callable[..., None],
        on_leaving: Callable[[upstreams.Upstream], None],
    ):
        """Creates an empty table.

        Args:
            state: State of this node.
            peers: Links to the other nodes.
            codec: Codec of the gossip messages.
            send_soon: Requests an early gossip message.
            note: Writes a line to the event log.
            on_leaving: Called when an upstream first announces that it leaves.
        """
        self._state = state
        self._codec = codec
        self._send_soon = send_soon
        self._note = note
        self._on_leaving = on_leaving
        self._notices_by_process: dict[Process, _Notices] = {}
        self._brittle_until_s_by_pool: dict[str, float] = {}
        self._sent_by_neighbour: dict[str, dict[Process, _Sent]] = {}
        peers.on_delta(_TOPIC, self._encode_unknown_limits, self._merge)

    def forget_neighbour(self, neighbour: str) -> None:
        """Forgets what was sent to a neighbour, since its link is new."""
        self._sent_by_neighbour.pop(neighbour, None)

    def is_leaving(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream announced that it will stop."""
        notices = self._find(upstream)
        return notices is not None and notices.is_leaving

    def pause_s(self, upstream: upstreams.Upstream) -> float:
        """Returns for how many seconds an upstream wants no requests."""
        notices = self._find(upstream)
        if notices is None:
            return 0.0
        return max(0.0, notices.paused_until_s - self._now_s())

    def limit_per_s(self, upstream: upstreams.Upstream) -> float | None:
        """Returns an upstream's limit over all nodes, None without one."""
        notices = self._find(upstream)
        return None if notices is None else notices.limit_per_s

    def is_brittle(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream may fail if it has to reject requests.

        The upstreams of a pool become brittle together.
        """
        if not self._brittle_until_s_by_pool:
            return False
        until_s = self._brittle_until_s_by_pool.get(upstream.entry.pool, 0.0)
        return self._now_s() < until_s

    def _find(self, upstream: upstreams.Upstream) -> _Notices | None:
        if not self._notices_by_process:
            return None
        return self._notices_by_process.get(_process(upstream))

    def note_response(
        self,
        upstream: upstreams.Upstream,
        head: forwarded_requests.ResponseHead,
        sent_s: float,
    ) -> None:
        """Records what a response announces.

        Args:
            upstream: Upstream that the request was sent to.
            head: Head of the response.
            sent_s: Monotonic second at which the request was sent, or earlier.
        """
        if head.malformed_headers:
            self._state.counters.add("upstreams.malformed_notice")
        if head.malformed_headers != upstream.malformed_headers:
            upstream.malformed_headers = head.malformed_headers
            logging.warning(
                "upstream %s: ignoring malformed headers: %s",
                upstream.entry.host_id,
                ", ".join(head.malformed_headers) or "none any more",
            )
        is_misdirected = head.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if not head.is_attributed:
            self._state.counters.add("upstreams.unattributed")
            return
        if is_misdirected:
            # Another process answered.
            return
        if head.max_rejections_per_s is not None:
            self._note_brittle(upstream, head.max_rejections_per_s)
        process = _process(upstream)
        pause_s = 0.0
        if head.status in _PAUSING_STATUSES:
            pause_s = head.retry_after_s or 0.0
        if process not in self._notices_by_process and not (
            head.is_leaving or pause_s or head.rate_limit_per_s is not None
        ):
            return
        notices = self._notices_of(process)
        if head.is_leaving and not notices.is_leaving:
            notices.is_leaving = True
            self._state.counters.add("upstreams.leaving_notice")
            self._note(
                "upstream_notice", upstream=process.host_id, leaving=True
            )
            self._on_leaving(upstream)
        if pause_s:
            self._note_pause(process, notices, pause_s)
        if head.rate_limit_per_s is not None:
            self._set_limit(
                process, notices, head.rate_limit_per_s, self._now_s()
            )
        elif head.is_signed and sent_s > notices.limit_heard_s:
            # An earlier request may have been answered before the limit.
            self._set_limit(process, notices, None, self._now_s())

    def _note_brittle(
        self, upstream: upstreams.Upstream, max_rejections_per_s: float
    ) -> None:
        if not self.is_brittle(upstream):
            self._state.counters.add("upstreams.brittle_notice")
            self._note(
                "upstream_notice",
                upstream=upstream.entry.host_id,
                pool=upstream.entry.pool,
                max_rejections_per_s=max_rejections_per_s,
            )
        until_s = self._now_s() + _BRITTLE_TTL_S
        self._brittle_until_s_by_pool[upstream.entry.pool] = until_s

    def _note_pause(
        self, process: Process, notices: _Notices, pause_s: float
    ) -> None:
        bounded_s = min(pause_s, _MAX_PAUSE_S)
        jitter = 1.0 + _PAUSE_JITTER * self._state.environment.random.random()
        until_s = self._now_s() + bounded_s * jitter
        self._state.counters.add("upstreams.pause_notice")
        if notices.paused_until_s <= self._now_s():
            self._note(
                "upstream_notice",
                upstream=process.host_id,
                pause_s=round(pause_s, 3),
            )
        notices.paused_until_s = max(notices.paused_until_s, until_s)

    def _set_limit(
        self,
        process: Process,
        notices: _Notices,
        per_s: float | None,
        heard_s: float,
        neighbour: str | None = None,
    ) -> None:
        """Applies a word on a limit, heard here or by a neighbour."""
        former = notices.limit_per_s
        notices.limit_per_s = per_s
        notices.limit_heard_s = heard_s
        if per_s != former:
            self._state.counters.add("upstreams.limit_notice")
            self._note(
                "upstream_notice",
                upstream=process.host_id,
                limit_per_s=per_s,
                former=former,
                neighbour=neighbour,
            )
            self._send_soon()

    def _notices_of(self, process: Process) -> _Notices:
        # Moves the entry to the end, the first ones being dropped first.
        notices = self._notices_by_process.pop(process, None) or _Notices()
        self._notices_by_process[process] = notices
        if len(self._notices_by_process) > _MAX_PROCESSES:
            del self._notices_by_process[next(iter(self._notices_by_process))]
        return notices

    def _encode_unknown_limits(self, neighbour: str) -> bytes | None:
        """Returns the encoded limits that a neighbour may not know yet."""
        now_s = self._now_s()
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        limits: list[HeardLimit] = []
        for process, notices in self._notices_by_process.items():
            age_s = now_s - notices.limit_heard_s
            if notices.limit_per_s is None and age_s > _ENDED_TTL_S:
                sent.pop(process, None)
                continue
            latest = _Sent(notices.limit_per_s, notices.limit_heard_s)
            if _is_known(sent.get(process), latest):
                continue
            sent[process] = latest
            limits.append(HeardLimit(process, latest.per_s, age_s))
            if len(limits) >= _MAX_GOSSIPED_LIMITS:
                break
        return self._codec.encode(limits) if limits else None

    def _merge(self, neighbour: str, payload: bytes) -> None:
        """Merges the limits of a neighbour that were heard later."""
        now_s = self._now_s()
        sent = self._sent_by_neighbour.setdefault(neighbour, {})
        for limit in self._codec.decode(payload):
            heard_s = now_s - limit.age_s
            sent[limit.process] = _Sent(limit.per_s, heard_s)
            notices = self._notices_by_process.get(limit.process)
            if notices is None:
                notices = self._notices_of(limit.process)
            is_end = limit.per_s is None and notices.limit_per_s is not None
            margin_s = _MAX_TRANSIT_S if is_end else 0.0
            if heard_s > notices.limit_heard_s + margin_s:
                self._set_limit(
                    limit.process, notices, limit.per_s, heard_s, neighbour
                )

    def _now_s(self) -> float:
        return self._state.environment.monotonic_s()


def _process(upstream: upstreams.Upstream) -> Process:
    return Process(upstream.entry.host_id, upstream.entry.started_ms)


def _is_known(sent: _Sent | None, latest: _Sent) -> bool:
    """Returns whether a neighbour needs no newer word on a limit."""
    if sent is None:
        return latest.heard_s == -math.inf
    return (
        sent.per_s == latest.per_s
        and latest.heard_s - sent.heard_s < _RESEND_AGE_S
    )
