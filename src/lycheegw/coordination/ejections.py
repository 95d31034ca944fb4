"""Outlier ejection: avoids upstreams whose connections failed recently.

One broken or silent connection says little about the upstream, so an ejection
ends with the next load report, which arrives on a fresh connection. An
upstream that keeps failing although it reports is paused after each failure,
for longer each time, and gets one request at a time.
"""

from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import upstreams

__all__ = ["Ejections"]

_CONNECTION_REASONS = frozenset(
    {
        reasons.RetryReason.CONNECT_FAILED,
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.HEAD_TIMEOUT,
        reasons.RetryReason.SEND_FAILED,
        reasons.RetryReason.TOKEN_GAP,
        reasons.RetryReason.TRUNCATED,
    }
)
# Failures in a row from which an upstream is paused.
_FAILURES_BEFORE_PAUSE = 3
_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 10.0


class _Ejection:
    """The recent failures of an upstream.

    Attributes:
        last_failure_s: Monotonic second of the last failure that was counted.
        failures: Failures in a row; concurrent ones are counted once.
        paused_until_s: Monotonic second until which it gets no requests.
    """

    def __init__(self) -> None:
        self.last_failure_s = 0.0
        self.failures = 0
        self.paused_until_s = 0.0

    def pause_s(self) -> float:
        """Returns for how long the upstream gets no requests."""
        excess = self.failures - _FAILURES_BEFORE_PAUSE
        if excess < 0:
            return 0.0
        return float(min(_MAX_PAUSE_S, _MIN_PAUSE_S * 2**excess))


class Ejections:
    """The upstreams that this node has ejected."""

    def __init__(self, state: node_state.NodeState):
        self._state = state
        self._ejection_by_id: dict[str, _Ejection] = {}

    def note_failure(
        self,
        upstream: upstreams.Upstream,
        error: errors.UpstreamError,
        attempt_start_s: float,
    ) -> None:
        """Records a failed attempt that began at `attempt_start_s`."""
        if error.reason not in _CONNECTION_REASONS:
            return
        self._remove_unlisted()
        ejection = self._ejection_by_id.setdefault(
            upstream.entry.host_id, _Ejection()
        )
        # Concurrent attempts that fail together count as one failure.
        if ejection.failures and attempt_start_s < ejection.last_failure_s:
            return
        now_s = self._state.environment.monotonic_s()
        ejection.last_failure_s = now_s
        ejection.failures += 1
        ejection.paused_until_s = now_s + ejection.pause_s()
        self._state.counters.add("upstreams.doubted")

    def note_success(self, upstream: upstreams.Upstream) -> None:
        """Ends the ejection of an upstream after a successful attempt."""
        self._ejection_by_id.pop(upstream.entry.host_id, None)

    def note_chosen(self, upstream: upstreams.Upstream) -> None:
        """Pauses an ejected upstream for others while one request tries it."""
        ejection = self._ejection_by_id.get(upstream.entry.host_id)
        if ejection is not None:
            now_s = self._state.environment.monotonic_s()
            ejection.paused_until_s = now_s + ejection.pause_s()

    def ejected(self) -> set[str]:
        """Returns the ids of the upstreams to avoid now."""
        return {
            host_id
            for host_id, ejection in self._ejection_by_id.items()
            if self._is_ejected(host_id, ejection)
        }

    def _is_ejected(self, host_id: str, ejection: _Ejection) -> bool:
        if self._state.environment.monotonic_s() < ejection.paused_until_s:
            return True
        upstream = self._state.upstreams.by_id.get(host_id)
        if upstream is None or upstream.report is None:
            return True
        return upstream.report.received_s <= ejection.last_failure_s

    def _remove_unlisted(self) -> None:
        for host_id in (
            self._ejection_by_id.keys() - self._state.upstreams.by_id
        ):
            del self._ejection_by_id[host_id]
