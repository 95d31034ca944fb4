"""Checks the router's guarantees on what callers and upstreams observed."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import NamedTuple

from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.measure import traffic
from lycheegw.standins import base

__all__ = ["Guarantee", "Observations", "OperatorActions", "check_all"]

_LEAVE_BOUND_S = 3.0
_CONFIGURATION_BOUND_S = 14.0
_SAMPLE_INTERVAL_S = 0.05


class Guarantee(NamedTuple):
    """A guarantee of the router and whether it held."""

    name: str
    is_held: bool
    detail: str


class OperatorActions:
    """Performs and times operators' actions, and samples the nodes' offsets.

    Attributes:
        at_s_by_name: Monotonic time of each action.
        reverts: Samples in which a node's offset was lower than before.
        longest_apply_s: Longest time from a publication until all nodes have
            applied it.
    """

    def __init__(self, fleet: harness.Fleet):
        self._fleet = fleet
        self._offset_by_node: dict[str, int] = {}
        self._published_s_by_offset: dict[int, float] = {}
        self.at_s_by_name: dict[str, float] = {}
        self.reverts = 0
        self.longest_apply_s = 0.0

    def mark(self, name: str) -> None:
        """Records the time of an action."""
        self.at_s_by_name[name] = time.monotonic()

    async def publish(self, name: str, record: dict[str, object]) -> None:
        """Publishes a record and records the time."""
        offset = await self._fleet.publish(record)
        self.mark(name)
        self._published_s_by_offset[offset] = time.monotonic()

    async def watch(self) -> None:
        """Samples the nodes' offsets until cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        for node_id, node in self._fleet.nodes.items():
            offset = node.state.catalog.offset
            if offset < self._offset_by_node.get(node_id, -1):
                self.reverts += 1
            self._offset_by_node[node_id] = offset
        lowest = min(
            node.state.catalog.offset for node in self._fleet.nodes.values()
        )
        for offset in [
            each for each in self._published_s_by_offset if each <= lowest
        ]:
            waited_s = time.monotonic() - self._published_s_by_offset.pop(
                offset
            )
            self.longest_apply_s = max(self.longest_apply_s, waited_s)

    @property
    def is_applied_everywhere(self) -> bool:
        """Whether every node has applied all published records."""
        self._sample()
        return not self._published_s_by_offset


class Observations(NamedTuple):
    """Everything that the checks evaluate."""

    fleet: harness.Fleet
    deployment: deployments.Deployment
    outcomes: list[traffic.Outcome]
    actions: OperatorActions
    leaving_engine: str


def _engine_runs(observations: Observations) -> Iterable[base.Run]:
    for standin in observations.fleet.engines.values():
        yield from standin.runs


def _service_runs(observations: Observations) -> Iterable[base.Run]:
    for standin in observations.fleet.services.values():
        yield from standin.runs


def _last_run_after_s(
    runs: Iterable[base.Run], begin_s: float, end_s: float
) -> float:
    """Returns when the last run of a window began, after the window's begin.

    0 if no run began in it.
    """
    inside = [run.at_s for run in runs if begin_s <= run.at_s < end_s]
    return max(inside, default=begin_s) - begin_s


def _check_allowed_versions(observations: Observations) -> Guarantee:
    allowed = set(deployments.ALLOWED_VERSIONS)
    wrong = [
        run
        for run in _engine_runs(observations)
        if run.version_or_operation not in allowed
    ]
    return Guarantee(
        "runs only on allowed versions", not wrong, f"{len(wrong)} other runs"
    )


def _check_withdrawal(observations: Observations) -> Guarantee:
    begin_s = observations.actions.at_s_by_name["withdrawal"]
    runs = [
        run
        for run in _engine_runs(observations)
        if run.version_or_operation == "full-2"
    ]
    last_s = _last_run_after_s(runs, begin_s, float("inf"))
    return Guarantee(
        "a withdrawn version gets no new work",
        last_s <= _CONFIGURATION_BOUND_S,
        f"last new work {last_s:.2f} s after publication",
    )


def _check_sessions(observations: Observations) -> Guarantee:
    version_by_session: dict[str, str] = {}
    changed = 0
    for outcome in observations.outcomes:
        if not outcome.is_answered or outcome.session is None:
            continue
        assert outcome.reply is not None
        headers = outcome.reply.header_by_name
        version = headers["x-model-version"]
        kept = version_by_session.setdefault(outcome.session, version)
        if kept != version and "x-session-moved" not in headers:
            changed += 1
        version_by_session[outcome.session] = version
    return Guarantee(
        "a session keeps its version",
        not changed,
        f"{len(version_by_session)} sessions, {changed} changed without notice",
    )


def _check_bills(observations: Observations) -> Guarantee:
    bills = collections.Counter(
        traffic.original_id(request_id)
        for request_id in observations.fleet.billed_request_ids()
    )
    answered = {
        outcome.request_id
        for outcome in observations.outcomes
        if outcome.is_answered
    }
    refused = {
        outcome.request_id
        for outcome in observations.outcomes
        if outcome.reply is not None
        and outcome.reply.header_by_name.get("x-run") == "not_run"
    }
    missing = len(answered - set(bills))
    double = sum(count > 1 for count in bills.values())
    wrong = len(refused & set(bills))
    return Guarantee(
        "each request is billed once",
        bool(bills) and not missing and not double and not wrong,
        f"{len(bills)} bills, {missing} missing, {double} double,"
        f" {wrong} for refusals",
    )


def _check_cold_upstreams(observations: Observations) -> Guarantee:
    falls = sum(
        each.crash_count for each in observations.fleet.engines.values()
    )
    peak = max(
        each.peak_running_while_cold
        for each in observations.fleet.engines.values()
    )
    return Guarantee(
        "a cold upstream gets no more than its limit",
        not falls,
        f"{falls} crashed, at most {peak} at once on a cold one",
    )


def _check_zone_out(observations: Observations) -> Guarantee:
    at_s = observations.actions.at_s_by_name
    zone = observations.deployment.zones[0]
    runs = [
        run
        for host_id, standin in observations.fleet.upstream_standins().items()
        if observations.fleet.hosts.host_by_id[host_id]["zone"] == zone
        for run in standin.runs
    ]
    last_s = _last_run_after_s(runs, at_s["zone out"], at_s["zone back"])
    return Guarantee(
        "a zone taken out gets no new work after 3 s",
        last_s <= _LEAVE_BOUND_S,
        f"last new work {last_s:.2f} s after publication",
    )


def _check_whole_answers(observations: Observations) -> Guarantee:
    broken = [
        outcome.request_id
        for outcome in observations.outcomes
        if not outcome.is_answered and not outcome.refusal_reason
    ]
    return Guarantee(
        "a caller gets the whole answer to its own request",
        not broken,
        f"{len(broken)} broken {broken[:3]}",
    )


def _check_refusals(observations: Observations) -> Guarantee:
    ran = {run.request_id for run in _engine_runs(observations)}
    ran |= {run.request_id for run in _service_runs(observations)}
    false_refusals = [
        outcome.request_id
        for outcome in observations.outcomes
        if outcome.reply is not None
        and outcome.reply.header_by_name.get("x-run") == "not_run"
        and outcome.request_id in ran
    ]
    return Guarantee(
        'a refusal that says "not run" is true',
        not false_refusals,
        f"{len(false_refusals)} false {false_refusals[:3]}",
    )


def _check_at_most_once(observations: Observations) -> Guarantee:
    runs = collections.Counter(
        run.key
        for run in _service_runs(observations)
        if not observations.deployment.operations[run.version_or_operation]
    )
    double = sum(count > 1 for count in runs.values())
    return Guarantee(
        "a non-idempotent request runs at most once",
        bool(runs) and not double,
        f"{len(runs)} ran, {double} more than once",
    )


def _check_leaving_upstream(observations: Observations) -> Guarantee:
    begin_s = observations.actions.at_s_by_name["upstream leaves"]
    runs = observations.fleet.engines[observations.leaving_engine].runs
    last_s = _last_run_after_s(runs, begin_s, float("inf"))
    return Guarantee(
        "a leaving upstream gets no new work after 3 s",
        last_s <= _LEAVE_BOUND_S,
        f"last new work {last_s:.2f} s after the host list said so",
    )


def _check_shutdown(observations: Observations) -> Guarantee:
    begin_s = observations.actions.at_s_by_name["node stops"]
    end_s = observations.actions.at_s_by_name["node stopped"]
    cut = [each for each in observations.outcomes if each.reply is None]
    return Guarantee(
        "a graceful shutdown cuts no request",
        not cut,
        f"{len(cut)} cut, {end_s - begin_s:.2f} s to stop",
    )


def _check_configuration(observations: Observations) -> Guarantee:
    actions = observations.actions
    is_held = (
        actions.is_applied_everywhere
        and not actions.reverts
        and actions.longest_apply_s <= _CONFIGURATION_BOUND_S
    )
    return Guarantee(
        "a configuration is in force everywhere and never reverts",
        is_held,
        f"{actions.longest_apply_s:.2f} s at most, {actions.reverts} reverts",
    )


_CHECKS: tuple[Callable[[Observations], Guarantee], ...] = (
    _check_allowed_versions,
    _check_withdrawal,
    _check_sessions,
    _check_bills,
    _check_cold_upstreams,
    _check_zone_out,
    _check_whole_answers,
    _check_refusals,
    _check_at_most_once,
    _check_leaving_upstream,
    _check_shutdown,
    _check_configuration,
)


def check_all(observations: Observations) -> list[Guarantee]:
    """Returns each guarantee and whether it held."""
    return [check(observations) for check in _CHECKS]
