"""Nodes that carry out one roll-out, with the product's links, no network."""

from lycheegw.coordination import canary_rollouts
from lycheegw.coordination import directory
from lycheegw.coordination import neighbours
from lycheegw.protocol import rollout_codec
from lycheegw.state import orders
from lycheegw.state import upstreams
from tests import fakes

SERVICE = "m"
DURATION_S = 24.0
_ZONES = 3


class _PeerBus(fakes.FakePeerBus):
    """Links of a node to some of the live nodes."""

    def __init__(self, node_id: str, live_ids: list[str]):
        super().__init__(node_id)
        self._live_ids = live_ids

    def live_nodes(self, zone: str | None = None) -> list[str]:
        """Returns the ids of all nodes, with a link or without."""
        return self._live_ids


class RolloutFleet:
    """Nodes with the links of the product, each with its own roll-outs."""

    def __init__(self, count: int):
        self.clock = fakes.ManualClock()
        self.begin_s = self.clock.now_s
        ids = [f"n{index}" for index in range(count)]
        self.buses = [_PeerBus(node_id, ids) for node_id in ids]
        self._link(count)
        self.directories: list[directory.Directory] = []
        self.rollouts: list[canary_rollouts.CanaryRollouts] = []
        for bus in self.buses:
            state = fakes.node(self.clock, bus.node_id)
            entry = fakes.add_upstream(state, "u2").entry
            state.upstreams.by_id["u2"] = upstreams.Upstream(
                entry._replace(version="v2")
            )
            known = directory.Directory(
                state, None, {}, 1.2, lambda *_, **__: None
            )
            self.directories.append(known)
            self.rollouts.append(
                canary_rollouts.CanaryRollouts(
                    state,
                    known,
                    bus,
                    rollout_codec.CODEC,
                    lambda: fakes.BOUNDS,
                    lambda: None,
                    lambda *_, **__: None,
                )
            )

    def _link(self, count: int) -> None:
        ids_by_zone = {
            f"z{zone}": [f"n{index}" for index in range(zone, count, _ZONES)]
            for zone in range(_ZONES)
        }
        bus_by_id = {bus.node_id: bus for bus in self.buses}
        for index, bus in enumerate(self.buses):
            zone = f"z{index % _ZONES}"
            for other in neighbours.choose(bus.node_id, zone, ids_by_zone):
                if bus_by_id[other] not in bus.others:
                    bus.others.append(bus_by_id[other])
                    bus_by_id[other].others.append(bus)

    def order(self, node: int, version: str, offset: int) -> None:
        """Makes an order known at a node."""
        self.directories[node].rollout_by_service[SERVICE] = (
            directory.KnownRollout(
                orders.RolloutOrder(SERVICE, version, DURATION_S),
                offset,
                self.clock.now_s,
            )
        )

    def tick(self) -> None:
        """Lets each node look at its roll-outs, and send its deltas."""
        for known, rollouts in zip(
            self.directories, self.rollouts, strict=True
        ):
            rollouts._report_tallies()
            for rollout in known.rollout_by_service.values():
                rollouts._decide(rollout)
                rollouts._set_own_status(rollout)
        for bus in self.buses:
            bus.send_deltas()

    def version(self, node: int, session: str, request: int) -> str:
        """Returns the version that a node sends a request to."""
        rollouts = self.rollouts[node]
        wants_target = rollouts.wants_target(
            SERVICE, f"r{request}", None, session
        )
        return rollouts.target(SERVICE) or "" if wants_target else "v1"
