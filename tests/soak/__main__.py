"""Runs soaks by hand: python -m tests.soak --seeds 1-50 --seconds 40."""

import asyncio
import collections
import pathlib
import sys
import time

import fire

from tests.soak import checker
from tests.soak import schedule
from tests.soak import world


def soak(
    seeds: str = "1",
    seconds: float = 40.0,
    nodes: int = 6,
    logs: str = "soak-logs",
    source: str = "",
    *,
    strict: bool = False,
    restores: bool = False,
    print_schedule: bool = False,
) -> None:
    """Runs one soak for each seed; exits with 1 if a rule was broken.

    Args:
        seeds: A seed, or the first and the last one as "1-50".
        seconds: Length of the load of each soak.
        nodes: Number of node processes.
        logs: Folder of the nodes' settings and logs.
        source: Folder of the code that nodes run, if not this tree's.
        strict: Whether a freeze excuses nothing once it has ended, and little
            processor time nothing at all.
        restores: Whether the store is restored from backups, besides.
        print_schedule: Whether to print the faults of each seed.
    """
    first, _, last = str(seeds).partition("-")
    is_broken = False
    for seed in range(int(first), int(last or first) + 1):
        faults = schedule.draw(seed, seconds)
        if restores:
            faults = sorted(faults + schedule.draw_restores(seed, seconds))
        if print_schedule:
            print(*faults, sep="\n")
        started_s = time.monotonic()
        folder = pathlib.Path(logs) / str(seed)
        run = world.Soak(
            seed, seconds, nodes, folder, restores=restores, source=source
        )
        asyncio.run(run.run())
        if strict:
            checker.drop_disturbances(run.record, "freeze")
            checker.drop_disturbances(run.record, "slow_process")
        violations = checker.check(run.record, checker.Bounds())
        is_broken = is_broken or bool(violations)
        judged = checker.judged_share(run.record, checker.Bounds())
        statuses = collections.Counter(
            each.status for each in run.record.ended_by_id.values()
        )
        print(
            f"seed {seed}: {time.monotonic() - started_s:.0f} s,"
            f" {nodes} nodes, {len(run.record.sent_by_id)} requests"
            f" {dict(statuses)}, {judged:.2f} of the arrivals judged,"
            f" faults {dict(collections.Counter(f.kind for f in faults))},"
            f" {_peak_mb(run.record):.0f} of {run.record.memory_mb:.0f} MB,"
            f" {len(violations)} violations"
            f" {dict(collections.Counter(v.rule for v in violations))}",
            flush=True,
        )
        for violation in violations[:20]:
            print(
                f"  {violation.rule} {violation.attempt_id}: {violation.text}"
            )
        if violations:
            path = folder / "violations.txt"
            path.write_text("\n".join([*_trace(folder, violations), ""]))
            print(f"  logs: {path}", flush=True)
    sys.exit(1 if is_broken else 0)


def _peak_mb(record: checker.Record) -> float:
    """Returns the most memory that a node process had."""
    peaks = record.peak_by_pid.values()
    return max((each.peak_mb for each in peaks), default=0.0)


def _trace(
    folder: pathlib.Path, violations: list[checker.Violation]
) -> list[str]:
    """Returns violations, each with the nodes' lines that name its request."""
    lines = [
        f"{path.stem}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
    ]
    traced = []
    for violation in violations:
        traced.append(
            f"{violation.rule} {violation.attempt_id}: {violation.text}"
        )
        name = f'"{violation.attempt_id}"'
        traced += [line for line in lines if name in line]
    return traced


if __name__ == "__main__":
    fire.Fire(soak)
