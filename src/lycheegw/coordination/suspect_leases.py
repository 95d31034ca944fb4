"""Leases by which suspect requests run alone.

The grantor of a pool grants at most one lease per suspect and one per
upstream, so that a crash can be attributed to one suspect.
"""

from typing import NamedTuple

from lycheegw.coordination import strikes
from lycheegw.state import clocks

__all__ = ["SuspectLeases"]

_MAX_RUNS = 4096
_LEASE_GRACE_S = 1.0


class _Run(NamedTuple):
    """A lease of a suspect that runs.

    Attributes:
        fingerprint: Fingerprint of the suspect.
        upstream: Upstream on which it runs.
        holder: Node that runs it.
        until_s: Monotonic second at which the lease ends.
    """

    fingerprint: str
    upstream: str
    holder: str
    until_s: float


class SuspectLeases:
    """The leases that this node granted to suspects."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._runs: list[_Run] = []

    def grant(
        self, holder: str, request: strikes.RunRequest, live: set[str]
    ) -> bool:
        """Grants a lease if it can; returns whether the suspect may run."""
        now_s = self._environment.monotonic_s()
        self._runs = [
            run
            for run in self._runs
            if run.until_s > now_s and run.holder in live
        ]
        is_free = all(
            run.fingerprint != request.fingerprint
            and run.upstream != request.upstream
            for run in self._runs
        )
        if not is_free or len(self._runs) >= _MAX_RUNS:
            return False
        until_s = now_s + request.seconds + _LEASE_GRACE_S
        self._runs.append(
            _Run(request.fingerprint, request.upstream, holder, until_s)
        )
        return True

    def release(self, holder: str, request: strikes.RunRequest) -> None:
        """Ends this lease of `holder`, not a later one on another upstream."""
        ended = (request.fingerprint, request.upstream, holder)
        self._runs = [run for run in self._runs if run[:3] != ended]
