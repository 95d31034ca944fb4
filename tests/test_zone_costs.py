"""Work crosses to another zone only if that saves more wait than it costs."""

from collections.abc import Sequence
from typing import Any

import pytest

from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import speeds
from lycheegw.coordination.load import zone_costs
from lycheegw.platform import settings_file
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.state import forwarded_requests
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams
from tests import fakes

MODELS = routing.Service("m", "/", 9, 0.0, 0.0, routing.Engine(64, 1, {}))
CALLS = MODELS._replace(engine=None)


class _Waits:
    """Waits at upstreams, as all nodes together know them."""

    def __init__(self) -> None:
        self.by_id: dict[str, float] = {}

    def waits_s(self, upstream_ids: Sequence[str]) -> list[float]:
        return [self.by_id.get(each, 0.0) for each in upstream_ids]

    def age_used_s(self) -> float:
        return 0.0


class _Zones:
    """A balancer of a node in zone "z", and its upstreams in two zones."""

    def __init__(self, **settings: float) -> None:
        self.clock = fakes.ManualClock()
        self.state = fakes.node(self.clock, "n")
        self.waits = _Waits()
        self.silent_zones: set[str] = set()
        unrestricted: Any = _Unrestricted(self)
        waits: Any = self.waits
        timings = response_times.ResponseTimes()
        for tokens in (100, 1_000, 10_000, 20_000):
            timings.note_first_byte("m", None, tokens, tokens / 50_000)
        self.balancer = balancing.Balancer(
            self.state,
            unrestricted,
            unrestricted,
            unrestricted,
            unrestricted,
            lambda _: True,
            unrestricted,
            timings,
            waits,
            speeds.Speeds(self.state, lambda: {}),
        )
        costs = zone_costs.ZoneCosts(
            "z", edge_settings.LoadSettings(**settings)
        )
        self.balancer.crossing_s = costs.work_crossing_s

    def add(self, upstream_id: str, zone: str) -> upstreams.Upstream:
        return fakes.add_upstream(self.state, upstream_id, zone)

    def zone_of(
        self,
        service: routing.Service = MODELS,
        body_bytes: int = 2_000,
        shared: int = 350,
        subject: str = "s",
    ) -> str:
        """Returns the zone to which a request is sent."""
        parts = (
            forwarded_requests.PromptPart(subject, shared),
            forwarded_requests.PromptPart("own", 1_000),
        )
        incoming = forwarded_requests.IncomingRequest(
            b"POST", b"/", (), bytes(body_bytes), 0, True
        )
        traits = forwarded_requests.RequestTraits(
            "r", "h", "/", None, 9, "m", False, parts, shared + 1_000, 50,
            None, None,
        )  # fmt: skip
        work = forwarded_requests.ForwardedWork(
            incoming, traits, fakes.STREAM_ROUTE
        )
        request = requests.Request(
            "r", "", "ask", work, None, None, 9.0, 0, None, True, ""
        )
        choice = self.balancer.choose(request, work, service, None, set())
        assert isinstance(choice, balancing.Choice)
        return choice.upstream.entry.zone


class _Unrestricted:
    """Directory, roll-outs, rates and zones; only zones may be silent."""

    closed_zones: frozenset[str] = frozenset()

    def __init__(self, zones: _Zones):
        self._zones = zones

    def unreachable(self) -> set[str]:
        return self._zones.silent_zones

    def pause_s(self, upstream: object) -> float:
        return 0.0

    def __getattr__(self, name: str) -> Any:
        is_granted = name in {"may_send", "allows_version"}
        nothing = None if name in {"limit_per_s", "wants_target"} else False
        return lambda *_: is_granted or nothing


# A short prompt, and no more wait in the own zone than crossing costs.
def test_small_prompt_stays_in_its_zone_for_a_short_wait() -> None:
    zones = _Zones()
    zones.add("far", "y")
    zones.add("near", "z")
    assert zones.zone_of() == "z"
    zones.waits.by_id["near"] = 0.09
    assert zones.zone_of() == "z"


# A burst in one zone: its upstreams are busy, those of others are not.
def test_long_wait_crosses() -> None:
    zones = _Zones()
    zones.add("far", "y")
    zones.add("near", "z")
    zones.waits.by_id["near"] = 0.5
    assert zones.zone_of() == "y"


# Long transcripts: the more bytes cross, the longer a wait they are worth.
def test_longer_body_waits_longer_before_it_crosses() -> None:
    zones = _Zones(crossing_s=0.1, crossing_s_per_mb=2.0)
    zones.add("far", "y")
    zones.add("near", "z")
    zones.waits.by_id["near"] = 0.4
    assert zones.zone_of(body_bytes=2_000) == "y"
    assert zones.zone_of(body_bytes=200_000) == "z"


# Large shared parts: reading them again costs less than crossing, or more.
@pytest.mark.parametrize(("crossing_s", "may_cross"), [(0.1, True), (9, False)])
def test_shared_part_crosses_if_reading_it_again_costs_more(
    crossing_s: float, may_cross: bool
) -> None:
    zones = _Zones(crossing_s=crossing_s)
    for number in range(4):
        zones.add(f"far{number}", "y")
        zones.add(f"near{number}", "z")
    found = {
        zones.zone_of(shared=15_000, subject=f"s{each}") for each in range(20)
    }
    assert found == ({"y", "z"} if may_cross else {"z"})


# Application calls: a request runs in the own zone, and slots are free there.
def test_call_stays_in_its_zone_while_slots_are_free() -> None:
    zones = _Zones()
    zones.add("far", "y")
    near = zones.add("near", "z")
    near.entry = near.entry._replace(slots=6)
    near.in_flight = 3
    assert zones.zone_of(CALLS) == "z"
    near.in_flight = 5
    assert zones.zone_of(CALLS) == "y"


# The upstreams of the own zone are cut off, or gone.
def test_zone_that_is_down_is_left_at_any_cost() -> None:
    zones = _Zones(crossing_s=60.0)
    zones.add("far", "y")
    assert zones.zone_of() == zones.zone_of(CALLS) == "y"
    zones.add("near", "z")
    assert zones.zone_of() == "z"
    zones.silent_zones = {"z"}
    assert zones.zone_of() == zones.zone_of(CALLS) == "y"


FILE = """node_name=n
zone=z
region=r
ip=10.0.0.1
internal_ports=7000,7009
listeners_map.front=10.0.0.1:8000
listeners_map.ready=10.0.0.1:8001
platform.address=10.0.0.2:8000
"""


@pytest.mark.parametrize(
    "line",
    [
        "load.crossing_ms=-1",
        "load.crossing_ms=nan",
        "load.crossing_ms_per_mb=inf",
        "load.crossing_ms_per_mb=much",
        "load.crosing_ms=100",
    ],
)
def test_setting_that_cannot_be_is_refused_by_its_name(line: str) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        settings_file.parse(f"{FILE}{line}\n")
    (fault,) = caught.value.faults
    assert fault.startswith(line.partition("=")[0] + ":")


def test_settings_of_load_have_defaults() -> None:
    assert settings_file.parse(FILE).load == edge_settings.LoadSettings()
    settings = settings_file.parse(f"{FILE}load.crossing_ms=250\n")
    assert settings.load.crossing_s == 0.25
