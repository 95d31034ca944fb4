"""Checks that each event logged by a node on the platform is documented."""

import ast
import pathlib
import re

import lycheegw

ROOT = pathlib.Path(lycheegw.__file__).parent
OPERATIONS_PAGE = ROOT.parent.parent / "docs" / "OPERATIONS.md"


def _logged_events() -> dict[str, pathlib.Path]:
    """Returns the events logged by a literal name, with a file of each."""
    file_by_event = {}
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            value = getattr(node.args[0], "value", None)
            if name in {"note", "_note"} and isinstance(value, str):
                file_by_event[value] = path
    return file_by_event


def test_logged_events_are_documented() -> None:
    table = (
        OPERATIONS_PAGE.read_text()
        .partition("## Lines")[2]
        .partition("\n## ")[0]
    )
    documented = set(re.findall(r"`([a-z_]+)`", table))
    events = _logged_events()
    assert len(events) > 15
    for event, path in events.items():
        assert event in documented, (
            f"{event} of {path} is not in {OPERATIONS_PAGE}"
        )
