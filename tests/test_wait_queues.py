"""Wait queues serve the most urgent requests first, then by arrival.

Guards against urgent requests that expire behind others while a service is
overloaded for seconds, as when a zone is closed and the upstreams of the
other zones come back cold.
"""

import contextlib

import hypothesis
from hypothesis import strategies

from lycheegw.coordination.load import wait_queues


@hypothesis.given(
    priorities=strategies.lists(strategies.integers(0, 2), max_size=20)
)
def test_queue_goes_by_priority_then_arrival(priorities: list[int]) -> None:
    queues = wait_queues.WaitQueues()
    with contextlib.ExitStack() as stack:
        tickets = [
            stack.enter_context(queues.wait("m", priority))
            for priority in priorities
        ]
        firsts = [
            ticket
            for ticket in tickets
            if queues.may_proceed("m", ticket.priority, ticket)
        ]
        assert firsts == ([min(tickets)] if tickets else [])
        for priority in range(3):
            is_most_urgent = all(priority < each for each in priorities)
            assert queues.may_proceed("m", priority, None) == is_most_urgent
        assert queues.may_proceed("other", 9, None)
    assert queues.may_proceed("m", 9, None)


def test_urgent_requests_are_served_under_overload() -> None:
    """30 requests/s arrive, a third of each priority; 10/s are served."""
    queues = wait_queues.WaitQueues()
    served = {0: 0, 1: 0, 2: 0}
    waiting: list[tuple[float, int, contextlib.ExitStack, object]] = []
    for arrival in range(300):
        now_s = arrival / 30
        stack = contextlib.ExitStack()
        ticket = stack.enter_context(queues.wait("m", arrival % 3))
        waiting.append((now_s + 0.4, arrival % 3, stack, ticket))
        for entry in list(waiting):
            if entry[0] < now_s:
                entry[2].close()
                waiting.remove(entry)
        if arrival % 3 == 0:
            first = min(waiting, key=lambda entry: entry[3])
            served[first[1]] += 1
            first[2].close()
            waiting.remove(first)
    assert served[0] >= 95
    assert served[1] + served[2] <= 5
