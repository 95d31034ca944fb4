"""Events are parsed completely however the stream's bytes are split."""

import itertools
import time

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.coordination import event_streams


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(0, 999), max_size=6),
    splits=strategies.lists(strategies.integers(0, 200), max_size=8),
    line_end=strategies.sampled_from([b"\n", b"\r\n"]),
)
def test_events_do_not_depend_on_how_the_stream_is_split(
    numbers: list[int], splits: list[int], line_end: bytes
) -> None:
    events = [
        b"id: %d%sdata: x%s%s" % (number, line_end, line_end, line_end)
        for number in numbers
    ]
    data = b"".join(events) + b"id: 1000" + line_end + b"dat"
    positions = sorted(
        {0, len(data), *(min(split, len(data)) for split in splits)}
    )
    parser = event_streams.EventParser()
    parsed = []
    for start, end in itertools.pairwise(positions):
        parsed += parser.feed(data[start:end])
    assert [event.data for event in parsed] == events
    assert [event.event_id for event in parsed] == [str(n) for n in numbers]
    assert parser.incomplete == b"id: 1000" + line_end + b"dat"


# Guards against a stream whose events, read together, keep the node busy: each
# was cut off the rest, which was copied.
def test_parsing_takes_time_in_proportion_to_the_bytes() -> None:
    def least_s(data: bytes) -> float:
        times_s = []
        for _ in range(5):
            begun_s = time.perf_counter()
            assert list(event_streams.EventParser().feed(data))
            times_s.append(time.perf_counter() - begun_s)
        return min(times_s)

    short = b"id: 1\ndata: x\n\n" * 2000
    assert least_s(short * 16) < 2 * 16 * least_s(short)


# Guards against a stream of empty lines or comments that keeps the node busy.
@pytest.mark.parametrize("empty", [b"\n\n", b": comment\n\n"])
def test_stream_of_empty_events_is_a_fault(empty: bytes) -> None:
    parser = event_streams.EventParser()
    sound = b"id: 1\ndata: x\n\n"
    for _ in range(10):
        assert len(list(parser.feed(empty * 500 + sound))) == 501
    assert not parser.fault
    events = list(parser.feed(sound + empty * 2000))
    assert events[0].data == sound
    assert len(events) < 2000
    assert parser.fault
