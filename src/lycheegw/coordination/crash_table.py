"""Records crashes of upstreams and the requests that they ran.

A request is a suspect from its first crash on and blocked from its second.
All crashes expire.
"""

import collections
from typing import NamedTuple

from lycheegw.state import clocks

__all__ = ["Crash", "CrashTable", "RunRequest", "SuspectUpdate"]

_CRASHES_TO_BLOCK = 2
_CRASH_TTL_S = 600.0
_MAX_FINGERPRINTS = 4096
_MAX_CRASHES_PER_FINGERPRINT = 4
_MAX_DISTINCT_CRASHES = 256


class Crash(NamedTuple):
    """A crash of an upstream while it ran a request.

    Attributes:
        fingerprint: Hash of the content of the request.
        upstream: Upstream that crashed.
        started_at_s: Wall second at which that upstream had started.
        age_s: Seconds since the crash.
    """

    fingerprint: str
    upstream: str
    started_at_s: float
    age_s: float = 0.0


class SuspectUpdate(NamedTuple):
    """What a node sends to its peers about suspects.

    Attributes:
        crashes: Crashes of upstreams that ran suspects.
        cleared: Fingerprints that are no longer suspect.
    """

    crashes: tuple[Crash, ...] = ()
    cleared: tuple[str, ...] = ()


class RunRequest(NamedTuple):
    """A node's request to the grantor of a pool.

    Attributes:
        fingerprint: Suspect that is to run, or has run.
        upstream: Upstream on which it runs alone.
        is_release: Whether the run has ended.
        seconds: Longest duration of the run.
    """

    fingerprint: str
    upstream: str
    is_release: bool
    seconds: float


def _crash_id(upstream: str, started_at_s: float) -> tuple[str, int]:
    """Returns what identifies one crash of an upstream."""
    return (upstream, round(started_at_s))


class CrashTable:
    """Crashes by fingerprint, bounded in number; each expires."""

    def __init__(self, environment: clocks.Environment):
        self._environment = environment
        self._at_s_by_crash: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self._at_s_by_crash_by_fingerprint: collections.OrderedDict[
            str, dict[tuple[str, int], float]
        ] = collections.OrderedDict()

    def add(self, crash: Crash) -> bool:
        """Records a crash; returns whether it was new for the fingerprint."""
        at_s = self._environment.monotonic_s() - crash.age_s
        crash_times = self._at_s_by_crash_by_fingerprint.setdefault(
            crash.fingerprint, {}
        )
        crash_id = _crash_id(crash.upstream, crash.started_at_s)
        self._at_s_by_crash.setdefault(crash_id, at_s)
        while len(self._at_s_by_crash) > _MAX_DISTINCT_CRASHES:
            self._at_s_by_crash.popitem(last=False)
        if (
            crash_id in crash_times
            or len(crash_times) >= _MAX_CRASHES_PER_FINGERPRINT
        ):
            return False
        crash_times[crash_id] = at_s
        while len(self._at_s_by_crash_by_fingerprint) > _MAX_FINGERPRINTS:
            self._at_s_by_crash_by_fingerprint.popitem(last=False)
        return True

    def crashed_at_s(self, upstream: str, started_at_s: float) -> float | None:
        """Returns the monotonic second of a crash, None if it is not known."""
        return self._at_s_by_crash.get(_crash_id(upstream, started_at_s))

    def recent_crashes(self) -> list[tuple[str, int]]:
        """Returns the recent crashes, by upstream and its start time."""
        return list(self._at_s_by_crash)

    def clear(self, fingerprint: str) -> bool:
        """Removes a fingerprint; returns whether it had crashes."""
        crash_times = self._at_s_by_crash_by_fingerprint.pop(fingerprint, None)
        return crash_times is not None

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes that have not expired."""
        crash_times = self._at_s_by_crash_by_fingerprint.get(fingerprint)
        if not crash_times:
            return 0
        now_s = self._environment.monotonic_s()
        for crash_id, at_s in list(crash_times.items()):
            if now_s - at_s > _CRASH_TTL_S:
                del crash_times[crash_id]
        return len(crash_times)

    def counts_by_fingerprint(self) -> dict[str, int]:
        """Returns the unexpired crashes of each suspect."""
        counts = {
            fingerprint: self.count(fingerprint)
            for fingerprint in self._at_s_by_crash_by_fingerprint
        }
        return {each: count for each, count in counts.items() if count}

    def blocked_s(self, fingerprint: str) -> float:
        """Returns for how long a fingerprint stays blocked, 0 if it isn't."""
        if self.count(fingerprint) < _CRASHES_TO_BLOCK:
            return 0.0
        crash_times = self._at_s_by_crash_by_fingerprint[fingerprint]
        blocking_at_s = sorted(crash_times.values())[-_CRASHES_TO_BLOCK]
        return blocking_at_s + _CRASH_TTL_S - self._environment.monotonic_s()
