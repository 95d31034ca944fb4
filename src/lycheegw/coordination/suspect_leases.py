"""Leases by which suspect requests run alone.

The grantor of a pool grants at most one lease per suspect and one per
upstream, so that a crash can be attributed to one suspect.
"""

from typing import NamedTuple

from lycheegw.coordination import crash_table
from lycheegw.state import clocks

__all__ = ["SuspectLeases"]

_MAX_LEASES = 4096
_LEASE_GRACE_S = 1.0


class _Lease(NamedTuple):
    """A granted lease.

    Attributes:
        fingerprint: Fingerprint or name of the suspect that it lets run.
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
        self._leases: list[_Lease] = []

    def grant(
        self, holder: str, request: crash_table.RunRequest, live: set[str]
    ) -> bool:
        """Grants a lease if it can; returns whether the suspect may run."""
        now_s = self._environment.monotonic_s()
        self._leases = [
            lease
            for lease in self._leases
            if lease.until_s > now_s and lease.holder in live
        ]
        is_free = all(
            lease.fingerprint != request.fingerprint
            and lease.upstream != request.upstream
            for lease in self._leases
        )
        if not is_free or len(self._leases) >= _MAX_LEASES:
            return False
        until_s = now_s + request.seconds + _LEASE_GRACE_S
        self._leases.append(
            _Lease(request.fingerprint, request.upstream, holder, until_s)
        )
        return True

    def release(self, holder: str, request: crash_table.RunRequest) -> None:
        """Ends this lease of `holder`, not a later one on another upstream."""
        ended = (request.fingerprint, request.upstream, holder)
        self._leases = [lease for lease in self._leases if lease[:3] != ended]
