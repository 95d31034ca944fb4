"""The program that runs on the platform: a node behind this adapter."""

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
from lycheegw.transport import logs

__all__ = ["ADAPTER", "main"]

_EXIT_USAGE = 2
_CHECK = "--check"

ADAPTER = edge_app.Adapter(
    store_client.Store,
    records.CODEC,
    records.upstream_digest,
    forwarding.Codec(headers.decode_traits, headers.encode_refusal),
    forward_client.Codec(
        headers.encode_attempt,
        headers.decode_answer,
        headers.encode_health_check,
    ),
    headers.is_ready_check,
    settings_file.read,
)


def _boot_time_s() -> float:
    """Returns seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _BootTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose timers are due after a suspension, not later."""

    def time(self) -> float:
        return _boot_time_s()


def _environment() -> clocks.Environment:
    return clocks.Environment(
        _boot_time_s, time.time, random.Random(), lambda: uuid.uuid4().hex
    )


async def _run(
    path: pathlib.Path, settings: edge_settings.EdgeSettings
) -> None:
    """Runs a node until SIGTERM."""
    loop = asyncio.get_running_loop()
    is_stopping, is_reloading = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, is_stopping.set)
    loop.add_signal_handler(signal.SIGINT, is_stopping.set)
    loop.add_signal_handler(signal.SIGHUP, is_reloading.set)
    environment = _environment()
    log = event_log.EventLog(
        settings.node_id, environment.wall_s, environment.monotonic_s
    )
    logs.install(log.note)
    node = edge_app.EdgeNode(settings, ADAPTER, environment, log)
    await node.start()
    watcher = loop.create_task(node.watch_settings(path, is_reloading))
    # What lives from the start lives to the end; collections skip it.
    gc.collect()
    gc.freeze()
    await is_stopping.wait()
    watcher.cancel()
    await node.stop()


def _settings_path(arguments: Sequence[str]) -> pathlib.Path:
    """Returns where the settings are; raises errors.SettingsError."""
    if arguments:
        return pathlib.Path(arguments[0])
    variable = settings_file.ENVIRONMENT_VARIABLE
    if not os.environ.get(variable):
        raise errors.SettingsError([f"{variable}: is not set"])
    return pathlib.Path(os.environ[variable])


def main() -> None:
    """Entry point; exits with 2 and a line for each fault of the settings.

    With `--check` and perhaps a file, the settings are checked only.
    """
    arguments = sys.argv[1:]
    is_check = arguments[:1] == [_CHECK]
    try:
        path = _settings_path(arguments[1:] if is_check else arguments)
        settings = settings_file.read(path)
    except errors.SettingsError as error:
        for fault in error.faults:
            print(f"lycheegw: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    if is_check:
        print(f"{path}: settings are valid")
        return
    with asyncio.Runner(loop_factory=_BootTimeLoop) as runner:
        runner.run(_run(path, settings))


if __name__ == "__main__":
    main()
