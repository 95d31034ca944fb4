"""Translates the platform's records: manifests, orders, outcomes, upstreams."""

from collections.abc import Mapping
import functools
import json
import re
import reprlib
from typing import Any

from lycheegw.protocol import json_arrays
from lycheegw.state import addresses
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import orders
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = [
    "ManifestDecoder",
    "create_codec",
    "decode_outcome",
    "decode_upstream",
    "encode_outcome",
    "upstream_digest",
]

_MANIFEST_KEY = "config"
# Longest manifest that is decoded; its routes take a multiple of it in memory.
_MAX_MANIFEST_BYTES = 8 * 1024 * 1024
_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"
_KIND_BY_NAME = {
    "safe": routing.RequestKind.IDEMPOTENT,
    "unsafe": routing.RequestKind.ONCE,
    "streaming": routing.RequestKind.STREAM,
}
_STATE_BY_NAME = {
    "in_progress": orders.RolloutState.RUNNING,
    "completed": orders.RolloutState.COMPLETED,
    "rolled_back": orders.RolloutState.ROLLED_BACK,
}
_NAME_BY_STATE = {state: name for name, state in _STATE_BY_NAME.items()}
# Ids are sent to upstreams in a header.
_UPSTREAM_ID = re.compile(r"[!-~]+")
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class ManifestDecoder:
    """Decodes manifests; of a new version, the routes that changed."""

    def __init__(self) -> None:
        self._decoder = json_arrays.ArrayDecoder("routes", _route)

    def decode(self, value: bytes) -> routing.Manifest:
        """Returns a manifest.

        Raises:
            errors.RecordError: It is malformed; the error has the field's path.
        """
        if len(value) > _MAX_MANIFEST_BYTES:
            raise errors.RecordError(
                [f"manifest: {len(value)} bytes, at most {_MAX_MANIFEST_BYTES}"]
            )
        try:
            loaded, routes = self._decoder.decode(value)
        except ValueError as error:
            raise errors.RecordError([f"manifest: {error}"]) from error
        if routes is None:
            raise errors.RecordError(["/routes: is no list"])
        services = [
            _service(f"services/{index}", each)
            for index, each in enumerate(
                json_fields.read("", loaded, "services", list)
            )
        ]
        return routing.Manifest(
            json_fields.read("", loaded, "version", int),
            routing.index_routes(routes),
            {service.name: service for service in services},
            _organisations(loaded.get("tenants")),
            _limits(loaded.get("limits") or {}),
        )


def _route(path: str, value: Any) -> routing.Route:
    if not isinstance(value, dict):
        raise errors.RecordError([f"{path}: not a JSON object"])
    kind = _KIND_BY_NAME.get(value.get("type", ""))
    if kind is None:
        raise errors.RecordError([f"{path}/type: {value.get('type')!r}"])
    timeout_ms = json_fields.read(path, value, "timeout_ms", float)
    return routing.Route(
        json_fields.read(path, value, "name", str),
        json_fields.read(path, value, "hostname", str).lower(),
        json_fields.read(path, value, "path_prefix", str),
        kind,
        timeout_ms / 1000,
        json_fields.read(path, value, "target_latency_ms", float, timeout_ms)
        / 1000,
        json_fields.read(path, value, "target_gap_ms", float, 0.0) / 1000,
        int(json_fields.read(path, value, "priority", float, 0.0)),
        int(json_fields.read(path, value, "max_attempts", float, 1.0)),
        bool(value.get("public", False)),
        bool(value.get("resumable", False)),
        tuple(str(model) for model in value.get("sizes") or ()),
        _backends(path, value),
    )


def _backends(path: str, value: Mapping[str, Any]) -> tuple[Any, ...]:
    backends = value.get("backends")
    if not backends:
        name = json_fields.read(path, value, "service", str)
        return (routing.Backend(name, 1.0),)
    return tuple(
        routing.Backend(
            json_fields.read(f"{path}/backends", each, "service", str),
            json_fields.read(f"{path}/backends", each, "weight", float, 1.0),
        )
        for each in backends
    )


def _service(path: str, value: Any) -> routing.Service:
    if not isinstance(value, dict):
        raise errors.RecordError([f"{path}: not a JSON object"])
    return routing.Service(
        json_fields.read(path, value, "name", str),
        json_fields.read(path, value, "health_path", str, "/"),
        int(json_fields.read(path, value, "max_connections", float, 0.0)),
        json_fields.read(path, value, "cold_start_s", float, 0.0),
        json_fields.read(path, value, "cold_per_s", float, 0.0),
        _engine(path, value.get("engine")),
    )


def _engine(path: str, value: Any) -> routing.Engine | None:
    if not isinstance(value, dict):
        return None
    path = f"{path}/engine"
    return routing.Engine(
        int(json_fields.read(path, value, "slots", float, 0.0)),
        int(json_fields.read(path, value, "kv_capacity", float, 0.0)),
        {
            json_fields.read(path, each, "name", str): json_fields.read(
                path, each, "cost", float, 0.0
            )
            for each in value.get("models") or ()
        },
    )


def _organisations(value: Any) -> dict[str, routing.Organisation] | None:
    """Returns the organisation of each API key, None if none is required."""
    if value is None:
        return None
    organisation_by_key = {}
    for index, each in enumerate(value):
        path = f"tenants/{index}"
        priority = each.get("priority")
        organisation = routing.Organisation(
            json_fields.read(path, each, "name", str),
            priority if isinstance(priority, int) else None,
        )
        for key in json_fields.read(path, each, "api_keys", list, []):
            organisation_by_key[str(key)] = organisation
    return organisation_by_key


def _limits(value: Mapping[str, Any]) -> routing.CallerLimits:
    defaults = routing.CallerLimits()

    def amount(name: str, default: float) -> float:
        return json_fields.read(
            "manifest/limits", value, name, float, float(default)
        )

    return routing.CallerLimits(
        int(amount("max_header_bytes", defaults.header_bytes)),
        int(amount("max_body_bytes", defaults.body_bytes)),
        amount("header_timeout_ms", defaults.header_timeout_s * 1000) / 1000,
        amount("idle_timeout_ms", defaults.idle_timeout_s * 1000) / 1000,
    )


def _decode_order(
    decoder: ManifestDecoder, key: str, value: bytes
) -> orders.Order | None:
    """Returns an order, None if its key is of no known kind.

    Raises:
        errors.RecordError: The record can't be decoded.
    """
    if key == _MANIFEST_KEY:
        try:
            return decoder.decode(value)
        except (AttributeError, TypeError, RecursionError) as error:
            # It is nested too deeply, or a field that is not looked at closely
            # has another type.
            raise errors.RecordError([f"manifest: {error!r}"]) from error
    if key.startswith(_EVACUATION_PREFIX):
        return orders.ZoneClosure(key.removeprefix(_EVACUATION_PREFIX))
    if key.startswith(_ROLLOUT_PREFIX):
        loaded = json_fields.load_object(key, value)
        return orders.RolloutOrder(
            json_fields.read(key, loaded, "service", str),
            # "target" is a version, not an upstream.
            json_fields.read(key, loaded, "target", str),
            json_fields.read(key, loaded, "duration_s", float),
        )
    return None


def decode_outcome(key: str, value: bytes) -> orders.RolloutOutcome | None:
    """Returns the outcome of a roll-out; raises errors.RecordError."""
    if not key.startswith(_ROLLOUT_PREFIX):
        return None
    loaded = json_fields.load_object(key, value)
    state = _STATE_BY_NAME.get(json_fields.read(key, loaded, "state", str))
    if state is None:
        raise errors.RecordError([_unknown(key, loaded, "state")])
    return orders.RolloutOutcome(
        key.removeprefix(_ROLLOUT_PREFIX),
        json_fields.read(key, loaded, "target", str),
        state,
    )


def encode_outcome(outcome: orders.RolloutOutcome) -> tuple[str, bytes]:
    """Returns the key and value that report a roll-out to the operator."""
    value = {"state": _NAME_BY_STATE[outcome.state], "target": outcome.version}
    return _ROLLOUT_PREFIX + outcome.service, json.dumps(value).encode()


def decode_upstream(key: str, value: bytes) -> upstreams.HostEntry:
    """Returns the entry of an upstream.

    Raises:
        errors.RecordError: The entry is malformed or not one of an upstream.
    """
    if not _UPSTREAM_ID.fullmatch(key):
        raise errors.RecordError([f"{reprlib.repr(key)}: is no id"])
    return _decode_entry(key, value)


def _decode_entry(key: str, value: bytes) -> upstreams.HostEntry:
    """Returns an entry, whatever its id; raises errors.RecordError."""
    loaded = json_fields.load_object(key, value)
    is_leaving = _IS_LEAVING_BY_STATE.get(str(loaded.get("state")))
    if is_leaving is None:
        raise errors.RecordError([_unknown(key, loaded, "state")])
    address = json_fields.read(key, loaded, "address", str)
    try:
        addresses.parse(address)
    except ValueError as error:
        raise errors.RecordError([_unknown(key, loaded, "address")]) from error
    return upstreams.HostEntry(
        key,
        upstreams.HostRole.SERVICE,
        json_fields.read(key, loaded, "service", str),
        address,
        json_fields.read(key, loaded, "zone", str),
        is_leaving,
        False,
        json_fields.read(key, loaded, "version", str),
        json_fields.read(key, loaded, "slots", int),
        # "born" is in Unix milliseconds; older upstreams omit it.
        json_fields.read(key, loaded, "born", int, 0),
        json_fields.read(key, loaded, "sequence", int),
        json_fields.read(key, loaded, "cold_remaining_ms", float, 0.0) / 1000,
    )


def _unknown(path: str, fields: Mapping[str, Any], name: str) -> str:
    """Returns a message on a field whose value is not one of those known."""
    return f"{path}/{name}: {reprlib.repr(fields.get(name))}"


def upstream_digest(value: bytes) -> Any:
    """Returns the part of an entry whose changes are sent to peers at once.

    The sequence number of heartbeats is not included. The remaining cold time
    is, so each entry of a cold upstream is sent.
    """
    try:
        entry = _decode_entry("", value)
    except errors.RecordError:
        return value
    return entry._replace(sequence=0)


def create_codec() -> orders.Codec:
    """Returns a codec, which remembers the manifest that it decoded last."""
    return orders.Codec(
        functools.partial(_decode_order, ManifestDecoder()),
        decode_outcome,
        encode_outcome,
        decode_upstream,
    )
