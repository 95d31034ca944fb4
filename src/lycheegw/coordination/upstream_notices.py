"""Keeps what upstream processes announce about themselves in their responses.

A notice belongs to one process, not to its address or to its entry in the list
of upstreams: a new copy of the list or a load report doesn't end it.
"""

from collections.abc import Callable
import http
import math
from typing import NamedTuple

from absl import logging

from lycheegw.state import forwarded_requests
from lycheegw.state import node_state
from lycheegw.state import upstreams

__all__ = ["UpstreamNotices"]

# Processes whose notices are kept; the ones heard longest ago are dropped.
_MAX_PROCESSES = 4096


class _ProcessKey(NamedTuple):
    """Identifies one process of an upstream."""

    host_id: str
    started_ms: int


class _Notices:
    """What one process announced.

    Attributes:
        is_leaving: Whether it will stop.
        rate_limit_per_s: Requests per second that it accepts from all nodes
            together, or None.
        heard_s: Monotonic second of the latest response with that limit.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.rate_limit_per_s: float | None = None
        self.heard_s = -math.inf


class UpstreamNotices:
    """The announcements of all upstream processes that this node heard."""

    def __init__(self, state: node_state.NodeState, note: Callable[..., None]):
        self._state = state
        self._note = note
        self._notices_by_process: dict[_ProcessKey, _Notices] = {}

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
            sent_s: Monotonic second at which the request was sent.
        """
        if head.malformed_headers:
            self._state.counters.add("upstreams.malformed_notice")
            logging.warning(
                "upstream %s: ignoring malformed %s",
                upstream.entry.host_id,
                ", ".join(head.malformed_headers),
            )
        is_misdirected = head.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if is_misdirected or not head.is_attributed:
            # Another process answered, or an earlier request.
            return
        key = _ProcessKey(upstream.entry.host_id, upstream.entry.started_ms)
        notices = self._notices_by_process.get(key)
        if notices is None:
            if not head.is_leaving and head.rate_limit_per_s is None:
                return
            notices = self._add(key)
        if head.is_leaving and not notices.is_leaving:
            notices.is_leaving = True
            self._state.counters.add("upstreams.leaving_notice")
            self._note("upstream_notice", upstream=key.host_id, leaving=True)
        self._note_rate_limit(key, notices, head, sent_s)

    def _note_rate_limit(
        self,
        key: _ProcessKey,
        notices: _Notices,
        head: forwarded_requests.ResponseHead,
        sent_s: float,
    ) -> None:
        former = notices.rate_limit_per_s
        limit = head.rate_limit_per_s
        if limit is None and not (head.is_signed and sent_s > notices.heard_s):
            # The response may have been made before the limit was announced.
            return
        notices.rate_limit_per_s = limit
        if limit is not None:
            notices.heard_s = self._state.environment.monotonic_s()
        if limit != former:
            self._state.counters.add("upstreams.limit_notice")
            self._note(
                "upstream_notice",
                upstream=key.host_id,
                limit_per_s=limit,
                former=former,
            )

    def _add(self, key: _ProcessKey) -> _Notices:
        notices = self._notices_by_process[key] = _Notices()
        while len(self._notices_by_process) > _MAX_PROCESSES:
            self._notices_by_process.pop(next(iter(self._notices_by_process)))
        return notices
