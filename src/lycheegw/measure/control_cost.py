"""Measures what a node's control traffic costs, for the target size.

Costs per unit are slopes between two scales of idle fleets in this process.
The processor time of the stand-ins' own threads is left out. What they do in
the event loop counts, so each slope is an upper bound. The baseline links all
nodes of a zone and polls every upstream from every node.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import threading
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

from lycheegw import app
from lycheegw.measure import harness
from lycheegw.measure import report
from lycheegw.standins import engine
from lycheegw.state import upstreams

__all__ = ["run"]

_NODES = 4
_MANY_NODES = 12
_FEW_STEPS, _MANY_STEPS = 1, 3
_SETTLE_S = 1.5
_WINDOW_S = 3.0
_HEARTBEAT_S = 0.25
_SLOW_POLL_S, _FAST_POLL_S = 10.0, 0.5
_CHANGES_PER_S = 400
_TICK_S = 0.05
_FEW_HOSTS, _MANY_HOSTS = 500, 2500

# Headers of Ethernet, IP, TCP, HTTP/2 and gRPC, and the acknowledgement.
_FRAME_HEADER_BYTES = 120
# Request, response and the packets that open and close the connection.
_POLL_BYTES = 1000

# The target size: one of 8 zones.
_ZONE_NODES = 93
_ZONE_UPSTREAMS = 235
_ZONES = 8
_HOSTS = 370 + 940
_GATEWAY_LINKS = 4 * 2 * (_ZONES - 1) / _ZONE_NODES
_ZONE_LINKS = 6
_CALL_LINKS = 1.2
_POLLS_PER_S = 1.5
_LIST_INTERVAL_S = 2.0
_HOST_LINE_BYTES = 165
# At the target size an upstream's load moves more than a quarter away from
# the sent value about every 20 s; an unchanged report is sent every 30 s.
_CHANGES_PER_UPSTREAM_S = 1 / 20 + 1 / 30
_BASELINE_POLL_S = 0.5
_BASELINE_HEARTBEAT_S = 0.5


class _Usage(NamedTuple):
    """Resources used in a window, per second.

    Attributes:
        core_share: Processor seconds, without those of the stand-ins' threads.
        bytes_per_s: Bytes on all links, headers included.
        frames_per_s: Frames on all links, counted at both ends.
    """

    core_share: float
    bytes_per_s: float
    frames_per_s: float


class _Slopes(NamedTuple):
    """Cost per unit, in seconds of a core or in bytes."""

    node_core: float
    frame_core: float
    frame_bytes: float
    poll_core: float
    change_core: float
    change_bytes: float
    host_line_core: float
    node_memory: float
    link_memory: float
    host_memory: float


def _ring_topology(steps: int) -> Callable[..., list[str]]:
    """Returns a neighbour choice that gives each node 2 x `steps` links."""

    def choose_neighbours(
        own_id: str, zone: str, ids_by_zone: Mapping[str, Sequence[str]]
    ) -> list[str]:
        ids = list(ids_by_zone[zone])
        position = ids.index(own_id)
        neighbours = [
            ids[(position + s) % len(ids)] for s in range(1, steps + 1)
        ]
        return [each for each in neighbours if each != own_id]

    return choose_neighbours


def _standin_threads(fleet: harness.Fleet) -> list[threading.Thread]:
    """Returns the threads that serve the stand-ins."""
    servers: list[Any] = [
        part.server
        for part in (
            fleet.log,
            fleet.hosts,
            fleet.ratings,
            fleet.weights,
            *fleet.engines.values(),
        )
    ]
    found: list[threading.Thread] = []
    for server in servers:
        found += [server._thread, *server._cheroot.requests._threads]
    return found


def _core_s(excluded: Sequence[threading.Thread]) -> float:
    """Returns processor seconds of the process without `excluded` threads."""
    excluded_s = 0.0
    for thread in excluded:
        if thread.is_alive() and thread.ident is not None:
            clock = time.pthread_getcpuclockid(thread.ident)
            excluded_s += time.clock_gettime(clock)
    return time.process_time() - excluded_s


async def _measure_usage(fleet: harness.Fleet) -> _Usage:
    """Returns the usage in a window, after a time to settle."""
    nodes = list(fleet.nodes.values())
    excluded = _standin_threads(fleet)
    await asyncio.sleep(_SETTLE_S)
    links = [link for node in nodes for link in node.peers.links()]
    frames = sum(link.frames_transferred for link in links)
    payload = sum(link.bytes_transferred for link in links)
    begin_s, begin_core_s = time.monotonic(), _core_s(excluded)
    await asyncio.sleep(_WINDOW_S)
    elapsed_s = time.monotonic() - begin_s
    core_s = _core_s(excluded) - begin_core_s
    frames = sum(link.frames_transferred for link in links) - frames
    payload = sum(link.bytes_transferred for link in links) - payload
    size = payload + frames * _FRAME_HEADER_BYTES
    return _Usage(core_s / elapsed_s, size / elapsed_s, frames / elapsed_s)


async def _start_fleet(
    stack: contextlib.AsyncExitStack,
    seed: int,
    nodes: int,
    steps: int,
    **limits: float,
) -> harness.Fleet:
    """Starts nodes of one zone, linked in a ring."""
    fleet = await stack.enter_async_context(harness.Fleet(seed, limits))
    for index in range(nodes):
        node = await fleet.add_node(f"n{index}", "z1")
        node.peers.choose_neighbours = _ring_topology(steps)
        node.peers.link_callbacks.heartbeat_interval_s = lambda: _HEARTBEAT_S
    return fleet


async def _wait_links(fleet: harness.Fleet, count: int) -> None:
    async with asyncio.timeout(10):
        while any(
            len(node.peers.links()) < count for node in fleet.nodes.values()
        ):
            await asyncio.sleep(0.05)


async def _measure_links(
    seed: int, steps: int, nodes: int = _MANY_NODES
) -> tuple[_Usage, int]:
    """Returns usage and memory of a fleet that is linked in a ring."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    async with contextlib.AsyncExitStack() as stack:
        fleet = await _start_fleet(stack, seed, nodes, steps)
        await _wait_links(fleet, 2 * steps)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        usage = await _measure_usage(fleet)
    return usage, after - before


async def _measure_polls(seed: int, interval_s: float) -> tuple[float, float]:
    """Returns the core share and the polls per second of one node."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await _start_fleet(
            stack, seed, 1, 0, report_interval_s=interval_s
        )
        await fleet.add_engine("e0", "z1", engine.EngineSettings())
        await fleet.wait_upstreams()
        node = fleet.nodes["n0"]
        begin = node.state.counters.by_name["reports.read"]
        usage = await _measure_usage(fleet)
        polls = node.state.counters.by_name["reports.read"] - begin
    return usage.core_share, polls / (_WINDOW_S + _SETTLE_S)


def _host_entries(count: int) -> list[upstreams.HostEntry]:
    return [
        upstreams.HostEntry(
            f"engine-{index}",
            upstreams.HostRole.ENGINE,
            "drafter",
            f"127.1.{index // 250}.{index % 250}:9",
            "z2",
            False,
            True,
        )
        for index in range(count)
    ]


async def _measure_changes(seed: int, changes_per_s: int) -> _Usage:
    """Returns the usage of two nodes, one of which sends changes."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await _start_fleet(stack, seed, 2, 1)
        await _wait_links(fleet, 1)
        publisher = asyncio.ensure_future(
            _publish_changes(fleet.nodes["n0"], changes_per_s)
        )
        try:
            return await _measure_usage(fleet)
        finally:
            publisher.cancel()


async def _publish_changes(node: app.Node, changes_per_s: int) -> None:
    """Publishes load reports that change each time, until cancelled.

    Returns at once if there are no changes to publish.
    """
    entries = _host_entries(_ZONE_UPSTREAMS)
    count = 0
    while changes_per_s:
        for _ in range(int(changes_per_s * _TICK_S)):
            entry = entries[count % len(entries)]
            running = 100 if count // len(entries) % 2 else 200
            now_s = node.state.environment.monotonic_s()
            load = upstreams.LoadReport(
                frozenset({"v1"}), running, 0, 1.0, count, now_s
            )
            node.load_reports.publish(upstreams.Upstream(entry), load)
            count += 1
        await asyncio.sleep(_TICK_S)


async def _measure_host_list(seed: int, count: int) -> tuple[float, int]:
    """Returns the seconds and the memory that a host list takes to read."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await _start_fleet(stack, seed, 1, 0)
        node = fleet.nodes["n0"]
        for entry in _host_entries(count):
            line = entry._asdict() | {"role": "engine"}
            fleet.hosts.host_by_id[entry.host_id] = line
        tracemalloc.start()
        await node.membership.read_hosts()
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        begin_s = time.process_time()
        await node.membership.read_hosts()
        return time.process_time() - begin_s, memory


async def _slopes(seed: int) -> _Slopes:
    few_nodes, _ = await _measure_links(seed, _FEW_STEPS, _NODES)
    few_links, few_memory = await _measure_links(seed, _FEW_STEPS)
    many_links, many_memory = await _measure_links(seed, _MANY_STEPS)
    frames = (many_links.frames_per_s - few_links.frames_per_s) / 2
    frame_core = max(0.0, many_links.core_share - few_links.core_share) / frames
    links = _MANY_NODES * 2 * (_MANY_STEPS - _FEW_STEPS)
    # The slope over nodes leaves out costs that don't depend on their number.
    added_nodes = _MANY_NODES - _NODES
    added_frames = (few_links.frames_per_s - few_nodes.frames_per_s) / 2
    added_core = few_links.core_share - few_nodes.core_share
    link_memory = (many_memory - few_memory) / links
    slow = await _measure_polls(seed, _SLOW_POLL_S)
    fast = await _measure_polls(seed, _FAST_POLL_S)
    poll_core = (fast[0] - slow[0]) / (fast[1] - slow[1])
    idle = await _measure_changes(seed, 0)
    busy = await _measure_changes(seed, _CHANGES_PER_S)
    few_hosts = await _measure_host_list(seed, _FEW_HOSTS)
    many_hosts = await _measure_host_list(seed, _MANY_HOSTS)
    added_lines = _MANY_HOSTS - _FEW_HOSTS
    return _Slopes(
        node_core=max(0.0, added_core - frame_core * added_frames)
        / added_nodes,
        frame_core=frame_core,
        frame_bytes=few_links.bytes_per_s / few_links.frames_per_s,
        poll_core=max(0.0, poll_core),
        change_core=max(0.0, busy.core_share - idle.core_share)
        / _CHANGES_PER_S,
        # Bytes are counted at both ends of the one link.
        change_bytes=max(0.0, busy.bytes_per_s - idle.bytes_per_s)
        / _CHANGES_PER_S
        / 2,
        host_line_core=max(0.0, many_hosts[0] - few_hosts[0]) / added_lines,
        node_memory=few_memory / _MANY_NODES - 2 * _FEW_STEPS * link_memory,
        link_memory=link_memory,
        host_memory=(many_hosts[1] - few_hosts[1]) / added_lines,
    )


def _extrapolate(slopes: _Slopes, is_mesh: bool) -> dict[str, float]:
    """Returns the cost of a node in a zone of the target size."""
    heartbeats_per_s = 0.92
    links = _ZONE_LINKS + _GATEWAY_LINKS + _CALL_LINKS
    polls_per_s = _POLLS_PER_S
    reads_per_s = 1 / _LIST_INTERVAL_S / _ZONE_NODES
    changes_per_s = _ZONE_UPSTREAMS * _CHANGES_PER_UPSTREAM_S
    # Each change is sent once over each link inside the zone.
    forwarded_per_s = changes_per_s * _ZONE_LINKS
    if is_mesh:
        heartbeats_per_s = 1 / _BASELINE_HEARTBEAT_S
        links = _ZONE_NODES - 1
        polls_per_s = _ZONE_UPSTREAMS / _BASELINE_POLL_S
        reads_per_s = 1.0
        forwarded_per_s = 0.0
    # One frame is sent and one received on each link and heartbeat.
    frames_per_s = links * heartbeats_per_s * 2
    core = slopes.node_core + slopes.frame_core * frames_per_s / 2
    core += slopes.poll_core * polls_per_s
    core += slopes.change_core * forwarded_per_s / 2
    core += slopes.host_line_core * _HOSTS * reads_per_s
    size = slopes.frame_bytes * frames_per_s + _POLL_BYTES * polls_per_s
    size += slopes.change_bytes * forwarded_per_s
    size += _HOST_LINE_BYTES * _HOSTS * reads_per_s
    memory = slopes.node_memory + slopes.link_memory * links
    memory += slopes.host_memory * _HOSTS
    return {
        "core_share": core,
        "memory_mb": memory / 1e6,
        "kilobytes_per_s": size / 1e3,
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on control costs at the target size."""
    del scale
    slopes = await _slopes(seed)
    unit_costs = {
        "node_core_ms_per_s": slopes.node_core * 1e3,
        "frame_pair_core_ms": slopes.frame_core * 1e3,
        "frame_bytes": slopes.frame_bytes,
        "poll_core_ms": slopes.poll_core * 1e3,
        "change_core_ms": slopes.change_core * 1e3,
        "change_bytes": slopes.change_bytes,
        "list_line_core_us": slopes.host_line_core * 1e6,
        "node_memory_kb": slopes.node_memory / 1e3,
        "link_memory_kb": slopes.link_memory / 1e3,
        "list_line_memory_kb": slopes.host_memory / 1e3,
    }
    return report.Findings(
        _extrapolate(slopes, False) | unit_costs,
        "full mesh, poll all",
        _extrapolate(slopes, True),
        (slopes._asdict(),),
    )
