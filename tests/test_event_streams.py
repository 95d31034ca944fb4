"""Only whole events are cut out of a stream, however its bytes come."""

import itertools

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import event_streams


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(0, 999), max_size=6),
    cuts=strategies.lists(strategies.integers(0, 200), max_size=8),
    mark=strategies.sampled_from([b"\n", b"\r\n"]),
)
def test_events_do_not_depend_on_the_cuts(
    numbers: list[int], cuts: list[int], mark: bytes
) -> None:
    events = [
        b"id: %d%sdata: x%s%s" % (number, mark, mark, mark)
        for number in numbers
    ]
    data = b"".join(events) + b"id: 1000" + mark + b"dat"
    places = sorted({0, len(data), *(min(cut, len(data)) for cut in cuts)})
    reader = event_streams.EventReader()
    seen = []
    for start, end in itertools.pairwise(places):
        seen += reader.feed(data[start:end])
    assert [event.data for event in seen] == events
    assert [event.event_id for event in seen] == [str(n) for n in numbers]
    assert reader.rest == b"id: 1000" + mark + b"dat"
