"""Setup of all tests: fixed seeds, coroutine tests, --renew-golden."""

import asyncio
import inspect

import hypothesis
import pytest

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option --renew-golden, which rewrites golden files."""
    parser.addoption("--renew-golden", action="store_true")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Runs a coroutine test in its own event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(pyfuncitem.obj(**arguments))
    return True
