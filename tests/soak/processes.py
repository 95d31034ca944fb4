"""Node processes and proxies of a soak."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

from tests.platform import fleet_harness

__all__ = ["PORT_READY", "Node", "Proxy", "peak_memory_mb"]

PORT_READY = 8220
_PORT_FRONT, _PORTS_PEERS = 8222, "7340,7355"
# Statuses of processes that end as they were told by SIGTERM.
_TERMINATED_STATUSES = frozenset({0, -signal.SIGTERM})
# Delay of each chunk of a slow connection, and interval at which a silent one
# is looked at again.
_SLOW_S = 0.3
_SILENCE_CHECK_S = 0.02


def peak_memory_mb(pid: int) -> float:
    """Returns the most memory that a process has had, 0 if it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    amounts = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
    return int(amounts[0]) * 1024 / 1e6 if amounts else 0.0


class Proxy:
    """Forwards connections; may delay, silence or reset them.

    Attributes:
        mode: "", "slow", "silent" or "reset".
    """

    def __init__(self, target: str):
        self.mode = ""
        self.address = ""
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    def stop(self) -> None:
        self.set_mode("reset")
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target[1]}
        self._writers |= writers
        pumps = [
            asyncio.create_task(self._pump(reader, target[1])),
            asyncio.create_task(self._pump(target[0], writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # asyncio.start_server would log it as an unhandled exception.
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            for each in writers:
                each.transport.abort()
            self._writers -= writers

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(_SLOW_S)
                while self.mode == "silent":
                    await asyncio.sleep(_SILENCE_CHECK_S)
                writer.write(data)
                # A target that stops reading must stop the source.
                await writer.drain()


class Node:
    """One node process.

    Attributes:
        name: Its name in settings, logs and records.
        front: Address for callers.
    """

    def __init__(
        self, number: int, network: str, folder: pathlib.Path, source: str = ""
    ):
        """Creates a node.

        Args:
            number: Number of the node, from 0 on.
            network: First three parts of its address.
            folder: Folder of its settings and lines.
            source: Folder of the code that it runs, if not this tree's.
        """
        self.name = f"node-{number}"
        self.ip = f"{network}.{number + 1}"
        self.front = f"{self.ip}:{_PORT_FRONT}"
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._source = source
        # The last signal by which a process was told to end.
        self._stop_signal_by_pid: dict[int, int] = {}
        self._is_starting = False
        self._store_proxy = ""

    def write_settings(
        self, store: str, proxy: str, zone: str, memory_mb: int
    ) -> None:
        """Writes the settings of a node that reaches the store by a proxy."""
        self._store_proxy = proxy
        text = f"""node_name={self.name}
role=router
ip={self.ip}
zone={zone}
region=r
listeners_map.front={self.front}
listeners_map.ready={self.ip}:{PORT_READY}
internal_ports={_PORTS_PEERS}
heartbeat_ms=1200
platform.address={store}
platform.writes_per_s=400
platform.reads_per_s=2000
limits.memory_mb={memory_mb}
{fleet_harness.BOUNDS}"""
        self._path("conf").write_text(text)

    def _path(self, suffix: str) -> pathlib.Path:
        return self._folder / f"{self.name}.{suffix}"

    async def start(self) -> None:
        """Starts the process, unless another task is starting it."""
        if self._is_starting:
            return
        self._is_starting = True
        environment = dict(os.environ)
        if self._source:
            environment["PYTHONPATH"] = self._source
        try:
            with self._path("log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "tests.soak.node_main",
                    self._store_proxy,
                    str(self._path("conf")),
                    stdout=log,
                    stderr=log,
                    env=environment,
                )
        finally:
            self._is_starting = False

    def send_signal(self, number: int) -> None:
        """Signals the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            if number in {signal.SIGTERM, signal.SIGKILL}:
                self._stop_signal_by_pid[self.process.pid] = number
            self.process.send_signal(number)

    def was_stopped(self, pid: int, status: int) -> bool:
        """Returns whether an ended process was told to end and did so."""
        number = self._stop_signal_by_pid.get(pid)
        return number == signal.SIGKILL or (
            number is not None and status in _TERMINATED_STATUSES
        )

    async def wait(self) -> None:
        if self.process is not None:
            await self.process.wait()
