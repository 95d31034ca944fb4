"""Detection of bad versions, and the hold and withdrawal that follow."""

import asyncio
from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.coordination import bad_version_detector
from lycheegw.coordination import version_counts
from lycheegw.measure import harness
from lycheegw.protocol import record_codec
from lycheegw.protocol import version_counts_codec
from lycheegw.standins import engine
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import test_leases
from tests import test_path

COUNTS = version_counts.Counts


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(25):
        while not condition():
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("now", "reference", "others", "is_bad"),
    [
        # More poor ratings than in its history.
        (COUNTS(30, 0, 3, 17), COUNTS(99, 0, 90, 9), COUNTS(), True),
        # As many poor ratings as ever: a cheap version.
        (COUNTS(30, 0, 14, 6), COUNTS(99, 0, 70, 30), COUNTS(), False),
        # Too few ratings.
        (COUNTS(5, 0, 0, 5), COUNTS(99, 0, 95, 5), COUNTS(), False),
        # No history to compare the ratings with.
        (COUNTS(30, 0, 0, 30), COUNTS(), COUNTS(), False),
        # Only this version fails.
        (COUNTS(10, 20), COUNTS(), COUNTS(60, 1), True),
        # All versions fail alike: a zone or its upstreams are down.
        (COUNTS(10, 20), COUNTS(), COUNTS(20, 40), False),
        # No other version runs, so failures can't be compared.
        (COUNTS(10, 20), COUNTS(300, 0), COUNTS(), False),
    ],
)
def test_is_bad_compares_ratings_with_history_and_failures_with_others(
    now: COUNTS, reference: COUNTS, others: COUNTS, is_bad: bool
) -> None:
    assert version_counts.is_bad(now, reference, others) is is_bad


_ROWS = strategies.lists(
    strategies.builds(
        version_counts.CountsRow,
        strategies.builds(
            version_counts.CountsKey,
            strategies.sampled_from(["n1", "n2"]),
            strategies.integers(0, 2),
            strategies.just("m"),
            strategies.sampled_from(["v1", "v2"]),
        ),
        strategies.builds(COUNTS, *[strategies.integers(0, 9)] * 4),
    ),
    max_size=12,
)


@hypothesis.given(_ROWS, strategies.randoms())
def test_rows_merge_in_any_order_any_number_of_times(
    rows: list[version_counts.CountsRow], source: object
) -> None:
    first, second = version_counts.CountsTable(), version_counts.CountsTable()
    first.merge(rows)
    shuffled = [*rows, *rows[::2]]
    source.shuffle(shuffled)
    second.merge(
        version_counts_codec.decode(version_counts_codec.encode(shuffled))
    )
    for version in ("v1", "v2"):
        for wall_s in (0.0, 6.0):
            assert first.total("m", version, wall_s, False) == second.total(
                "m", version, wall_s, False
            )


class BusStub:
    """Peer bus that ignores handlers."""

    def on_call(self, topic: str, handler: object) -> None:
        """Ignores the handler."""


def test_repeated_failures_of_one_request_or_upstream_count_once() -> None:
    state = test_leases.SimulatedLog().node("n1")._state
    codec = bad_version_detector.Codec(
        version_counts_codec.encode,
        version_counts_codec.decode,
        record_codec.build,
    )
    detector = bad_version_detector.BadVersionDetector(
        state, BusStub(), None, None, codec, dict, lambda *_: None
    )
    error = errors.UpstreamError(
        reasons.RetryReason.TRUNCATED, "", verdicts.RunVerdict.MAY_HAVE_RUN
    )
    for index in range(10):
        for request, host in (("poison", f"e{index}"), (f"r{index}", "broken")):
            fields = dict.fromkeys(requests.Request._fields)
            fields["fingerprint"] = request
            entry = upstreams.HostEntry(
                host, upstreams.HostRole.ENGINE, "m", "", "z", False, False
            )
            detector.note_failure(
                requests.Request(**fields),
                "m",
                "v1",
                upstreams.Upstream(entry),
                error,
            )
    wall_s = state.environment.wall_s()
    assert detector._own_counts.total("m", "v1", wall_s, False).failed == 2


def _is_withdrawn_everywhere(fleet: harness.Fleet, version: str) -> bool:
    return all(
        node.state.catalog.is_withdrawn("drafter", version)
        for node in fleet.nodes.values()
    )


def test_bad_version_is_held_and_withdrawn_unless_it_is_the_last_one() -> None:
    async def main() -> None:
        async with harness.Fleet() as fleet:
            for index in range(3):
                config = engine.EngineSettings(
                    versions=("v1", "v2"), first_token_s=0.0, token_gap_s=0.0
                )
                started = await fleet.add_engine(f"e{index}", "z1", config)
                started.set_faults({"bad_version": "v2"})
            for index in range(3):
                await fleet.add_node(f"n{index}", f"z{index % 2 + 1}")
            fleet.ratings.set_faults({"rated_share": 1.0})
            rollout = {"from_version": "v1", "to_version": "v2", "share": 0.5}
            await fleet.wait_applied(
                await fleet.publish(
                    *test_path.RECORDS,
                    harness.record("rollout", "drafter", rollout),
                )
            )
            await fleet.wait_upstreams()
            sending = asyncio.create_task(_send_requests(fleet))
            await wait_until(lambda: _is_withdrawn_everywhere(fleet, "v2"))
            catalog = fleet.nodes["n0"].state.catalog
            assert catalog.rollout("drafter").is_held
            assert catalog.rollout("drafter").share == 0
            for node in fleet.nodes.values():
                assert (
                    node.bad_version_detector._withdrawal_entries(
                        "drafter", "v1"
                    )
                    == []
                )
            sending.cancel()

    asyncio.run(main())


async def _send_requests(fleet: harness.Fleet) -> None:
    """Sends requests of new sessions to all nodes until cancelled."""
    index = 0
    while True:
        index += 1
        node = fleet.nodes[f"n{index % 3}"]
        body = test_path.BODY | {
            "max_tokens": 1,
            "messages": [{"role": "user", "content": f"note {index}"}],
        }
        headers = {"x-session": f"s{index}"}
        await fleet.call(node, test_path.CHAT, body, test_path.KEY, headers)
        await asyncio.sleep(0.03)
