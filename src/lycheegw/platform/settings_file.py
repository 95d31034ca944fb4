"""Parses the platform's settings file: lines of the form a.b=value."""

from collections.abc import Callable
from collections.abc import Mapping
import math
import pathlib
from typing import Any
from typing import TypeVar

from lycheegw.state import edge_settings
from lycheegw.state import errors

__all__ = ["ENVIRONMENT_VARIABLE", "parse", "read"]

ENVIRONMENT_VARIABLE = "LYCHEEGW_BOOT"

# Settings of load, which the deployment writes itself; others may be newer ones
# of the platform.
_LOAD_FIELDS = frozenset(
    {"load.crossing_ms", "load.crossing_ms_per_mb", "load.late_worth"}
)

_Value = TypeVar("_Value")


def read(path: pathlib.Path) -> edge_settings.EdgeSettings:
    """Returns the settings in a file.

    Raises:
        errors.SettingsError: Lists every fault with its field.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return parse(text)


def parse(text: str) -> edge_settings.EdgeSettings:
    """Returns the settings in the text of a file.

    Raises:
        errors.SettingsError: Lists every fault with its field.
    """
    fields = _Fields(_parse_lines(text))
    low, high = fields.get("internal_ports", _parse_port_range)
    ip = fields.get("ip", str)
    settings = edge_settings.EdgeSettings(
        node_id=fields.get("node_name", str),
        zone=fields.get("zone", str),
        region=fields.get("region", str),
        listen=fields.get("listeners_map.front", _parse_address),
        readiness_listen=fields.get("listeners_map.ready", _parse_address),
        peer_listen=f"{ip}:{low}",
        metrics_listen=f"{ip}:{edge_settings.METRICS_PORT}",
        store_address=fields.get("platform.address", _parse_address),
        store_reads_per_s=fields.get("platform.reads_per_s", float, "2000"),
        store_writes_per_s=fields.get("platform.writes_per_s", float, "400"),
        heartbeat_s=fields.get("heartbeat_ms", _parse_milliseconds, "1200"),
        memory_mb=fields.get("limits.memory_mb", _parse_memory, "300"),
        service_levels=_parse_bounds(fields),
        load=_parse_load(fields),
    )
    if high < low:
        fields.faults.append(
            f"internal_ports: last port {high} is below first port {low}"
        )
    if fields.faults:
        raise errors.SettingsError(fields.faults)
    return settings


def _parse_bounds(fields: "_Fields") -> edge_settings.ServiceLevels:
    return edge_settings.ServiceLevels(
        drain_s=fields.get("bounds.drain_ms", _parse_milliseconds, "2000"),
        grace_s=fields.get("bounds.grace_s", float, "8"),
        config_apply_s=fields.get(
            "bounds.config_apply_ms", _parse_milliseconds, "2000"
        ),
        retry_ratio=fields.get("bounds.retry_budget_ratio", float, "0.9"),
        retry_window_s=fields.get("bounds.budget_window_s", float, "10"),
        retry_slack=fields.get("bounds.retry_slack", float, "54"),
        exposure_share=fields.get("bounds.exposure_share", float, "0.15"),
        exposure_slack=fields.get("bounds.exposure_slack", float, "30"),
        rollback_s=fields.get(
            "bounds.rollback_ms", _parse_milliseconds, "5000"
        ),
        cold_overage=fields.get("bounds.cold_overage", float, "1.5"),
        cold_slack=fields.get("bounds.cold_slack", float, "5"),
        event_deadline_s=fields.get(
            "bounds.event_deadline_ms", _parse_milliseconds, "120"
        ),
        session_s=fields.get("bounds.session_s", float, "5"),
    )


def _parse_load(fields: "_Fields") -> edge_settings.LoadSettings:
    fields.check_known("load.", _LOAD_FIELDS)
    return edge_settings.LoadSettings(
        crossing_s=fields.get("load.crossing_ms", _parse_wait, "100"),
        crossing_s_per_mb=fields.get(
            "load.crossing_ms_per_mb", _parse_wait, "2000"
        ),
        late_worth=fields.get("load.late_worth", _parse_share, "0.6"),
    )


def _parse_lines(text: str) -> dict[str, str]:
    value_by_name = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not name.lstrip().startswith("#"):
            value_by_name[name.strip()] = value.strip()
    return value_by_name


class _Fields:
    """Converts fields by name and collects faults, to report all at once."""

    def __init__(self, value_by_name: Mapping[str, str]):
        self.faults: list[str] = []
        self._value_by_name = value_by_name

    def check_known(self, prefix: str, known: frozenset[str]) -> None:
        """Records a fault for each other field with a prefix."""
        self.faults += [
            f"{name}: is no known setting"
            for name in sorted(self._value_by_name)
            if name.startswith(prefix) and name not in known
        ]

    def get(
        self,
        name: str,
        convert: Callable[[str], _Value],
        default: str | None = None,
    ) -> _Value:
        """Returns a field, or records a fault and returns an empty value.

        Bounds have defaults, since a deployment omits those of features that
        it doesn't use.
        """
        text = self._value_by_name.get(name) or default
        if not text:
            self.faults.append(f"{name}: is missing")
        else:
            try:
                return convert(text)
            except ValueError as error:
                self.faults.append(f"{name}: {error}")
        return _empty_value(convert)


def _empty_value(convert: Callable[[str], Any]) -> Any:
    if convert is _parse_port_range:
        return (0, 0)
    return "" if convert in {str, _parse_address} else 0.0


def _parse_memory(text: str) -> float:
    megabytes = float(text)
    if not 0 < megabytes < math.inf:
        raise ValueError(f"{text!r} is not a number of megabytes above 0")
    return megabytes


def _parse_wait(text: str) -> float:
    milliseconds = float(text)
    if not 0 <= milliseconds < math.inf:
        raise ValueError(f"{text!r} is not a number of milliseconds from 0 on")
    return milliseconds / 1000


def _parse_share(text: str) -> float:
    share = float(text)
    if not 0 <= share <= 1:
        raise ValueError(f"{text!r} is not a number from 0 to 1")
    return share


def _parse_milliseconds(text: str) -> float:
    return float(text) / 1000


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form ip:port")
    return text


def _parse_port_range(text: str) -> tuple[int, int]:
    low, _, high = text.partition(",")
    if not low.isdigit() or not high.isdigit():
        raise ValueError(f"{text!r} is not of the form first,last")
    return int(low), int(high)
