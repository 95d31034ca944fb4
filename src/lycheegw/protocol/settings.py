"""Settings of a node, read from JSON and fully validated before the start."""

from collections.abc import Mapping
import functools
import json
import pathlib
from typing import Any
from typing import NamedTuple

import jsonschema

from lycheegw.state import errors
from lycheegw.state import limits as node_limits

__all__ = [
    "NodeSettings",
    "Platform",
    "Secrets",
    "parse_node",
    "read_json",
    "read_node",
    "schema_faults",
]

_SCHEMA_PATH = pathlib.Path(__file__).with_name("settings.schema.json")
_SECRETS = "secrets"
_MAX_PORT = 65535


class Platform(NamedTuple):
    """Addresses ("ip:port") of the platform services."""

    log: str
    hosts: str
    weights: str
    ratings: str


class Secrets(NamedTuple):
    """Keys that all nodes share; `repr` hides them from logs."""

    peer_key: str
    session_key: str
    operator_key: str

    def __repr__(self) -> str:
        return "Secrets(...)"


class NodeSettings(NamedTuple):
    """Settings of one node."""

    node_id: str
    zone: str
    region: str
    listen: str
    peer_listen: str
    platform: Platform
    secrets: Secrets
    peer_seeds: tuple[str, ...] = ()
    statsd: str | None = None
    limits: node_limits.Limits = node_limits.Limits()


def schema_faults(schema: Mapping[str, Any], value: Any) -> list[str]:
    """Returns each fault of `value` as "path: what is wrong", sorted."""
    validator = jsonschema.Draft202012Validator(schema)
    return sorted(
        f"{_path_of(error)}: {_message_of(error)}"
        for error in validator.iter_errors(value)
    )


def _path_of(error: jsonschema.ValidationError) -> str:
    return "/" + "/".join(str(part) for part in error.absolute_path)


def _message_of(error: jsonschema.ValidationError) -> str:
    """Returns what is wrong, without the value of a secret."""
    if error.validator == "type":
        return f"is not of type {error.validator_value}"
    if _SECRETS in error.absolute_path and error.validator != "required":
        return f"fails {error.validator} {error.validator_value}"
    return error.message


@functools.cache
def _schema() -> dict[str, Any]:
    schema: dict[str, Any] = json.loads(_SCHEMA_PATH.read_text())
    return schema


def _address_faults(path: str, address: str) -> list[str]:
    host, _, port = address.rpartition(":")
    faults = []
    if any(int(part) > 255 for part in host.split(".")):
        faults.append(f"{path}: {host} is not an IPv4 address")
    if int(port) > _MAX_PORT:
        faults.append(f"{path}: port {port} is above {_MAX_PORT}")
    return faults


def _semantic_faults(settings: NodeSettings) -> list[str]:
    """Returns the faults that the JSON schema can't express."""
    faults = []
    addresses = {
        "/listen": settings.listen,
        "/peer_listen": settings.peer_listen,
    }
    addresses |= {
        f"/platform/{name}": address
        for name, address in settings.platform._asdict().items()
    }
    addresses |= {
        f"/peer_seeds/{index}": address
        for index, address in enumerate(settings.peer_seeds)
    }
    if settings.statsd is not None:
        addresses["/statsd"] = settings.statsd
    for path, address in addresses.items():
        faults += _address_faults(path, address)
    limits = settings.limits
    if limits.default_deadline_s > limits.max_deadline_s:
        faults.append(
            f"/limits/default_deadline_s: {limits.default_deadline_s:g} is"
            f" above max_deadline_s, {limits.max_deadline_s:g}"
        )
    if settings.listen == settings.peer_listen and not settings.listen.endswith(
        ":0"
    ):
        faults.append("/peer_listen: must differ from listen")
    if len(set(settings.secrets)) < len(settings.secrets):
        faults.append("/secrets: keys must differ from each other")
    return faults


def parse_node(value: Any) -> NodeSettings:
    """Returns the settings in `value`.

    Raises:
        errors.SettingsError: The settings are not valid; has all faults with
            paths.
    """
    faults = schema_faults(_schema(), value)
    if faults:
        raise errors.SettingsError(faults)
    settings = NodeSettings(
        **{
            **value,
            "platform": Platform(**value["platform"]),
            "secrets": Secrets(**value["secrets"]),
            "peer_seeds": tuple(value.get("peer_seeds", ())),
            "limits": node_limits.Limits(**value.get("limits", {})),
        }
    )
    faults = _semantic_faults(settings)
    if faults:
        raise errors.SettingsError(sorted(faults))
    return settings


def read_json(path: pathlib.Path) -> Any:
    """Returns the JSON value in a file.

    Raises:
        errors.SettingsError: The file can't be read or is not JSON.
    """
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error.strerror}"]) from error
    except ValueError as error:
        raise errors.SettingsError([f"{path}: not JSON: {error}"]) from error


def read_node(path: pathlib.Path) -> NodeSettings:
    """Returns the settings in a file; raises errors.SettingsError."""
    return parse_node(read_json(path))
