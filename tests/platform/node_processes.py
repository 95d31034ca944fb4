"""Runs the program of a node as a process, whose memory can be read."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import os
import pathlib
import signal
import sys

from lycheegw.platform import settings_file
from tests.platform import fleet_harness
from tests.platform import platform_standins

__all__ = ["NodeProcess", "node_process"]

_PORT_FRONT, _PORT_READY = 8222, 8220
# Seconds for a process to start beside a busy test, and to stop.
_START_S = 20.0
_STOP_S = 15.0
_POLL_S = 0.05


class NodeProcess:
    """A node that runs as a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, ip: str):
        self._process = process
        self.front = f"{ip}:{_PORT_FRONT}"
        self.ready = f"{ip}:{_PORT_READY}"

    @property
    def is_running(self) -> bool:
        return self._process.returncode is None

    def peak_bytes(self) -> int:
        """Returns the most memory that was resident at any time."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = (
            line for line in status.splitlines() if line.startswith("VmHWM:")
        )
        return int(line.split()[1]) * 1024

    async def wait_until_ready(self) -> None:
        """Waits until the node answers a readiness check with 200."""
        async with asyncio.timeout(_START_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reply = await platform_standins.send_request(
                        self.ready, "/v1/readyz"
                    )
                    if reply is not None and reply.status == 200:
                        return
                await asyncio.sleep(_POLL_S)

    async def stop(self) -> None:
        """Kills the process; a graceful stop would wait for requests."""
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
        async with asyncio.timeout(_STOP_S):
            await self._process.wait()


@contextlib.asynccontextmanager
async def node_process(
    store_address: str, memory_mb: int, folder: pathlib.Path
) -> AsyncIterator[NodeProcess]:
    """Runs a node that is ready.

    Args:
        store_address: Address of its store.
        memory_mb: Limit on its memory in its settings.
        folder: Folder of its settings and log.
    """
    pid = os.getpid()
    # Ports of a node are fixed, so each worker has an address of its own.
    ip = f"127.{1 + pid % 250}.{pid // 250 % 250}.200"
    text = f"""node_name=node-1
role=router
ip={ip}
zone=z-a
region=r
listeners_map.front={ip}:{_PORT_FRONT}
listeners_map.ready={ip}:{_PORT_READY}
internal_ports=7340,7355
heartbeat_ms=1200
platform.address={store_address}
platform.writes_per_s=400
platform.reads_per_s=2000
limits.memory_mb={memory_mb}
{fleet_harness.BOUNDS}"""
    path = folder / "node.conf"
    path.write_text(text)
    with (folder / "node.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lycheegw.platform",
            env={**os.environ, settings_file.ENVIRONMENT_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
    node = NodeProcess(process, ip)
    try:
        await node.wait_until_ready()
        yield node
    finally:
        await node.stop()
