"""The command line: thin daemons, operators' commands and measures."""

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
    """Runs both deployments for some seconds and checks the promises."""
    return asyncio.run(demo_module.run(seed))


def check(file: str) -> int:
    """Checks a file of settings or records; names each fault's path."""
    return commands.check(pathlib.Path(file))


def publish(file: str, log: str) -> int:
    """Appends the records in a file to the log.

    Args:
        file: Path of a record or a list of records in JSON.
        log: "ip:port" of the log service.
    """
    return asyncio.run(commands.publish(pathlib.Path(file), log))


def status(node: str, key: str, json: bool = False) -> int:
    """Prints what a node knows and how far the fleet has come.

    Args:
        node: "ip:port" of any node.
        key: The operators' key.
        json: Whether to print JSON.
    """
    return asyncio.run(commands.status(node, key, json))


def watch(node: str, key: str, seconds: float = 0) -> int:
    """Prints the status again and again; 0 seconds for no end."""
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
        node: "ip:port" of the node that had it.
        key: The operators' key.
        json: Whether to print JSON.
        log: File with the collected lines of all nodes, instead of a node.
    """
    if log:
        return commands.explain_log(str(request_id), pathlib.Path(log))
    if not node or not key:
        raise errors.ConfigurationError(["explain: --log, or --node and --key"])
    return asyncio.run(commands.explain(str(request_id), node, key, json))


def measure(
    name: str, seed: int = 1, scale: float = 1.0, out: str | None = None
) -> int:
    """Runs a measure against its baseline; `list` names them all.

    Args:
        name: Name of the measure, or list.
        seed: Where the load comes from.
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


class _Prepared:
    """A command with its arguments, not yet run.

    Fire notices a surplus argument only after it called the command, which
    must not have had an effect by then.
    """

    def __init__(self, command: Callable[[], int]):
        self._command = command


def _prepared(command: Callable[..., int]) -> Callable[..., _Prepared]:
    """Returns `command` with its signature, but put off."""

    @functools.wraps(command)
    def prepare(*arguments: Any, **options: Any) -> _Prepared:
        return _Prepared(functools.partial(command, *arguments, **options))

    return prepare


def _parse(arguments: list[str]) -> Any:
    """Returns the command asked for; fire's usage comes out as one line."""
    stderr = io.StringIO()
    commands_by_name = {
        name: _prepared(command) for name, command in _COMMANDS.items()
    }
    try:
        with contextlib.redirect_stderr(stderr):
            return fire.Fire(
                commands_by_name,
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
    """Entry point of `lycheegw`; exits non-zero with a line on stderr."""
    arguments = sys.argv[1:]
    try:
        prepared = _parse(arguments)
        if not isinstance(prepared, _Prepared):
            raise errors.ConfigurationError(
                [f"commands: {', '.join(_COMMANDS)}; see --help"]
            )
        result = prepared._command()
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
