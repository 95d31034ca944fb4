"""Decides which part of a prompt crashes the upstreams that answer it.

Requests may have a part of their prompts in common and nothing else. A part is
blamed for the crashes of upstreams that ran prompts with it since such a prompt
was last answered whole. Of several parts, the one with the most crashes is
blamed; of those with equally many, one that was never answered, and then the
one furthest back in the prompt, which the fewest requests have.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from lycheegw.coordination import crash_table
from lycheegw.state import clocks

__all__ = ["PartStatus", "PartTable", "PartVerdict"]

# Crashes after which a part is a suspect, and is blocked, if no prompt with it
# was ever answered.
_NEW_CRASHES_TO_SUSPECT = 2
_NEW_CRASHES_TO_BLOCK = 3
# The same for a part with which prompts were answered before.
_KNOWN_CRASHES_TO_SUSPECT = 3
_KNOWN_CRASHES_TO_BLOCK = 5
# A part with which a prompt was answered this recently is not blamed: crashes
# may follow each other faster than sound prompts are answered.
_MIN_UNANSWERED_S = 2.0
_VERDICT_TTL_S = 600.0
_MAX_VERDICTS = 1024
# Parts whose latest answer is remembered.
_MAX_ANSWERED_PARTS = 8192


class PartStatus(enum.IntEnum):
    """What is held of a part of a prompt."""

    SOUND = 0
    SUSPECT = 1
    BLOCKED = 2


class PartVerdict(NamedTuple):
    """A statement about a part, which nodes send to each other.

    Attributes:
        part_id: The part.
        status: What is held of it.
        revision: Grows with each statement about the part.
        age_s: Seconds since the statement.
        crashes_age_s: Seconds since the first crash that it rests on.
    """

    part_id: str
    status: PartStatus
    revision: int
    age_s: float = 0.0
    crashes_age_s: float = 0.0


class _Held(NamedTuple):
    """A verdict in monotonic seconds."""

    status: PartStatus
    revision: int
    at_s: float
    first_crash_s: float


class _Blame(NamedTuple):
    """What speaks against a part; the greatest one is to blame.

    Attributes:
        crashes: Crashes since a prompt with it was last answered.
        is_new: Whether no prompt with it was ever answered.
        depth: Its place in a prompt.
    """

    crashes: int
    is_new: bool
    depth: int


class PartTable:
    """The latest answers and verdicts of prompt parts; bounded, all expire."""

    def __init__(
        self, environment: clocks.Environment, crashes: crash_table.CrashTable
    ):
        self._environment = environment
        self._crashes = crashes
        self._answered_s_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._held_by_part: collections.OrderedDict[str, _Held] = (
            collections.OrderedDict()
        )
        crashes.blocked_parts = self.blocked_parts

    def note_answered(self, prompt_parts: Iterable[str]) -> list[str]:
        """Records a whole answer; returns the parts that it exonerates."""
        now_s = self._environment.monotonic_s()
        exonerated = []
        for part_id in prompt_parts:
            self._set_answered(part_id, now_s)
            if self.status(part_id) is not PartStatus.SOUND:
                exonerated.append(part_id)
        return exonerated

    def _set_answered(self, part_id: str, at_s: float) -> None:
        former_s = self._answered_s_by_part.pop(part_id, -math.inf)
        self._answered_s_by_part[part_id] = max(former_s, at_s)
        if len(self._answered_s_by_part) > _MAX_ANSWERED_PARTS:
            self._answered_s_by_part.popitem(last=False)

    def answer_ages(self, part_ids: Iterable[str]) -> dict[str, float]:
        """Returns the seconds since the last whole answer with each part."""
        now_s = self._environment.monotonic_s()
        return {
            part_id: now_s - self._answered_s_by_part[part_id]
            for part_id in part_ids
            if part_id in self._answered_s_by_part
        }

    def merge_answer_ages(self, age_s_by_part: Mapping[str, float]) -> None:
        """Records answers that another node saw."""
        now_s = self._environment.monotonic_s()
        for part_id, age_s in age_s_by_part.items():
            self._set_answered(part_id, now_s - age_s)

    def status(self, part_id: str) -> PartStatus:
        """Returns what is held of a part now."""
        held = self._held_by_part.get(part_id)
        if held is None or self._has_expired(held):
            return PartStatus.SOUND
        return held.status

    def _has_expired(self, held: _Held) -> bool:
        return self._environment.monotonic_s() - held.at_s > _VERDICT_TTL_S

    def blocked_parts(self) -> set[str]:
        """Returns the blocked parts."""
        return {
            part_id
            for part_id, held in self._held_by_part.items()
            if held.status is PartStatus.BLOCKED and not self._has_expired(held)
        }

    def blocked_s(self, prompt_parts: Iterable[str]) -> float:
        """Returns for how long a prompt stays blocked, 0 if it isn't."""
        now_s = self._environment.monotonic_s()
        return max(
            (
                self._held_by_part[part_id].at_s + _VERDICT_TTL_S - now_s
                for part_id in prompt_parts
                if self.status(part_id) is PartStatus.BLOCKED
            ),
            default=0.0,
        )

    def suspect(self, prompt_parts: Iterable[str]) -> str | None:
        """Returns the last suspect part of a prompt, None if it has none."""
        found = None
        for part_id in prompt_parts:
            if self.status(part_id) is PartStatus.SUSPECT:
                found = part_id
        return found

    def judge(self, upstream: str, started_at_s: float) -> PartVerdict | None:
        """Returns a more severe verdict on a part that explains a crash.

        A part is not blocked as long as one of another prompt that ran there
        explains as many crashes.

        Args:
            upstream: Upstream that crashed.
            started_at_s: Wall second at which it had started.
        """
        prompts = self._crashes.prompts(upstream, started_at_s)
        blocked = self.blocked_parts()
        if any(part in blocked for prompt in prompts for part in prompt):
            return None
        blame_by_part = self._blame_by_part(prompts)
        if not blame_by_part:
            return None
        part_id = max(blame_by_part, key=lambda each: blame_by_part[each])
        blame = blame_by_part[part_id]
        beside = {
            part for prompt in prompts if part_id in prompt for part in prompt
        }
        is_alone = all(
            other.crashes < blame.crashes
            for part, other in blame_by_part.items()
            if part not in beside
        )
        status = _status_by_crashes(blame.crashes, blame.is_new)
        if not is_alone:
            status = min(status, PartStatus.SUSPECT)
        if status <= self.status(part_id):
            return None
        first_s = self._crashes.part_crashes(
            part_id, self._answered_s_by_part.get(part_id, -math.inf)
        ).first_s
        return PartVerdict(
            part_id,
            status,
            self._next_revision(part_id),
            0.0,
            max(0.0, self._environment.monotonic_s() - first_s),
        )

    def _blame_by_part(
        self, prompts: Iterable[tuple[str, ...]]
    ) -> dict[str, _Blame]:
        """Returns what speaks against the parts without a recent answer."""
        now_s = self._environment.monotonic_s()
        blame_by_part = {}
        depth_by_part = {
            part: depth
            for prompt in prompts
            for depth, part in enumerate(prompt)
        }
        for part, depth in depth_by_part.items():
            answered_s = self._answered_s_by_part.get(part, -math.inf)
            if now_s - answered_s < _MIN_UNANSWERED_S:
                continue
            crashes = self._crashes.part_crashes(part, answered_s)
            is_new = answered_s == -math.inf
            blame_by_part[part] = _Blame(crashes.total, is_new, depth)
        return blame_by_part

    def exonerate(self, part_id: str) -> PartVerdict:
        """Returns the verdict that a part is sound."""
        return PartVerdict(
            part_id, PartStatus.SOUND, self._next_revision(part_id)
        )

    def _next_revision(self, part_id: str) -> int:
        held = self._held_by_part.get(part_id)
        return 1 if held is None else held.revision + 1

    def apply(self, verdict: PartVerdict) -> bool:
        """Applies a verdict; returns whether it was news.

        Of two verdicts with the same revision, the milder one counts, as it
        rests on a whole answer.
        """
        held = self._held_by_part.get(verdict.part_id)
        if held is not None and (verdict.revision, -verdict.status) <= (
            held.revision,
            -held.status,
        ):
            return False
        now_s = self._environment.monotonic_s()
        new = _Held(
            verdict.status,
            verdict.revision,
            now_s - verdict.age_s,
            now_s - verdict.crashes_age_s,
        )
        if self._has_expired(new):
            return False
        self._held_by_part.pop(verdict.part_id, None)
        self._held_by_part[verdict.part_id] = new
        if len(self._held_by_part) > _MAX_VERDICTS:
            self._held_by_part.popitem(last=False)
        return True

    def is_refuted(self, verdict: PartVerdict) -> bool:
        """Returns whether a prompt was answered after the first crash."""
        answered_s = self._answered_s_by_part.get(verdict.part_id, -math.inf)
        now_s = self._environment.monotonic_s()
        return (
            verdict.status is not PartStatus.SOUND
            and answered_s > now_s - verdict.crashes_age_s
        )

    def verdict(self, part_id: str) -> PartVerdict | None:
        """Returns the verdict that is held, with its present age."""
        held = self._held_by_part.get(part_id)
        if held is None or self._has_expired(held):
            return None
        now_s = self._environment.monotonic_s()
        return PartVerdict(
            part_id,
            held.status,
            held.revision,
            now_s - held.at_s,
            now_s - held.first_crash_s,
        )


def _status_by_crashes(crashes: int, is_new: bool) -> PartStatus:
    """Returns the status of a part by the crashes that count for it."""
    to_suspect, to_block = _KNOWN_CRASHES_TO_SUSPECT, _KNOWN_CRASHES_TO_BLOCK
    if is_new:
        to_suspect, to_block = _NEW_CRASHES_TO_SUSPECT, _NEW_CRASHES_TO_BLOCK
    if crashes >= to_block:
        return PartStatus.BLOCKED
    return PartStatus.SUSPECT if crashes >= to_suspect else PartStatus.SOUND
