"""A refusal that says "not run" is true after any sequence of attempts."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import types
from typing import Any

import hypothesis
from hypothesis import strategies

from lycheegw.coordination import dispatcher
from lycheegw.coordination import retries
from lycheegw.coordination.load import admission
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import records
from lycheegw.state import requests
from lycheegw.state import upstreams
from lycheegw.state import verdicts
from tests import fakes

_NOT_RUN = verdicts.RunVerdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.RunVerdict.MAY_HAVE_RUN
_DEADLINE_S = 0.05


def _refusal() -> errors.RefusalError:
    """Returns the refusal of code that knows nothing of other attempts."""
    return errors.RefusalError(
        reasons.RefusalReason.NO_UPSTREAM, "none", _NOT_RUN
    )


def _failure(
    reason: reasons.RetryReason, verdict: verdicts.RunVerdict
) -> errors.UpstreamError:
    return errors.UpstreamError(reason, reason.value, verdict)


# What happens to an attempt before it is sent.
_ERROR_BY_WAIT: dict[str, Callable[[], Exception] | None] = {
    "free": None,
    "full": _refusal,
    "late": None,
}
# What happens to one that was sent.
_ERROR_BY_END: dict[str, Callable[[], Exception] | None] = {
    "answered": None,
    "unreachable": lambda: _failure(
        reasons.RetryReason.CONNECT_FAILED, _NOT_RUN
    ),
    "rejected": lambda: _failure(reasons.RetryReason.REFUSED, _NOT_RUN),
    "lost": lambda: _failure(
        reasons.RetryReason.CONNECTION_LOST, _MAY_HAVE_RUN
    ),
    "malformed": lambda: _failure(
        reasons.RetryReason.MALFORMED, verdicts.RunVerdict.RAN
    ),
    "refused": _refusal,
    "faulty": lambda: RuntimeError("faulty"),
    "silent": None,
}
_ENDS_WITHOUT_RUN = {"unreachable", "rejected"}
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(_ERROR_BY_WAIT)),
        strategies.sampled_from(sorted(_ERROR_BY_END)),
    ),
    min_size=1,
    max_size=5,
)


class _Upstreams:
    """Upstreams, their slots and the log of keys, which follow a script.

    Attributes:
        run_count: Runs of the call.
        key_outcomes: Verdicts with which its key was completed.
    """

    def __init__(
        self, upstream: upstreams.Upstream, steps: list[tuple[str, str]]
    ):
        self.run_count = 0
        self.key_outcomes: list[verdicts.RunVerdict] = []
        self._upstream = upstream
        self._steps = [*steps, ("free", "answered")]

    async def pick(self, *_: Any) -> upstreams.Upstream:
        wait = self._steps[0][0]
        await _follow(wait == "late", _ERROR_BY_WAIT[wait])
        return self._upstream

    @contextlib.asynccontextmanager
    async def hold(self, *_: Any) -> AsyncIterator[None]:
        yield

    async def operate(self, *_: Any) -> Any:
        _, end = self._steps.pop(0)
        self.run_count += end not in _ENDS_WITHOUT_RUN
        await _follow(end == "silent", _ERROR_BY_END[end])
        return {"number": self.run_count}

    async def begin(self, _: requests.Request) -> None:
        pass

    async def complete(
        self, _: requests.Request, verdict: verdicts.RunVerdict, answer: Any
    ) -> None:
        del answer
        self.key_outcomes.append(verdict)


async def _follow(
    never_ends: bool, error: Callable[[], Exception] | None
) -> None:
    if never_ends:
        await asyncio.Event().wait()
    if error is not None:
        raise error()


class _Suspects:
    """No request is a suspect."""

    async def choose(self, _: Any, choose: Any, has_free: Any) -> Any:
        del has_free
        return await choose()

    async def note_failure(self, *_: Any) -> None:
        pass

    def crashed_upstreams(self) -> set[str]:
        return set()

    def __getattr__(self, name: str) -> Any:
        assert name in ("refuse_blocked", "release", "note_success")
        return lambda *_: None


def _dispatcher(
    steps: list[tuple[str, str]],
) -> tuple[dispatcher.Dispatcher, _Upstreams, float]:
    """Returns a dispatcher, its upstreams and the time."""
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    scripted = _Upstreams(fakes.add_upstream(state, "u"), steps)
    service = records.Service(
        "deskapp", {"book": records.Operation(False, True)}
    )
    state.catalog.service = lambda _: service  # type: ignore[method-assign]

    async def add(_: Any) -> None:
        pass

    dependencies = types.SimpleNamespace(
        admission=admission.Admission(state, lambda _: 9),
        billing=types.SimpleNamespace(check_capacity=lambda: None, add=add),
        choose=None,
        key_claims=scripted,
        retry_budget=retries.RetryBudget(),
        slots=types.SimpleNamespace(
            pick=scripted.pick, hold=scripted.hold, has_free=None
        ),
        suspects=_Suspects(),
        upstream_client=scripted,
        planner=None,
        sessions=None,
        bad_version_detector=None,
    )
    return dispatcher.Dispatcher(state, dependencies), scripted, clock.now_s


# Issue 55: a path that ends an attempt and doesn't tell that it may have run.
@hypothesis.given(steps=_STEPS, is_idempotent=strategies.booleans())
@hypothesis.settings(deadline=None, max_examples=200)
def test_refusal_that_says_not_run_is_true(
    steps: list[tuple[str, str]], is_idempotent: bool
) -> None:
    async def main() -> None:
        dispatch, scripted, now_s = _dispatcher(steps)
        is_late = any("late" in step or "silent" in step for step in steps)
        work = requests.ServiceWork("deskapp", "book", {})
        request = requests.Request(
            "r",
            "desk",
            "deskapp/book",
            work,
            None,
            None,
            now_s + (_DEADLINE_S if is_late else 60.0),
            5,
            "k",
            is_idempotent,
            "0f",
        )
        said = verdicts.RunVerdict.RAN
        try:
            await dispatch.run_service(request, work)
        except errors.RefusalError as error:
            said = error.verdict
        except RuntimeError:
            said = _MAY_HAVE_RUN
        assert (said is _NOT_RUN) == (scripted.run_count == 0)
        if not is_idempotent:
            assert scripted.run_count <= 1
            [outcome] = scripted.key_outcomes
            assert outcome is said or said is _MAY_HAVE_RUN

    asyncio.run(main())
