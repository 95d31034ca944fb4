"""Lines of events: bounded, whole, and never blocking."""

import json
import os

from lycheegw.transport import event_log
from tests import fakes


def _log(clock: fakes.Clock) -> tuple[event_log.EventLog, int]:
    reader, writer = os.pipe()
    environment = clock.environment()
    log = event_log.EventLog(
        "n1", environment.wall_s, environment.monotonic_s, writer
    )
    os.set_blocking(reader, False)
    return log, reader


def _lines(reader: int) -> list[dict[str, object]]:
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 16)
        except BlockingIOError:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_line_is_one_json_object() -> None:
    log, reader = _log(fakes.Clock())
    log.note("refused", request_id="r1", reason="shed", left_s=0.5)
    (line,) = _lines(reader)
    assert line["event"] == "refused"
    assert (line["node"], line["request_id"]) == ("n1", "r1")


def test_lines_of_a_second_are_bounded_and_counted() -> None:
    """burst: routine lines leave room for failures."""
    clock = fakes.Clock()
    log, reader = _log(clock)
    for _ in range(500):
        log.note("attempt", request_id="r")
    log.note("refused", request_id="r", reason="shed")
    clock.now_s += 1.0
    log.note("start")
    lines = _lines(reader)
    events = [line["event"] for line in lines]
    assert events.count("attempt") < 100
    assert events.count("refused") == 1
    (summary,) = [each for each in lines if each["event"] == "lines_left_out"]
    assert summary["count_by_event"] == {
        "attempt": 500 - events.count("attempt")
    }


def test_slow_reader_costs_lines_not_time() -> None:
    clock = fakes.Clock()
    log, reader = _log(clock)
    for _ in range(200):
        clock.now_s += 1.0
        for _ in range(50):
            log.note("refused", text="x" * 200)
    lines = _lines(reader)
    log.flush()
    lines += _lines(reader)
    assert 0 < len(lines) < 200 * 50
    assert all(line["event"] for line in lines)


def test_reader_that_left_ends_nothing() -> None:
    log, reader = _log(fakes.Clock())
    os.close(reader)
    log.note("start")
    log.note("stop")
