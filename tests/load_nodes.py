"""Nodes that choose upstreams of a model by backlogs, without sockets."""

from collections.abc import Mapping
from collections.abc import Sequence

from lycheegw.coordination.load import backlog_aggregator
from lycheegw.coordination.load import backlogs
from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import speeds
from lycheegw.coordination.load import zone_aggregators
from lycheegw.measure import backlog_fleet
from lycheegw.protocol import backlog_codec
from lycheegw.state import forwarded_requests
from lycheegw.state import requests
from lycheegw.state import routing
from tests import fakes

SERVICE = routing.Service("m", "/", 100, 0.0, 0.0, routing.Engine(64, 1, {}))
SHORT_TOKENS, LONG_TOKENS = 400, 40_000
PREFILL_S = {SHORT_TOKENS: 0.008, LONG_TOKENS: 0.4}
SUBJECT_COUNT = 16


class _UnrestrictedFleet:
    """Directory, roll-outs, rates and zones that restrict nothing."""

    closed_zones: frozenset[str] = frozenset()

    def wants_target(self, *_: object) -> None:
        return None

    def allows_version(self, *_: object) -> bool:
        return True

    def is_withdrawn(self, *_: object) -> bool:
        return False

    def may_send(self, *_: object) -> bool:
        return True

    def unreachable(self) -> frozenset[str]:
        return frozenset()

    def is_leaving(self, upstream: object) -> bool:
        return False

    def is_brittle(self, upstream: object) -> bool:
        return False

    def pause_s(self, upstream: object) -> float:
        return 0.0

    def limit_per_s(self, upstream: object) -> None:
        return None


class Node:
    """A node's balancer with its backlogs and response times."""

    def __init__(
        self,
        clock: fakes.ManualClock,
        node_id: str,
        upstream_count: int,
        live_by_zone: Mapping[str, Sequence[str]],
    ):
        self.state = fakes.node(clock, node_id)
        self.bus = fakes.FakePeerBus(node_id)
        for number in range(upstream_count):
            zone = "z" if number % 2 else "y"
            fakes.add_upstream(self.state, f"u{number}", zone)
        self.times = response_times.ResponseTimes()
        for tokens, seconds in PREFILL_S.items():
            self.times.note_first_byte("m", None, tokens, seconds)
        aggregators = zone_aggregators.ZoneAggregators(
            self.state, lambda: live_by_zone
        )
        self.aggregator = backlog_aggregator.BacklogAggregator(
            self.state, self.bus, backlog_codec.CODEC, aggregators
        )
        self.backlogs = backlogs.Backlogs(
            self.state, self.bus, backlog_codec.CODEC, aggregators
        )
        self.speeds = speeds.Speeds(self.state, self.backlogs.known_sums)
        self.backlogs.own_speeds = self.speeds.own_figures
        fleet = _UnrestrictedFleet()
        self.balancer = balancing.Balancer(
            self.state,
            fleet,  # type: ignore[arg-type]
            fleet,  # type: ignore[arg-type]
            fleet,  # type: ignore[arg-type]
            fleet,  # type: ignore[arg-type]
            lambda _: True,
            fleet,  # type: ignore[arg-type]
            self.times,
            self.backlogs,
            self.speeds,
        )

    def exchange(self) -> None:
        """Reports this node's backlogs, and reads the sums."""
        backlog_fleet.run_at_once(self.backlogs.exchange())

    def exchange_if_due(self) -> None:
        """Does what the node's task does at this time."""
        now_s = self.state.environment.monotonic_s()
        is_allowed = now_s >= self.backlogs.next_exchange_s()
        if self.backlogs.is_report_due and is_allowed:
            backlog_fleet.run_at_once(self.backlogs.run_once())

    def choose(
        self,
        number: int,
        tokens: int,
        service: routing.Service = SERVICE,
    ) -> balancing.Choice:
        prompt = work(f"s{number % SUBJECT_COUNT}", tokens)
        request = requests.Request(
            "r", "", "ask", prompt, None, None, 9.0, 0, None, True, ""
        )
        choice = self.balancer.choose(request, prompt, service, None, set())
        assert isinstance(choice, balancing.Choice)
        return choice


def work(subject: str, tokens: int) -> forwarded_requests.ForwardedWork:
    """Returns a prompt of which half is a shared part."""
    parts = (
        forwarded_requests.PromptPart(subject, tokens // 2),
        forwarded_requests.PromptPart("own", tokens // 2),
    )
    incoming = forwarded_requests.IncomingRequest(
        b"POST", b"/", (), b"", 0, True
    )
    traits = forwarded_requests.RequestTraits(
        "r", "h", "/", None, 9, "m", False, parts, tokens, 50, None, None
    )
    return forwarded_requests.ForwardedWork(
        incoming, traits, fakes.STREAM_ROUTE
    )


def nodes(
    clock: fakes.ManualClock, count: int, upstream_count: int
) -> list[Node]:
    live_by_zone = {"z": [f"n{each}" for each in range(count)]}
    found = [
        Node(clock, each, upstream_count, live_by_zone)
        for each in live_by_zone["z"]
    ]
    for node in found:
        node.bus.others = [other.bus for other in found if other is not node]
    return found
