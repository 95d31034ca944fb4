"""Pattern: a zone is closed and the upstreams of the others come back cold.

For seconds the service bears fewer requests than are asked of it. Whoever is
most urgent gets the next place, in the order of arrival among equals.
"""

import contextlib

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import waiting_lines


@hypothesis.given(
    priorities=strategies.lists(strategies.integers(0, 2), max_size=20)
)
def test_places_go_by_priority_then_arrival(priorities: list[int]) -> None:
    lines = waiting_lines.WaitingLines()
    with contextlib.ExitStack() as stack:
        tickets = [
            stack.enter_context(lines.wait("m", priority))
            for priority in priorities
        ]
        firsts = [
            ticket
            for ticket in tickets
            if lines.may_try("m", ticket.priority, ticket)
        ]
        assert firsts == ([min(tickets)] if tickets else [])
        for priority in range(3):
            is_most_urgent = all(priority < each for each in priorities)
            assert lines.may_try("m", priority, None) == is_most_urgent
        assert lines.may_try("other", 9, None)
    assert lines.may_try("m", 9, None)


def test_urgent_requests_are_served_in_a_cold_zone() -> None:
    """30 requests a second, a third of each priority; 10 places a second."""
    lines = waiting_lines.WaitingLines()
    served = {0: 0, 1: 0, 2: 0}
    waiting: list[tuple[float, int, contextlib.ExitStack, object]] = []
    for tick in range(300):
        now_s = tick / 30
        stack = contextlib.ExitStack()
        ticket = stack.enter_context(lines.wait("m", tick % 3))
        waiting.append((now_s + 0.4, tick % 3, stack, ticket))
        for entry in list(waiting):
            if entry[0] < now_s:
                entry[2].close()
                waiting.remove(entry)
        if tick % 3 == 0:
            first = min(waiting, key=lambda entry: entry[3])
            served[first[1]] += 1
            first[2].close()
            waiting.remove(first)
    assert served[0] >= 95
    assert served[1] + served[2] <= 5
