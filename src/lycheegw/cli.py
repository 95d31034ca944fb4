"""The `lycheegw` command: daemons, operators' commands and measures."""

import asyncio
from collections.abc import Callable
import contextlib
import functools
import io
import pathlib
import sys
from typing import Any

import fire
from fire import core

from lycheegw import commands
from lycheegw import daemons
from lycheegw import demo as demo_module
from lycheegw.measure import registry
from lycheegw.state import errors

__all__ = ["main"]

_EXIT_FAILED = 1
_EXIT_USAGE = 2


def node(settings: str) -> int:
    """Runs a node until SIGTERM.

    Args:
        settings: Path of the node's settings in JSON.
    """
    return asyncio.run(daemons.run_node(pathlib.Path(settings)))


def standin(kind: str, settings: str) -> int:
    """Runs a stand-in until SIGTERM.

    Args:
        kind: engine, service, log, hosts, weights or ratings.
        settings: Path of the stand-in's settings in JSON.
    """
    return asyncio.run(daemons.run_standin(kind, pathlib.Path(settings)))


def demo(seed: int = 1) -> int:
    """Runs both example deployments for some seconds; checks guarantees."""
    return asyncio.run(demo_module.run(seed))


def check(file: str) -> int:
    """Validates a file of settings or records; prints each fault's path."""
    return commands.check(pathlib.Path(file))


def publish(file: str, log: str) -> int:
    """Appends the records in a file to the log.

    Args:
        file: Path of a record or a list of records in JSON.
        log: "ip:port" of the log service.
    """
    return asyncio.run(commands.publish(pathlib.Path(file), log))


def status(node: str, key: str, json: bool = False) -> int:
    """Prints the status of a node and the configuration offsets of all nodes.

    Args:
        node: "ip:port" of any node.
        key: The operators' key.
        json: Whether to print JSON.
    """
    return asyncio.run(commands.status(node, key, json))


def watch(node: str, key: str, seconds: float = 0) -> int:
    """Prints the status every second; 0 seconds means without end."""
    return asyncio.run(commands.watch(node, key, seconds))


def explain(
    request_id: str,
    node: str = "",
    key: str = "",
    json: bool = False,
    log: str = "",
) -> int:
    """Prints each decision on a request, in order, with its reason.

    Args:
        request_id: The request.
        node: "ip:port" of the node that handled it.
        key: The operators' key.
        json: Whether to print JSON.
        log: File with the log lines of all nodes, used instead of a node.
    """
    if log:
        return commands.explain_log(str(request_id), pathlib.Path(log))
    if not node or not key:
        raise errors.ConfigurationError(
            ["explain: requires --log, or both --node and --key"]
        )
    return asyncio.run(commands.explain(str(request_id), node, key, json))


def measure(
    name: str, seed: int = 1, scale: float = 1.0, out: str | None = None
) -> int:
    """Runs a measure and its baseline; `list` prints the names of all.

    Args:
        name: Name of the measure, or list.
        seed: Seed of the generated load.
        scale: Factor on load and duration.
        out: Folder for raw data and a plot.
    """
    if name == "list":
        print("\n".join(registry.names()))
        return 0
    return registry.run(name, seed, scale, out)


_COMMANDS: dict[str, Callable[..., int]] = {
    "node": node,
    "standin": standin,
    "demo": demo,
    "check": check,
    "publish": publish,
    "status": status,
    "watch": watch,
    "explain": explain,
    "measure": measure,
}


class _DeferredCommand:
    """A command bound to its arguments, run after parsing.

    Fire reports a surplus argument only after it has called the command, so
    that call must have no effect yet.
    """

    def __init__(self, command: Callable[[], int]):
        self._command = command


def _defer(command: Callable[..., int]) -> Callable[..., _DeferredCommand]:
    """Returns a function with the signature of `command` that defers it."""

    @functools.wraps(command)
    def bind(*arguments: Any, **options: Any) -> _DeferredCommand:
        return _DeferredCommand(
            functools.partial(command, *arguments, **options)
        )

    return bind


def _parse(arguments: list[str]) -> Any:
    """Returns the deferred command; reduces Fire's usage error to one line."""
    stderr = io.StringIO()
    deferred_by_name = {
        name: _defer(command) for name, command in _COMMANDS.items()
    }
    try:
        with contextlib.redirect_stderr(stderr):
            return fire.Fire(
                deferred_by_name,
                arguments,
                "lycheegw",
                serialize=lambda _: None,
            )
    except core.FireExit as exit_:
        if not exit_.code:
            print(stderr.getvalue())
            raise
        lines = [line for line in stderr.getvalue().splitlines() if line]
        message = lines[0] if lines else "usage"
        raise errors.ConfigurationError([message]) from exit_


def main() -> None:
    """Runs a command; on an error prints a line each and exits non-zero."""
    arguments = sys.argv[1:]
    try:
        deferred = _parse(arguments)
        if not isinstance(deferred, _DeferredCommand):
            raise errors.ConfigurationError(
                [f"expected a command: {', '.join(_COMMANDS)}; see --help"]
            )
        result = deferred._command()
    except errors.ConfigurationError as error:
        for fault in error.faults:
            print(f"lycheegw: {fault}", file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    except errors.LycheeError as error:
        print(f"lycheegw: {error}", file=sys.stderr)
        sys.exit(_EXIT_FAILED)
    except KeyboardInterrupt:
        sys.exit(_EXIT_FAILED)
    sys.exit(result)
