"""Runs a node or a stand-in, built from a settings file, until SIGTERM."""

import asyncio
from collections.abc import Callable
import os
import pathlib
import signal
from typing import Any
from typing import Protocol

from absl import logging

from lycheegw import app
from lycheegw.protocol import settings
from lycheegw.standins import engine
from lycheegw.standins import hosts
from lycheegw.standins import log
from lycheegw.standins import ratings
from lycheegw.standins import service
from lycheegw.standins import weights
from lycheegw.state import errors
from lycheegw.transport import json_logging

__all__ = ["run_node", "run_standin"]

_EXIT_SECOND_SIGNAL = 130


class _Daemon(Protocol):
    """Application that a daemon runs."""

    @property
    def address(self) -> str:
        """The bound "ip:port"."""

    async def start(self) -> None:
        """Starts all components."""

    async def stop(self) -> None:
        """Stops all components once running requests have ended."""


async def run_node(path: pathlib.Path) -> int:
    """Runs a node; returns the exit code.

    Raises:
        errors.SettingsError: Lists every fault of the settings.
    """
    node_settings = settings.read_node(path)
    json_logging.install()
    return await _run_until_signal(app.Node(node_settings))


async def run_standin(kind: str, path: pathlib.Path) -> int:
    """Runs a stand-in; returns the exit code.

    Raises:
        errors.SettingsError: The kind is unknown or the settings are invalid.
    """
    build = _BUILDER_BY_KIND.get(kind)
    if build is None:
        kinds = ", ".join(sorted(_BUILDER_BY_KIND))
        raise errors.SettingsError(
            [f"{kind}: no such stand-in; expected one of {kinds}"]
        )
    value = settings.read_json(path)
    try:
        standin = build(value)
    except (TypeError, KeyError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    json_logging.install()
    return await _run_until_signal(standin)


async def _run_until_signal(daemon: _Daemon) -> int:
    """Runs a daemon until SIGTERM or SIGINT; a second one exits at once."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        if stop_requested.is_set():
            os._exit(_EXIT_SECOND_SIGNAL)
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    await daemon.start()
    logging.info("listening on %s", daemon.address)
    await stop_requested.wait()
    await daemon.stop()
    return 0


def _build_engine(value: Any) -> _Daemon:
    parameters = {**value, "versions": tuple(value["versions"])}
    return engine.EngineStandIn(engine.EngineSettings(**parameters))


def _build_service(value: Any) -> _Daemon:
    return service.ServiceStandIn(service.ServiceSettings(**value))


_BUILDER_BY_KIND: dict[str, Callable[[Any], _Daemon]] = {
    "engine": _build_engine,
    "service": _build_service,
    "log": lambda value: log.LogStandIn(**value),
    "hosts": lambda value: hosts.HostsStandIn(**value),
    "weights": lambda value: weights.WeightsStandIn(**value),
    "ratings": lambda value: ratings.RatingsStandIn(**value),
}
