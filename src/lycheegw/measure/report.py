"""Formats the findings of a measure as a table and as one JSON line."""

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

from lycheegw.measure import targets

__all__ = ["Findings", "is_met", "print_findings", "to_json"]


class Findings(NamedTuple):
    """Figures of the router and of a baseline, from one run of a measure.

    Attributes:
        figures: Figures of the router by name, units in the names.
        baseline_name: What the baseline does instead of the router's way.
        baseline: The baseline's figures, by the same names.
        raw: Rows of raw data, written with `--out`.
    """

    figures: Mapping[str, float]
    baseline_name: str
    baseline: Mapping[str, float]
    raw: tuple[Mapping[str, Any], ...] = ()


def _bounds(name: str) -> tuple[targets.Bound, ...]:
    return targets.BOUNDS_BY_MEASURE[name]


def is_met(name: str, findings: Findings) -> bool:
    """Returns whether each bound holds; one without a figure doesn't."""
    return all(
        bound.figure in findings.figures
        and bound.holds(findings.figures[bound.figure])
        for bound in _bounds(name)
    )


def _ratios(findings: Findings) -> dict[str, float]:
    return {
        figure: round(findings.figures[figure] / value, 4)
        for figure, value in findings.baseline.items()
        if value and figure in findings.figures
    }


def to_json(name: str, seed: int, findings: Findings) -> dict[str, Any]:
    """Returns the JSON object of a measure."""
    return {
        "measure": name,
        "seed": seed,
        "figures": dict(findings.figures),
        "baseline": {"name": findings.baseline_name, **findings.baseline},
        "ratio": _ratios(findings),
        "target": [str(bound) for bound in _bounds(name)],
        "met": is_met(name, findings),
    }


def print_findings(name: str, seed: int, findings: Findings) -> None:
    """Prints the table and, as the last line, the JSON object."""
    print(f"{'figure':32} {'router':>12} {findings.baseline_name:>16}")
    for figure, value in findings.figures.items():
        baseline_value = findings.baseline.get(figure)
        baseline_text = (
            "" if baseline_value is None else f"{baseline_value:.4g}"
        )
        print(f"{figure:32} {value:12.4g} {baseline_text:>16}")
    for bound in _bounds(name):
        figure_value = findings.figures.get(bound.figure)
        is_held = figure_value is not None and bound.holds(figure_value)
        print(f"  {bound}: {'held' if is_held else 'MISSED'}")
    print(json.dumps(to_json(name, seed, findings)))
