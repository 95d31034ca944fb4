"""Every line that a node on the platform writes is told to operators."""

import ast
import pathlib
import re

import lycheegw

ROOT = pathlib.Path(lycheegw.__file__).parent
PAGE = ROOT.parent.parent / "docs" / "OPERATIONS.md"


def _events() -> dict[str, pathlib.Path]:
    """Returns the events that are noted by name, with a file of each."""
    found = {}
    for path in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            value = getattr(node.args[0], "value", None)
            if name in {"note", "_note"} and isinstance(value, str):
                found[value] = path
    return found


def test_lines_are_documented() -> None:
    table = PAGE.read_text().partition("## Lines")[2].partition("\n## ")[0]
    documented = set(re.findall(r"`([a-z_]+)`", table))
    events = _events()
    assert len(events) > 15
    for event, path in events.items():
        assert event in documented, f"{event} of {path} is not in {PAGE}"
