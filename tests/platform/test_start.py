"""Hundreds of processes that start at the same time, and what that costs."""

import subprocess
import sys

_PROGRAM = """
import gc, runpy, sys
collections = []
gc.callbacks.append(lambda phase, info: collections.append(info))
sys.argv = ["lycheegw", "--check", "/nonexistent/settings"]
try:
    runpy.run_module("lycheegw.platform", run_name="__main__", alter_sys=True)
except SystemExit as stop:
    assert stop.code == 2, stop.code
print(len(collections), "lycheegw.platform.main" in sys.modules)
"""


def test_start_runs_no_garbage_collection() -> None:
    """Issue 52: collections took 50 of the 330 ms of a start."""
    ended = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    count, is_imported = ended.stdout.split()
    # Those of the modules that this program itself imports.
    assert int(count) <= 5
    assert is_imported == "True"
