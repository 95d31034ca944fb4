"""What a memory budget grants, refuses and gets back."""

import hypothesis
from hypothesis import strategies

from lycheegw.state import memory_budget


# Guards against a sum above the limit, and bytes that are never given back.
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4), strategies.integers(0, 200_000)
        ),
        max_size=40,
    )
)
def test_sum_stays_within_the_limit_and_returns_to_zero(
    steps: list[tuple[int, int]],
) -> None:
    budget = memory_budget.MemoryBudget(300_000)
    holders = [budget.open() for _ in range(5)]
    for index, size in steps:
        before = holders[index].size
        is_granted = holders[index].resize(size)
        assert holders[index].size == (size if is_granted else before)
        assert is_granted or size > before
        assert budget.held == sum(each.size for each in holders)
        assert budget.held <= budget.limit
    for each in holders:
        each.release()
    assert budget.held == 0


# Guards against long bodies that keep short requests out.
def test_large_reservations_leave_room_for_small_ones() -> None:
    budget = memory_budget.MemoryBudget(1_000_000)
    large = [budget.open() for _ in range(40)]
    assert not all([each.resize(100_000) for each in large])
    small = [budget.open() for _ in range(20)]
    assert all([each.resize(10_000) for each in small])
    assert budget.refused_count > 0


# Guards against a store that can't be read since callers hold all memory.
def test_requests_and_store_have_budgets_of_their_own() -> None:
    budgets = memory_budget.of_memory(128)
    assert budgets.requests.open().resize(budgets.requests.large_limit)
    # A manifest of 10,000 routes takes 3.5 MB in base64.
    assert budgets.control.open().resize(4_000_000)
    assert not budgets.requests.open().resize(budgets.requests.limit)
