"""Records of the operator and of upstreams, decoded once."""

from collections.abc import Mapping
import json
from typing import Any
from typing import TypeVar

from lycheegw.state import errors
from lycheegw.state import orders
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = [
    "CODEC",
    "decode_manifest",
    "decode_order",
    "decode_outcome",
    "decode_upstream",
    "encode_outcome",
    "upstream_digest",
]

_MANIFEST_KEY = "config"
_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"
_KIND_BY_WORD = {
    "safe": routing.RequestKind.IDEMPOTENT,
    "unsafe": routing.RequestKind.ONCE,
    "streaming": routing.RequestKind.STREAM,
}
_STATE_BY_WORD = {
    "in_progress": orders.RolloutState.RUNNING,
    "completed": orders.RolloutState.COMPLETED,
    "rolled_back": orders.RolloutState.ROLLED_BACK,
}
_WORD_BY_STATE = {state: word for word, state in _STATE_BY_WORD.items()}
_WORD_LEAVING = {"ready": False, "draining": True}

_Type = TypeVar("_Type")


def _load(what: str, value: bytes) -> Mapping[str, Any]:
    try:
        loaded = json.loads(value)
    except ValueError as error:
        raise errors.RecordError([f"{what}: not JSON"]) from error
    if not isinstance(loaded, dict):
        raise errors.RecordError([f"{what}: not a JSON object"])
    return loaded


def _field(
    what: str,
    value: Mapping[str, Any],
    name: str,
    kind: type[_Type],
    default: _Type | None = None,
) -> _Type:
    """Returns a field of the type asked for; a whole number is a float too.

    Raises:
        errors.RecordError: It is missing or of another type.
    """
    found = value.get(name, default)
    if kind is float and isinstance(found, int):
        found = float(found)
    if found is None or not isinstance(found, kind):
        raise errors.RecordError([f"{what}/{name}: is no {kind.__name__}"])
    if isinstance(found, bool) and kind is not bool:
        raise errors.RecordError([f"{what}/{name}: is no {kind.__name__}"])
    return found


def decode_manifest(value: bytes) -> routing.Manifest:
    """Returns a manifest; raises errors.RecordError naming the field."""
    loaded = _load("manifest", value)
    routes = [
        _route(f"routes/{index}", each)
        for index, each in enumerate(_field("", loaded, "routes", list))
    ]
    services = [
        _service(f"services/{index}", each)
        for index, each in enumerate(_field("", loaded, "services", list))
    ]
    return routing.Manifest(
        _field("", loaded, "version", int),
        routing.index_routes(routes),
        {service.name: service for service in services},
        _organisations(loaded.get("tenants")),
        _limits(loaded.get("limits") or {}),
    )


def _route(what: str, value: Any) -> routing.Route:
    if not isinstance(value, dict):
        raise errors.RecordError([f"{what}: not a JSON object"])
    kind = _KIND_BY_WORD.get(value.get("type", ""))
    if kind is None:
        raise errors.RecordError([f"{what}/type: {value.get('type')!r}"])
    timeout_ms = _field(what, value, "timeout_ms", float)
    return routing.Route(
        _field(what, value, "name", str),
        _field(what, value, "hostname", str).lower(),
        _field(what, value, "path_prefix", str),
        kind,
        timeout_ms / 1000,
        _field(what, value, "target_latency_ms", float, timeout_ms) / 1000,
        _field(what, value, "target_gap_ms", float, 0.0) / 1000,
        int(_field(what, value, "priority", float, 0.0)),
        int(_field(what, value, "max_attempts", float, 1.0)),
        bool(value.get("public", False)),
        bool(value.get("resumable", False)),
        tuple(str(model) for model in value.get("sizes") or ()),
        _backends(what, value),
    )


def _backends(what: str, value: Mapping[str, Any]) -> tuple[Any, ...]:
    split = value.get("backends")
    if not split:
        name = _field(what, value, "service", str)
        return (routing.Backend(name, 1.0),)
    return tuple(
        routing.Backend(
            _field(f"{what}/backends", each, "service", str),
            _field(f"{what}/backends", each, "weight", float, 1.0),
        )
        for each in split
    )


def _service(what: str, value: Any) -> routing.Service:
    if not isinstance(value, dict):
        raise errors.RecordError([f"{what}: not a JSON object"])
    return routing.Service(
        _field(what, value, "name", str),
        _field(what, value, "health_path", str, "/"),
        int(_field(what, value, "max_connections", float, 0.0)),
        _field(what, value, "cold_start_s", float, 0.0),
        _field(what, value, "cold_per_s", float, 0.0),
        _engine(what, value.get("engine")),
    )


def _engine(what: str, value: Any) -> routing.Engine | None:
    if not isinstance(value, dict):
        return None
    what = f"{what}/engine"
    return routing.Engine(
        int(_field(what, value, "slots", float, 0.0)),
        int(_field(what, value, "kv_capacity", float, 0.0)),
        {
            _field(what, each, "name", str): _field(
                what, each, "cost", float, 0.0
            )
            for each in value.get("models") or ()
        },
    )


def _organisations(value: Any) -> dict[str, routing.Organisation] | None:
    """Returns the holder of each key; None where no key is asked for."""
    if value is None:
        return None
    organisation_by_key = {}
    for index, each in enumerate(value):
        what = f"tenants/{index}"
        priority = each.get("priority")
        organisation = routing.Organisation(
            _field(what, each, "name", str),
            priority if isinstance(priority, int) else None,
        )
        for key in _field(what, each, "api_keys", list, []):
            organisation_by_key[str(key)] = organisation
    return organisation_by_key


def _limits(value: Mapping[str, Any]) -> routing.CallerLimits:
    blank = routing.CallerLimits()
    return routing.CallerLimits(
        int(value.get("max_header_bytes", blank.header_bytes)),
        int(value.get("max_body_bytes", blank.body_bytes)),
        value.get("header_timeout_ms", blank.header_timeout_s * 1000) / 1000,
        value.get("idle_timeout_ms", blank.idle_timeout_s * 1000) / 1000,
    )


def decode_order(key: str, value: bytes) -> orders.Order | None:
    """Returns an order, None where the key is none of those known.

    Raises:
        errors.RecordError: It can't be read.
    """
    if key == _MANIFEST_KEY:
        return decode_manifest(value)
    if key.startswith(_EVACUATION_PREFIX):
        return orders.ZoneClosed(key.removeprefix(_EVACUATION_PREFIX))
    if key.startswith(_ROLLOUT_PREFIX):
        loaded = _load(key, value)
        return orders.RolloutOrder(
            _field(key, loaded, "service", str),
            # "target" is a version here, not an upstream.
            _field(key, loaded, "target", str),
            _field(key, loaded, "duration_s", float),
        )
    return None


def decode_outcome(key: str, value: bytes) -> orders.RolloutOutcome | None:
    """Returns what became of a roll-out; raises errors.RecordError."""
    if not key.startswith(_ROLLOUT_PREFIX):
        return None
    loaded = _load(key, value)
    state = _STATE_BY_WORD.get(loaded.get("state", ""))
    if state is None:
        raise errors.RecordError([f"{key}/state: {loaded.get('state')!r}"])
    return orders.RolloutOutcome(
        key.removeprefix(_ROLLOUT_PREFIX),
        _field(key, loaded, "target", str),
        state,
    )


def encode_outcome(outcome: orders.RolloutOutcome) -> tuple[str, bytes]:
    """Returns the key and the value that tell the operator of a roll-out."""
    value = {"state": _WORD_BY_STATE[outcome.state], "target": outcome.version}
    return _ROLLOUT_PREFIX + outcome.service, json.dumps(value).encode()


def decode_upstream(key: str, value: bytes) -> upstreams.HostEntry:
    """Returns the entry of an upstream.

    Raises:
        errors.RecordError: Another writer's entry, or one that is broken.
    """
    loaded = _load(key, value)
    is_leaving = _WORD_LEAVING.get(str(loaded.get("state")))
    if is_leaving is None:
        raise errors.RecordError([f"{key}/state: {loaded.get('state')!r}"])
    host, separator, port = _field(key, loaded, "address", str).rpartition(":")
    if not (separator and host and port.isdigit()):
        raise errors.RecordError([f"{key}/address: is not ip:port"])
    return upstreams.HostEntry(
        key,
        upstreams.HostRole.SERVICE,
        _field(key, loaded, "service", str),
        f"{host}:{port}",
        _field(key, loaded, "zone", str),
        is_leaving,
        False,
        _field(key, loaded, "version", str),
        _field(key, loaded, "slots", int),
        # "born" is a Unix millisecond; older software does not tell it.
        _field(key, loaded, "born", int, 0),
        _field(key, loaded, "sequence", int),
        _field(key, loaded, "cold_remaining_ms", float, 0.0) / 1000,
    )


def upstream_digest(value: bytes) -> Any:
    """Returns what of an entry is worth telling a neighbour at once.

    A heartbeat that changes nothing but its number is not; each entry of a
    cold upstream is, since it tells how long that lasts.
    """
    try:
        entry = decode_upstream("", value)
    except errors.RecordError:
        return value
    return entry._replace(sequence=0)


CODEC = orders.Codec(
    decode_order, decode_outcome, encode_outcome, decode_upstream
)
