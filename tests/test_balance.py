"""A few long prompts among many short ones, in fleets of 7 to 186 nodes.

The pattern: shared parts that are cached at some upstreams, two models of which
one takes ten times as long, and nodes that choose at the same time. The router
comes between an oracle and nodes that count their own connections (issue 52).
"""

import pytest

from lycheegw.measure import balance


@pytest.mark.parametrize("size", [(7, 6, 1), (186, 156, 5)])
def test_router_is_between_the_oracle_and_own_counts(
    size: tuple[int, int, int],
) -> None:
    oracle, router, counts = (
        balance.simulate(policy, size, 1)
        for policy in ("oracle", "router", "least connections")
    )
    assert oracle.late_share <= router.late_share < counts.late_share
    assert oracle.p99_s <= router.p99_s < counts.p99_s
    assert router.avoidable_wait_share < counts.avoidable_wait_share / 3
