"""Finds a measure by name, runs it and reports whether its bounds hold."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import importlib.util
import json
import pathlib

from lycheegw.measure import report
from lycheegw.measure import targets
from lycheegw.state import errors

__all__ = ["names", "run"]

_TIMEOUT_S = 60.0

Measure = Callable[[int, float], Awaitable[report.Findings]]


def _module_name(name: str) -> str:
    return f"lycheegw.measure.{name.replace('-', '_')}"


def names() -> list[str]:
    """Returns the names of the measures that can be run."""
    return [
        name
        for name in targets.BOUNDS_BY_MEASURE
        if importlib.util.find_spec(_module_name(name)) is not None
    ]


def run(name: str, seed: int, scale: float, out: str | None) -> int:
    """Runs a measure; returns 0 if its bounds hold, else 1.

    Writes raw data and a plot to the directory `out` unless it is None.

    Raises:
        errors.ConfigurationError: There is no such measure.
    """
    if name not in names():
        raise errors.ConfigurationError(
            [f"{name}: no such measure; expected one of {', '.join(names())}"]
        )
    measure: Measure = importlib.import_module(_module_name(name)).run
    findings = asyncio.run(asyncio.wait_for(measure(seed, scale), _TIMEOUT_S))
    if out is not None:
        _write(pathlib.Path(out), name, seed, findings)
    report.print_findings(name, seed, findings)
    return 0 if report.is_met(name, findings) else 1


def _write(
    directory: pathlib.Path, name: str, seed: int, findings: report.Findings
) -> None:
    """Writes raw data and a plot of the figures beside the baseline's."""
    directory.mkdir(parents=True, exist_ok=True)
    value = report.to_json(name, seed, findings) | {"raw": findings.raw}
    (directory / f"{name}.json").write_text(json.dumps(value, indent=2))
    _plot(directory / f"{name}.png", findings)


def _plot(path: pathlib.Path, findings: report.Findings) -> None:
    # Imported here because the library is slow to load and rarely needed.
    import matplotlib.figure  # noqa: PLC0415

    shared = [name for name in findings.figures if name in findings.baseline]
    figure = matplotlib.figure.Figure(figsize=(8, 3 * max(1, len(shared))))
    for index, name in enumerate(shared):
        axes = figure.add_subplot(len(shared), 1, index + 1)
        axes.barh(
            ["router", findings.baseline_name],
            [findings.figures[name], findings.baseline[name]],
        )
        axes.set_title(name)
    figure.tight_layout()
    figure.savefig(path)
