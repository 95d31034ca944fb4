"""Runs a node on the platform, configured by a settings file."""

import asyncio
from collections.abc import Sequence
import gc
import os
import pathlib
import random
import signal
import sys
import time
import uuid

from lycheegw import edge_app
from lycheegw.coordination import forwarding
from lycheegw.platform import headers
from lycheegw.platform import records
from lycheegw.platform import settings_file
from lycheegw.platform import store_client
from lycheegw.state import clocks
from lycheegw.state import edge_settings
from lycheegw.state import errors
from lycheegw.transport import event_log
from lycheegw.transport import forward_client
from lycheegw.transport import json_logging

__all__ = ["ADAPTER", "main"]

_EXIT_USAGE = 2
_CHECK = "--check"

ADAPTER = edge_app.PlatformAdapter(
    store_client.StoreClient,
    records.create_codec,
    records.upstream_digest,
    forwarding.Codec(
        headers.decode_traits,
        headers.encode_refusal,
        headers.promises_not_run,
    ),
    forward_client.Codec(
        headers.encode_attempt,
        headers.decode_response_head,
        headers.encode_health_check,
    ),
    headers.is_readiness_check,
    settings_file.read,
)


def _boot_time_s() -> float:
    """Returns seconds since boot, including those of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers go on while the machine is suspended."""

    def time(self) -> float:
        return _boot_time_s()


def _create_environment() -> clocks.Environment:
    return clocks.Environment(
        _boot_time_s, time.time, random.Random(), lambda: uuid.uuid4().hex
    )


async def _run_node(
    path: pathlib.Path, settings: edge_settings.EdgeSettings
) -> None:
    """Runs a node until SIGTERM."""
    loop = asyncio.get_running_loop()
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    environment = _create_environment()
    log = event_log.EventLog(
        settings.node_id, environment.wall_s, environment.monotonic_s
    )
    json_logging.install(log.note)
    node = edge_app.EdgeNode(settings, ADAPTER, environment, log)
    await node.start()
    settings_watcher = loop.create_task(
        node.watch_settings(path, reload_requested)
    )
    # Objects created at startup live until the process ends, so the garbage
    # collector need not scan them.
    gc.freeze()
    gc.enable()
    await stop_requested.wait()
    settings_watcher.cancel()
    await node.stop()


def _settings_path(arguments: Sequence[str]) -> pathlib.Path:
    """Returns the path of the settings; raises errors.SettingsError."""
    if arguments:
        return pathlib.Path(arguments[0])
    variable = settings_file.ENVIRONMENT_VARIABLE
    if not os.environ.get(variable):
        raise errors.SettingsError([f"{variable}: is not set"])
    return pathlib.Path(os.environ[variable])


def main() -> None:
    """Runs a node; exits with 2 and a line per fault of invalid settings.

    With `--check` and optionally a file, only validates the settings.
    """
    arguments = sys.argv[1:]
    is_check_only = arguments[:1] == [_CHECK]
    try:
        path = _settings_path(arguments[1:] if is_check_only else arguments)
        settings = settings_file.read(path)
    except errors.SettingsError as error:
        for fault in error.faults:
            print(f"lycheegw: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    if is_check_only:
        print(f"{path}: settings are valid")
        return
    with asyncio.Runner(loop_factory=_BootTimeLoop) as runner:
        runner.run(_run_node(path, settings))


if __name__ == "__main__":
    main()
