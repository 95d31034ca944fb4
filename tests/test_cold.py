"""Cold upstreams: detection, and the limit on requests over all nodes."""

import asyncio
from collections.abc import Sequence
import random

import pytest

from lycheegw.coordination import cold_detection
from lycheegw.coordination import slot_grantor
from lycheegw.coordination import slots
from lycheegw.measure import harness
from lycheegw.protocol import record_codec
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import record_validation
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import fakes

LIMIT = 4
IDS = tuple(f"n{index}" for index in range(6))


class Node:
    """A node and its slots of one cold upstream."""

    def __init__(self, fleet: "Nodes", node_id: str):
        self.state = fakes.node(fleet.clock, node_id, warm_up_s=500.0)
        self.live = list(IDS)
        self.upstream = fakes.add_upstream(self.state, "u")
        self.cold_detector = cold_detection.ColdDetector(self.state)
        self.grantor = slot_grantor.SlotGrantor(
            self.state,
            slot_grantor.ZoneMembers(
                self.state, lambda zone: sorted(self.live)
            ),
            self.cold_detector,
        )
        self.holder = slots.SlotHolder(
            self.state, self.cold_detector, self.grantor, fleet.requester(self)
        )
        self.slots = slots.Slots(
            self.state, self.cold_detector, self.holder.allowance
        )


class Nodes:
    """Nodes that reach each other if they are in the same partition."""

    def __init__(self) -> None:
        self.clock = fakes.ManualClock()
        self.partitions = [set(IDS)]
        self.by_id = {each: Node(self, each) for each in IDS}

    def requester(self, node: Node) -> slots.RequestSlots:
        """Returns the function by which a node requests slots."""

        async def request_slots(
            grantor_id: str, slot_requests: Sequence[slot_grantor.SlotRequest]
        ) -> Sequence[slot_grantor.SlotLease]:
            node_id = node.state.identity.node_id
            if not any(
                {node_id, grantor_id} <= partition
                for partition in self.partitions
            ):
                raise errors.PeerUnavailableError(grantor_id)
            return self.by_id[grantor_id].grantor.grant_slots(
                node_id, slot_requests
            )

        return request_slots

    @property
    def running(self) -> int:
        """Requests at the upstream, over all nodes."""
        return sum(each.upstream.in_flight for each in self.by_id.values())

    def report(self) -> None:
        """Gives every node a load report of the upstream."""
        for node in self.by_id.values():
            node.upstream.report = fakes.load_report(
                self.clock, self.clock.now_s, self.running
            )._replace(started_at_s=1000.0)

    def step(self, generator: random.Random) -> None:
        """Advances the clock; each node ends, leases and starts requests."""
        self.clock.now_s += 0.1
        order = list(self.by_id.values())
        generator.shuffle(order)
        for node in order:
            done = generator.random() < 0.05
            node.upstream.in_flight -= done and node.upstream.in_flight > 0
            if generator.random() < 0.3:
                with node.holder.waiting("m"):
                    asyncio.run(node.holder.renew())
            while node.slots.has_free(node.upstream):
                node.upstream.in_flight += 1


def loaded_nodes(generator: random.Random) -> Nodes:
    """Returns nodes that load the cold upstream up to its limit."""
    nodes = Nodes()
    nodes.report()
    for _ in range(60):
        nodes.step(generator)
        nodes.report()
    assert nodes.running >= LIMIT - 1
    return nodes


def set_live_nodes(node: Node, lost: set[str]) -> None:
    """Lets a node see all nodes as live but `lost`, and always itself."""
    own_id = node.state.identity.node_id
    node.live = [each for each in IDS if each == own_id or each not in lost]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_reachable", [False, True])
def test_limit_holds_while_grantors_leave_and_member_lists_differ(
    seed: int, is_reachable: bool
) -> None:
    generator = random.Random(seed)
    nodes = loaded_nodes(generator)
    served = 0
    for _ in range(4):
        first = nodes.by_id["n0"]
        lost = {first.grantor.grantor_of(first.upstream) or ""}
        if not is_reachable:
            nodes.partitions = [set(IDS) - lost, lost]
        for step in range(160):
            if step == 80:
                nodes.partitions = [set(IDS)]
            # Each node learns of the loss and the return at its own time.
            for node in nodes.by_id.values():
                if generator.random() < 0.15:
                    set_live_nodes(node, lost if step < 80 else set())
            for node_id in lost if not is_reachable else ():
                cut = set(IDS) - lost if step < 80 else set()
                set_live_nodes(nodes.by_id[node_id], cut)
            nodes.step(generator)
            if step % 5 == 0:
                nodes.report()
            assert nodes.running <= LIMIT
            served += nodes.running
    assert served > 4 * 160


def test_limit_holds_in_a_partition_and_one_slot_stays_in_use() -> None:
    generator = random.Random(3)
    nodes = loaded_nodes(generator)
    small, large = set(IDS[:3]), set(IDS[3:])
    nodes.partitions = [small, large]
    for partition in nodes.partitions:
        for node_id in partition:
            nodes.by_id[node_id].live = sorted(partition)
    served = 0
    for _ in range(200):
        nodes.step(generator)
        assert nodes.running <= LIMIT
        served += nodes.running
    # Neither half has a majority, so only the slot without lease is left.
    assert nodes.running == 1
    assert served > 0


def test_cold_upstream_is_detected_by_slow_first_tokens() -> None:
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    upstream = fakes.add_upstream(state, "u")
    detector = cold_detection.ColdDetector(state)
    assert detector.limit(upstream) == LIMIT
    upstream.report = fakes.load_report(clock, 0.0, completed=9)
    assert detector.limit(upstream) is None
    for _ in range(20):
        detector.note_first_token(upstream, "v1", 0.1)
    for _ in range(3):
        detector.note_first_token(upstream, "v1", 0.9)
    assert detector.limit(upstream) == LIMIT
    assert [sign.upstream_id for sign in detector.signs()] == ["u"]
    clock.now_s += state.limits.warm_up_s + 2
    assert detector.limit(upstream) == 4 * LIMIT
    clock.now_s += 5
    assert detector.limit(upstream) is None


@pytest.mark.parametrize(
    "change", [{"completed_total": 3}, {"started_at_s": 999.0}]
)
def test_restart_is_detected_from_load_reports(
    change: dict[str, float],
) -> None:
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    upstream = fakes.add_upstream(state, "u")
    detector = cold_detection.ColdDetector(state)
    upstream.report = fakes.load_report(clock, 0.0, completed=9)
    assert detector.limit(upstream) is None
    upstream.report = upstream.report._replace(**change)
    assert detector.limit(upstream) == LIMIT


def test_lost_connection_counts_as_cold_until_the_next_report() -> None:
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    upstream = fakes.add_upstream(state, "u")
    detector = cold_detection.ColdDetector(state)
    upstream.report = fakes.load_report(clock, 0.0)
    detector.note_failure(
        upstream,
        errors.UpstreamError(
            reasons.RetryReason.CONNECTION_LOST,
            "gone",
            verdicts.RunVerdict.MAY_HAVE_RUN,
        ),
    )
    assert detector.limit(upstream) == LIMIT
    clock.now_s += 2
    upstream.report = fakes.load_report(clock, 0.0)
    assert detector.limit(upstream) is None


def test_busy_pool_does_not_count_as_cold() -> None:
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    busy = [fakes.add_upstream(state, each) for each in ("u", "v")]
    detector = cold_detection.ColdDetector(state)
    for upstream in busy:
        upstream.report = fakes.load_report(clock, 0.0)
        for _ in range(10):
            detector.note_first_token(upstream, "v1", 0.1)
    for _ in range(10):
        for upstream in busy:
            detector.note_first_token(upstream, "v1", 0.9)
    assert [detector.limit(upstream) for upstream in busy] == [None, None]


def test_upstreams_of_a_returned_zone_count_as_cold() -> None:
    state = fakes.node(fakes.ManualClock(), "n1", warm_up_s=500.0)
    detector = cold_detection.ColdDetector(state)
    upstream = fakes.add_upstream(state, "u")
    zone = upstream.entry.zone
    upstream.report = upstreams.LoadReport(
        frozenset(), 0, 0, -1e6, 0, state.environment.monotonic_s()
    )
    detector.note_zones()
    before = detector.limit(upstream)
    for replaces, is_serving in enumerate((False, True)):
        record = harness.record(
            "zone", zone, {"is_serving": is_serving}, replaces
        )
        decoded = record_codec.decode(record)
        record_validation.apply(state.catalog, replaces, 0.0, decoded)
        detector.note_zones()
    assert before is None
    assert detector.limit(upstream) == state.limits.cold_limit
    assert state.counters.by_name["cold.zone"] == 1
