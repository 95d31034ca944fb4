"""Tests of the event log: rate limit, complete lines, non-blocking writes."""

import json
import os

from lycheegw.transport import event_log
from tests import fakes


def _event_log(clock: fakes.ManualClock) -> tuple[event_log.EventLog, int]:
    reader, writer = os.pipe()
    environment = clock.environment()
    log = event_log.EventLog(
        "n1", environment.wall_s, environment.monotonic_s, writer
    )
    os.set_blocking(reader, False)
    return log, reader


def _read_lines(reader: int) -> list[dict[str, object]]:
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 16)
        except BlockingIOError:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_event_is_written_as_one_json_line() -> None:
    log, reader = _event_log(fakes.ManualClock())
    log.note("refused", request_id="r1", reason="shed", left_s=0.5)
    (line,) = _read_lines(reader)
    assert line["event"] == "refused"
    assert (line["node"], line["request_id"]) == ("n1", "r1")


def test_lines_above_the_limit_of_a_second_are_counted() -> None:
    """A burst of routine events must not displace the lines of other events."""
    clock = fakes.ManualClock()
    log, reader = _event_log(clock)
    for _ in range(500):
        log.note("attempt", request_id="r")
    log.note("refused", request_id="r", reason="shed")
    clock.now_s += 1.0
    log.note("start")
    lines = _read_lines(reader)
    events = [line["event"] for line in lines]
    assert events.count("attempt") < 100
    assert events.count("refused") == 1
    (summary,) = [each for each in lines if each["event"] == "lines_left_out"]
    assert summary["count_by_event"] == {
        "attempt": 500 - events.count("attempt")
    }


def test_slow_reader_causes_dropped_lines() -> None:
    clock = fakes.ManualClock()
    log, reader = _event_log(clock)
    for _ in range(200):
        clock.now_s += 1.0
        for _ in range(50):
            log.note("refused", text="x" * 200)
    lines = _read_lines(reader)
    log.flush()
    lines += _read_lines(reader)
    assert 0 < len(lines) < 200 * 50
    assert all(line["event"] for line in lines)


def test_closed_reader_raises_no_error() -> None:
    log, reader = _event_log(fakes.ManualClock())
    os.close(reader)
    log.note("start")
    log.note("stop")
