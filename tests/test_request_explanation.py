"""Explains requests from the log lines of two nodes."""

import json
import pathlib

import pytest

from lycheegw import request_explanation
from lycheegw.state import errors
from tests import test_cli


def _line(at_s: float, node: str, event: str, **fields: object) -> str:
    return json.dumps({"at_s": at_s, "node": node, "event": event, **fields})


LINES = [
    "built in 0.2 s",
    _line(95.0, "n1", "upstream_gone", upstream="u9"),
    _line(97.0, "n1", "upstream", upstream="u1", cold_s=3.0),
    _line(98.0, "n2", "dependency_lost", name="store"),
    _line(99.0, "n1", "dependency_lost", name="store", why="timeout"),
    "  8.12 n1 "
    + _line(100.0, "n1", "attempt", request_id="r1", upstream="u1", number=1),
    _line(100.2, "n1", "attempt", request_id="r2", upstream="u1", number=1),
    _line(
        100.5,
        "n1",
        "attempt_failed",
        request_id="r1",
        upstream="u1",
        reason="connection_lost",
        run="may_have_run",
    ),
    _line(
        100.6,
        "n1",
        "refused",
        request_id="r1",
        reason="may_have_run",
        run="may_have_run",
        taken_s=0.6,
        attempts=1,
    ),
    _line(100.9, "n1", "answered", request_id="r2", taken_s=0.7, attempts=1),
    _line(101.0, "n1", "attempt", request_id="r3", upstream="u1", number=1),
]


def test_history_includes_earlier_events_of_the_upstream() -> None:
    history = list(request_explanation.explain_request(reversed(LINES), "r1"))
    events = [text.split()[3] for text in history[:-1]]
    assert events == [
        "upstream",
        "dependency_lost",
        "attempt",
        "attempt_failed",
        "refused",
    ]
    assert history[-1].startswith("refused (may_have_run), it may have run")


@pytest.mark.parametrize(
    ("request_id", "expected"),
    [
        ("r2", "answered after 0.7 s"),
        ("r3", "the node crashed while serving it"),
    ],
)
def test_outcome_is_the_last_line(request_id: str, expected: str) -> None:
    assert (
        expected
        in list(request_explanation.explain_request(LINES, request_id))[-1]
    )


def test_unknown_request_is_an_error() -> None:
    with pytest.raises(errors.PlatformError, match="none of 10 lines"):
        list(request_explanation.explain_request(LINES, "r9"))


def test_command_reads_a_log_file(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "nodes.log"
    path.write_text("\n".join(LINES))
    arguments = ("explain", "r1", "--log", str(path))
    assert test_cli.run(monkeypatch, *arguments) == 0
    assert "attempt_failed" in capsys.readouterr().out
    assert test_cli.run(monkeypatch, "explain", "r1") == 2
    assert "--log" in capsys.readouterr().err


# Issue 55: an explanation that repeats a promise which other lines contradict.
@pytest.mark.parametrize(
    ("event", "fields"),
    [
        ("attempt_failed", {"run": "may_have_run"}),
        ("refused", {"run": "ran", "reason": "shed", "taken_s": 0.1}),
        ("answered", {"taken_s": 0.1, "attempts": 1}),
    ],
)
def test_promise_that_other_lines_contradict_is_pointed_out(
    event: str, fields: dict[str, object]
) -> None:
    refused = {"run": "not_run", "reason": "shed", "taken_s": 0.6}
    lines = [
        _line(100.0, "n2", event, request_id="r", **fields),
        _line(100.5, "n1", "refused", request_id="r", **refused),
    ]
    outcome = list(request_explanation.explain_request(lines, "r"))[-1]
    assert "it has not run, but n2 contradicts this" in outcome
    alone = list(request_explanation.explain_request(lines[1:], "r"))[-1]
    assert "contradicts" not in alone
