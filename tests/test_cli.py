"""The command line reports errors in one line, without a traceback."""

import json
import pathlib

import pytest

from lycheegw import cli

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def run(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr("sys.argv", ["lycheegw", *arguments])
    with pytest.raises(SystemExit) as exit_:
        cli.main()
    return int(exit_.value.code or 0)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (("frobnicate",), "frobnicate"),
        (("check", "records.json", "--colour"), "--colour"),
        (("check", "no-such-file.json"), "no-such-file.json"),
        (("node", "--settings", "no-such-file.json"), "No such file"),
        (("standin", "oven", "--settings", "x.json"), "no such stand-in"),
        (("measure", "happiness"), "no such measure"),
        (("node",), "settings"),
    ],
)
def test_usage_errors_are_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
    expected: str,
) -> None:
    assert run(monkeypatch, *arguments) == 2
    captured = capsys.readouterr()
    assert expected in captured.err
    assert captured.err.count("\n") == 1
    assert "Traceback" not in captured.err


def test_check_reports_every_fault_with_its_path(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    value = json.loads((EXAMPLES / "node.json").read_text())
    value["zonne"] = 1
    value["listen"] = "here"
    value["limits"] = {"token_gap_timeout_s": -1}
    value["secrets"]["peer_key"] = "short"
    path = tmp_path / "node.json"
    path.write_text(json.dumps(value))
    assert run(monkeypatch, "check", str(path)) == 2
    stderr = capsys.readouterr().err
    for fault in ("zonne", "/listen", "/limits/token_gap", "/secrets/peer_key"):
        assert fault in stderr
    assert "short" not in stderr.replace("too short", "")


def test_check_reports_contradicting_fields(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    value = json.loads((EXAMPLES / "node.json").read_text())
    value["peer_listen"] = value["listen"]
    value["platform"]["log"] = "300.0.0.1:70000"
    value["limits"] = {"default_deadline_s": 700, "max_deadline_s": 600}
    path = tmp_path / "node.json"
    path.write_text(json.dumps(value))
    assert run(monkeypatch, "check", str(path)) == 2
    assert capsys.readouterr().err.count("\n") == 4


def test_examples_are_valid(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("node.json", "records.json"):
        assert run(monkeypatch, "check", str(EXAMPLES / name)) == 0


def test_error_of_a_wrong_type_omits_the_value(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    value = json.loads((EXAMPLES / "node.json").read_text())
    path = tmp_path / "list.json"
    path.write_text(json.dumps([value]))
    assert run(monkeypatch, "node", "--settings", str(path)) == 2
    stderr = capsys.readouterr().err
    assert stderr == "lycheegw: /: is not of type object\n"
