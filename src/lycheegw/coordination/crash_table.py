"""Records crashes of upstreams and the requests that they ran.

A request is a suspect from its first crash on and blocked from its second. A
crash doesn't count for a request if a blocked part of another request's prompt
explains it. All crashes expire.
"""

import collections
from collections.abc import Callable
from collections.abc import Set
from typing import NamedTuple

from lycheegw.state import clocks

__all__ = ["Crash", "CrashTable", "RunRequest"]

_CRASHES_TO_BLOCK = 2
_CRASH_TTL_S = 600.0
_MAX_FINGERPRINTS = 4096
_MAX_CRASHES_PER_FINGERPRINT = 4
_MAX_DISTINCT_CRASHES = 256
# Requests that are kept for each crash, to attribute it to a part of a prompt.
_MAX_RUNS_PER_CRASH = 256

_CrashId = tuple[str, int]


class Crash(NamedTuple):
    """A crash of an upstream while it ran a request.

    Attributes:
        fingerprint: Hash of the content of the request.
        upstream: Upstream that crashed.
        started_at_s: Wall second at which that upstream had started.
        age_s: Seconds since the crash.
        prompt_parts: Ids of the parts of the prompt that other requests may
            have in common with it, in order.
    """

    fingerprint: str
    upstream: str
    started_at_s: float
    age_s: float = 0.0
    prompt_parts: tuple[str, ...] = ()


class RunRequest(NamedTuple):
    """A node's request to the grantor of a pool.

    Attributes:
        fingerprint: Suspect that is to run, or has run: the fingerprint of a
            request, or the name of a part of prompts.
        upstream: Upstream on which it runs alone.
        is_release: Whether the run has ended.
        seconds: Longest duration of the run.
    """

    fingerprint: str
    upstream: str
    is_release: bool
    seconds: float


class PartCrashes(NamedTuple):
    """The crashes that count for a part of a prompt.

    Attributes:
        total: Their number.
        first_s: Monotonic second of the first one, infinity without one.
    """

    total: int
    first_s: float


class _CrashRecord:
    """One crash of an upstream, and the prompts that it ran."""

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.parts_by_fingerprint: dict[str, tuple[str, ...]] = {}
        self.all_parts: set[str] = set()

    def is_explained(
        self, prompt_parts: tuple[str, ...], blocked: Set[str]
    ) -> bool:
        """Returns whether a blocked part of another prompt explains it."""
        return any(
            part in self.all_parts and part not in prompt_parts
            for part in blocked
        )


def _crash_id(upstream: str, started_at_s: float) -> _CrashId:
    """Returns what identifies one crash of an upstream."""
    return (upstream, round(started_at_s))


class CrashTable:
    """Crashes by fingerprint, bounded in number; each expires.

    Attributes:
        blocked_parts: Returns the parts of prompts that are blocked.
    """

    def __init__(self, environment: clocks.Environment):
        self.blocked_parts: Callable[[], Set[str]] = frozenset
        self._environment = environment
        self._record_by_crash: collections.OrderedDict[
            _CrashId, _CrashRecord
        ] = collections.OrderedDict()
        self._at_s_by_crash_by_fingerprint: collections.OrderedDict[
            str, dict[_CrashId, float]
        ] = collections.OrderedDict()

    def add(self, crash: Crash) -> bool:
        """Records a crash; returns whether it was new for the fingerprint."""
        at_s = self._environment.monotonic_s() - crash.age_s
        crash_id = _crash_id(crash.upstream, crash.started_at_s)
        self._add_run(crash_id, crash, at_s)
        crash_times = self._at_s_by_crash_by_fingerprint.setdefault(
            crash.fingerprint, {}
        )
        if (
            crash_id in crash_times
            or len(crash_times) >= _MAX_CRASHES_PER_FINGERPRINT
        ):
            return False
        crash_times[crash_id] = at_s
        while len(self._at_s_by_crash_by_fingerprint) > _MAX_FINGERPRINTS:
            self._at_s_by_crash_by_fingerprint.popitem(last=False)
        return True

    def _add_run(self, crash_id: _CrashId, crash: Crash, at_s: float) -> None:
        record = self._record_by_crash.get(crash_id)
        if record is None:
            record = self._record_by_crash[crash_id] = _CrashRecord(at_s)
            while len(self._record_by_crash) > _MAX_DISTINCT_CRASHES:
                self._record_by_crash.popitem(last=False)
        if len(record.parts_by_fingerprint) < _MAX_RUNS_PER_CRASH:
            record.parts_by_fingerprint[crash.fingerprint] = crash.prompt_parts
            record.all_parts.update(crash.prompt_parts)

    def crashed_at_s(self, upstream: str, started_at_s: float) -> float | None:
        """Returns the monotonic second of a crash, None if it is not known."""
        record = self._record_by_crash.get(_crash_id(upstream, started_at_s))
        return None if record is None else record.at_s

    def recent_crashes(self) -> list[_CrashId]:
        """Returns the recent crashes, by upstream and its start time."""
        return list(self._record_by_crash)

    def prompts(
        self, upstream: str, started_at_s: float
    ) -> list[tuple[str, ...]]:
        """Returns the parts of the prompts that ran on a crashed upstream."""
        record = self._record_by_crash.get(_crash_id(upstream, started_at_s))
        if record is None:
            return []
        return [each for each in record.parts_by_fingerprint.values() if each]

    def part_crashes(self, part_id: str, after_s: float) -> PartCrashes:
        """Returns the crashes after a time that count for a prompt's part.

        Args:
            part_id: The part.
            after_s: Monotonic second up to which crashes don't count.
        """
        expired_s = self._environment.monotonic_s() - _CRASH_TTL_S
        blocked = self.blocked_parts()
        times_s = [
            record.at_s
            for record in self._record_by_crash.values()
            if part_id in record.all_parts
            and record.at_s > max(after_s, expired_s)
            and any(
                part_id in parts and not record.is_explained(parts, blocked)
                for parts in record.parts_by_fingerprint.values()
            )
        ]
        return PartCrashes(len(times_s), min(times_s, default=float("inf")))

    def clear(self, fingerprint: str) -> bool:
        """Removes a fingerprint; returns whether it had crashes."""
        crash_times = self._at_s_by_crash_by_fingerprint.pop(fingerprint, None)
        return crash_times is not None

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes that count and have not expired."""
        return len(self._counted_times_s(fingerprint))

    def _counted_times_s(self, fingerprint: str) -> list[float]:
        crash_times = self._at_s_by_crash_by_fingerprint.get(fingerprint)
        if not crash_times:
            return []
        now_s = self._environment.monotonic_s()
        for crash_id, at_s in list(crash_times.items()):
            if now_s - at_s > _CRASH_TTL_S:
                del crash_times[crash_id]
        return [
            at_s
            for crash_id, at_s in crash_times.items()
            if not self._is_explained(crash_id, fingerprint)
        ]

    def _is_explained(self, crash_id: _CrashId, fingerprint: str) -> bool:
        record = self._record_by_crash.get(crash_id)
        if record is None:
            return False
        parts = record.parts_by_fingerprint.get(fingerprint, ())
        return record.is_explained(parts, self.blocked_parts())

    def counts_by_fingerprint(self) -> dict[str, int]:
        """Returns the unexpired crashes of each suspect."""
        counts = {
            fingerprint: self.count(fingerprint)
            for fingerprint in self._at_s_by_crash_by_fingerprint
        }
        return {each: count for each, count in counts.items() if count}

    def blocked_s(self, fingerprint: str) -> float:
        """Returns for how long a fingerprint stays blocked, 0 if it isn't."""
        times_s = self._counted_times_s(fingerprint)
        if len(times_s) < _CRASHES_TO_BLOCK:
            return 0.0
        blocking_at_s = sorted(times_s)[-_CRASHES_TO_BLOCK]
        return blocking_at_s + _CRASH_TTL_S - self._environment.monotonic_s()
