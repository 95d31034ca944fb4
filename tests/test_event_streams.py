"""Events are parsed completely however the stream's bytes are split."""

import itertools

import hypothesis
from hypothesis import strategies

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
