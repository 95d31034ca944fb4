"""Checks the router's guarantees on what callers and upstreams observed."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import NamedTuple

from lycheegw.measure import deployments
from lycheegw.measure import rig
from lycheegw.measure import traffic
from lycheegw.standins import base

__all__ = ["Evidence", "Moves", "Promise", "check_all"]

_LEAVE_BOUND_S = 3.0
_CONFIGURATION_BOUND_S = 14.0
_SAMPLE_INTERVAL_S = 0.05


class Promise(NamedTuple):
    """A guarantee of the router and whether it held."""

    name: str
    is_held: bool
    detail: str


class Moves:
    """Performs and times operators' actions, and samples the nodes' offsets.

    Attributes:
        at_s_by_name: Monotonic time of each action.
        reverts: Samples in which a node's offset was lower than before.
        spread_s: Longest time from a publication until all nodes applied it.
    """

    def __init__(self, fleet: rig.Fleet):
        self._fleet = fleet
        self._offset_by_node: dict[str, int] = {}
        self._published_s_by_offset: dict[int, float] = {}
        self.at_s_by_name: dict[str, float] = {}
        self.reverts = 0
        self.spread_s = 0.0

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
            self.spread_s = max(self.spread_s, waited_s)

    @property
    def is_in_force(self) -> bool:
        """Whether every node has applied all published records."""
        self._sample()
        return not self._published_s_by_offset


class Evidence(NamedTuple):
    """Everything that the checks evaluate."""

    fleet: rig.Fleet
    deployment: deployments.Deployment
    outcomes: list[traffic.Outcome]
    moves: Moves
    left_engine: str


def _engine_runs(evidence: Evidence) -> Iterable[base.Run]:
    for standin in evidence.fleet.engines.values():
        yield from standin.runs


def _service_runs(evidence: Evidence) -> Iterable[base.Run]:
    for standin in evidence.fleet.services.values():
        yield from standin.runs


def _last_run_after_s(
    runs: Iterable[base.Run], begin_s: float, end_s: float
) -> float:
    """Returns when the last run of a window began, after the window's begin.

    0 if no run began in it.
    """
    inside = [run.at_s for run in runs if begin_s <= run.at_s < end_s]
    return max(inside, default=begin_s) - begin_s


def _check_allowed_versions(evidence: Evidence) -> Promise:
    allowed = set(deployments.ALLOWED_VERSIONS)
    wrong = [run for run in _engine_runs(evidence) if run.what not in allowed]
    return Promise(
        "runs only on allowed versions", not wrong, f"{len(wrong)} other runs"
    )


def _check_withdrawal(evidence: Evidence) -> Promise:
    begin_s = evidence.moves.at_s_by_name["withdrawal"]
    runs = [run for run in _engine_runs(evidence) if run.what == "full-2"]
    last_s = _last_run_after_s(runs, begin_s, float("inf"))
    return Promise(
        "a withdrawn version gets no new work",
        last_s <= _CONFIGURATION_BOUND_S,
        f"last new work {last_s:.2f} s after publication",
    )


def _check_sessions(evidence: Evidence) -> Promise:
    version_by_session: dict[str, str] = {}
    changed = 0
    for outcome in evidence.outcomes:
        if not outcome.is_answer or outcome.session is None:
            continue
        assert outcome.reply is not None
        headers = outcome.reply.header_by_name
        version = headers["x-model-version"]
        kept = version_by_session.setdefault(outcome.session, version)
        if kept != version and "x-session-moved" not in headers:
            changed += 1
        version_by_session[outcome.session] = version
    return Promise(
        "a session keeps its version",
        not changed,
        f"{len(version_by_session)} sessions, {changed} changed without notice",
    )


def _check_bills(evidence: Evidence) -> Promise:
    bills = collections.Counter(
        traffic.original_id(request_id)
        for request_id in evidence.fleet.billed_request_ids()
    )
    answered = {
        outcome.request_id for outcome in evidence.outcomes if outcome.is_answer
    }
    refused = {
        outcome.request_id
        for outcome in evidence.outcomes
        if outcome.reply is not None
        and outcome.reply.header_by_name.get("x-run") == "not_run"
    }
    missing = len(answered - set(bills))
    double = sum(count > 1 for count in bills.values())
    wrong = len(refused & set(bills))
    return Promise(
        "each request is billed once",
        bool(bills) and not missing and not double and not wrong,
        f"{len(bills)} bills, {missing} missing, {double} double,"
        f" {wrong} for refusals",
    )


def _check_cold_upstreams(evidence: Evidence) -> Promise:
    falls = sum(each.falls for each in evidence.fleet.engines.values())
    peak = max(each.peak_cold for each in evidence.fleet.engines.values())
    return Promise(
        "a cold upstream gets no more than its limit",
        not falls,
        f"{falls} crashed, at most {peak} at once on a cold one",
    )


def _check_zone_out(evidence: Evidence) -> Promise:
    at_s = evidence.moves.at_s_by_name
    zone = evidence.deployment.zones[0]
    runs = [
        run
        for host_id, standin in evidence.fleet.standins().items()
        if evidence.fleet.hosts.host_by_id[host_id]["zone"] == zone
        for run in standin.runs
    ]
    last_s = _last_run_after_s(runs, at_s["zone out"], at_s["zone back"])
    return Promise(
        "a zone taken out gets no new work after 3 s",
        last_s <= _LEAVE_BOUND_S,
        f"last new work {last_s:.2f} s after publication",
    )


def _check_whole_answers(evidence: Evidence) -> Promise:
    broken = [
        outcome.request_id
        for outcome in evidence.outcomes
        if not outcome.is_answer and not outcome.refusal
    ]
    return Promise(
        "a caller gets the whole answer to its own request",
        not broken,
        f"{len(broken)} broken {broken[:3]}",
    )


def _check_refusals(evidence: Evidence) -> Promise:
    ran = {run.request_id for run in _engine_runs(evidence)}
    ran |= {run.request_id for run in _service_runs(evidence)}
    false_refusals = [
        outcome.request_id
        for outcome in evidence.outcomes
        if outcome.reply is not None
        and outcome.reply.header_by_name.get("x-run") == "not_run"
        and outcome.request_id in ran
    ]
    return Promise(
        'a refusal that says "not run" is true',
        not false_refusals,
        f"{len(false_refusals)} false {false_refusals[:3]}",
    )


def _check_at_most_once(evidence: Evidence) -> Promise:
    runs = collections.Counter(
        run.key
        for run in _service_runs(evidence)
        if not evidence.deployment.operations[run.what]
    )
    double = sum(count > 1 for count in runs.values())
    return Promise(
        "a non-idempotent request runs at most once",
        bool(runs) and not double,
        f"{len(runs)} ran, {double} more than once",
    )


def _check_leaving_upstream(evidence: Evidence) -> Promise:
    begin_s = evidence.moves.at_s_by_name["upstream leaves"]
    runs = evidence.fleet.engines[evidence.left_engine].runs
    last_s = _last_run_after_s(runs, begin_s, float("inf"))
    return Promise(
        "a leaving upstream gets no new work after 3 s",
        last_s <= _LEAVE_BOUND_S,
        f"last new work {last_s:.2f} s after the host list said so",
    )


def _check_shutdown(evidence: Evidence) -> Promise:
    begin_s = evidence.moves.at_s_by_name["node stops"]
    end_s = evidence.moves.at_s_by_name["node stopped"]
    cut = [each for each in evidence.outcomes if each.reply is None]
    return Promise(
        "a graceful shutdown cuts no request",
        not cut,
        f"{len(cut)} cut, {end_s - begin_s:.2f} s to stop",
    )


def _check_configuration(evidence: Evidence) -> Promise:
    moves = evidence.moves
    is_held = (
        moves.is_in_force
        and not moves.reverts
        and moves.spread_s <= _CONFIGURATION_BOUND_S
    )
    return Promise(
        "a configuration is in force everywhere and never reverts",
        is_held,
        f"{moves.spread_s:.2f} s at most, {moves.reverts} reverts",
    )


_CHECKS: tuple[Callable[[Evidence], Promise], ...] = (
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


def check_all(evidence: Evidence) -> list[Promise]:
    """Returns each guarantee and whether it held."""
    return [check(evidence) for check in _CHECKS]
