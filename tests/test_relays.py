"""Nodes that are cut off relay to those that reach upstreams."""

import collections

import pytest

from lycheegw.coordination import reach_reports
from lycheegw.coordination import relays
from lycheegw.protocol import reach_codec
from lycheegw.state import node_state
from tests import fakes

# Nodes of each zone, as in review/4.
_ZONES = {"z-a": 12, "z-b": 2}
_DRAWS = 300


class _Fleet:
    """Linked nodes of two zones with their reports and relays."""

    def __init__(self) -> None:
        self.clock = fakes.ManualClock()
        self.zone_by_id = {
            f"{zone}-{number}": zone
            for zone, count in _ZONES.items()
            for number in range(count)
        }
        self.bus_by_id = {each: fakes.FakePeerBus(each) for each in self.ids}
        for bus in self.bus_by_id.values():
            bus.others = [
                each for each in self.bus_by_id.values() if each is not bus
            ]
        self.reports_by_id: dict[str, reach_reports.ReachReports] = {}
        for node_id in self.ids:
            self.start(node_id)

    @property
    def ids(self) -> list[str]:
        return list(self.zone_by_id)

    def start(self, node_id: str) -> None:
        """Starts the process of a node."""
        self.reports_by_id[node_id] = reach_reports.ReachReports(
            fakes.node(self.clock, node_id),
            self.bus_by_id[node_id],  # type: ignore[arg-type]
            reach_codec.CODEC,
            lambda: None,
        )

    def live_nodes(self, zone: str | None) -> list[str]:
        return [
            each
            for each, of_zone in self.zone_by_id.items()
            if zone in {None, of_zone}
        ]

    def relays(self, node_id: str) -> relays.Relays:
        state = fakes.node(self.clock, node_id)
        state = state._replace(
            identity=node_state.Identity(node_id, self.zone_by_id[node_id], "r")
        )
        return relays.Relays(
            state,
            None,  # type: ignore[arg-type]
            self.live_nodes,
            self.reports_by_id[node_id].cut_off_nodes,
            lambda status: status == 503,
            lambda *_, **__: None,
        )

    def cut_off(self, node_ids: list[str]) -> None:
        for node_id in node_ids:
            self.reports_by_id[node_id].set_cut_off(True)
        self.gossip()

    def gossip(self) -> None:
        for bus in self.bus_by_id.values():
            bus.send_deltas()


# Guards against refusals by a zone that is mostly cut off: its nodes asked each
# other three times (RECOVER, review/4).
@pytest.mark.parametrize("cut_count", [1, 6, 11, 12, 13])
def test_requests_go_at_once_to_all_nodes_that_reach_upstreams(
    cut_count: int,
) -> None:
    fleet = _Fleet()
    cut = fleet.ids[:cut_count]
    fleet.cut_off(cut)
    asked: collections.Counter[str] = collections.Counter()
    for node_id in cut:
        chooser = fleet.relays(node_id)
        for _ in range(_DRAWS):
            asked[chooser._candidates()[0]] += 1
    assert not set(asked) & set(cut)
    serving = [each for each in fleet.ids if each not in cut]
    if cut_count <= 6:
        # Half of a zone can carry the other half.
        serving = [each for each in serving if each.startswith("z-a")]
    mean = cut_count * _DRAWS / len(serving)
    assert set(asked) == set(serving)
    assert max(asked.values()) <= 1.5 * mean


def test_node_that_is_back_is_asked_again() -> None:
    fleet = _Fleet()
    first, second, *_ = fleet.ids
    fleet.cut_off([first, second])
    fleet.reports_by_id[second].set_cut_off(False)
    fleet.gossip()
    assert fleet.reports_by_id[first].cut_off_nodes() == {first}


def test_report_counts_as_long_as_it_is_repeated() -> None:
    fleet = _Fleet()
    first, second, third, *_ = fleet.ids
    fleet.cut_off([first, second])
    # The second one ends without a word.
    fleet.bus_by_id[second].others = []
    for _ in range(6):
        fleet.clock.now_s += 1.0
        fleet.gossip()
    assert fleet.reports_by_id[third].cut_off_nodes() == {first}
    # A process that starts after it is heard, whatever its sequence number.
    fleet.bus_by_id[second].others = [fleet.bus_by_id[third]]
    fleet.start(second)
    fleet.cut_off([second])
    assert fleet.reports_by_id[third].cut_off_nodes() == {first, second}
