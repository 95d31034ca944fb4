"""Bounds on the figures of each measure, from the router's requirements."""

from typing import NamedTuple

__all__ = ["BOUNDS_BY_MEASURE", "Bound"]


class Bound(NamedTuple):
    """A bound on one figure.

    Attributes:
        figure: Name of the figure, with its unit.
        is_upper: Whether the figure may not exceed the value.
        value: The bound.
    """

    figure: str
    is_upper: bool
    value: float

    def holds(self, figure: float) -> bool:
        """Returns whether the value of the figure keeps the bound."""
        if self.is_upper:
            return figure <= self.value
        return figure >= self.value

    def __str__(self) -> str:
        sign = "<=" if self.is_upper else ">="
        return f"{self.figure} {sign} {self.value:g}"


def _at_most(figure: str, value: float) -> Bound:
    return Bound(figure, True, value)


def _at_least(figure: str, value: float) -> Bound:
    return Bound(figure, False, value)


BOUNDS_BY_MEASURE: dict[str, tuple[Bound, ...]] = {
    "stream": (
        _at_most("added_first_token_p95_s", 0.05),
        _at_most("token_gap_p95_s", 0.059),
        _at_least("tokens_per_s", 5950),
    ),
    "config-spread": (
        _at_most("in_force_everywhere_s", 14),
        _at_most("reverts", 0),
    ),
    "zone-move": (
        _at_most("last_new_work_s", 3),
        _at_most("lost_requests", 0),
    ),
    "bad-version": (_at_most("exposed_ratio", 1), _at_most("wrong_holds", 0)),
    "partition": (
        _at_most("reverts", 0),
        _at_most("catch_up_s", 14),
        _at_most("refused_while_cut", 0),
    ),
    "rollout": (
        _at_most("orders_on_lapsed_lease", 0),
        _at_most("unfinished", 0),
    ),
    "cold-start": (_at_most("falls", 0),),
    "at-most-once": (
        _at_most("double_runs", 0),
        _at_most("false_not_run", 0),
        _at_most("appends_per_s_at_size", 300),
    ),
    "billing": (_at_most("missing", 0), _at_most("double", 0)),
    "poison": (
        _at_most("upstreams_crashed", 2),
        _at_most("innocents_condemned", 0),
    ),
    "overload": (_at_least("goodput_ratio_2x", 0.9),),
    # The platform requires that work ends within 0.5 s of its caller leaving.
    "http-edge": (_at_most("work_after_leaving_s", 0.5),),
    # A line must not block: a stream's event may be at most 120 ms late.
    "event-log": (_at_most("longest_unread_line_ms", 120.0),),
    "silent": (_at_most("double_runs", 0), _at_most("unanswered", 0)),
    "whole-answers": (
        _at_most("broken_passed_as_whole", 0),
        _at_most("answers_of_others", 0),
    ),
    "cost-quality": (
        _at_most("cost_to_always_best", 0.6),
        _at_most("cost_to_hindsight", 1.1),
        _at_least("quality_minus_target", 0),
    ),
    # Lateness of the largest tenth of the prompts, as a ratio to an oracle.
    "balance": tuple(
        _at_most(f"late_of_largest_to_oracle_{nodes}", 1.25)
        for nodes in (7, 76, 186)
    ),
    "control-cost": (
        _at_most("core_share", 0.013),
        _at_most("memory_mb", 32),
        _at_most("kilobytes_per_s", 7),
    ),
    "capacity": (
        _at_most("idle_memory_mb", 54),
        _at_most("ready_s", 1),
        _at_most("appends_per_s_at_size", 300),
    ),
}
