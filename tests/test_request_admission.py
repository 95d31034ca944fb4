"""Admission of requests to model services under load, without a network.

Each test names the load that it guards against.
"""

import contextlib
import math
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from lycheegw.coordination.load import fair_shares
from lycheegw.coordination.load import head_estimates
from lycheegw.coordination.load import request_admission
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import wait_queues
from lycheegw.state import forwarded_requests
from lycheegw.state import routing
from tests import fakes
from tests import load_nodes

ROUTE = fakes.STREAM_ROUTE._replace(models=("small", "large"))


def _head(
    wait_s: float, prefill_s: float = 0.3, spread: float = 0.3
) -> head_estimates.HeadEstimate:
    return head_estimates.HeadEstimate(wait_s, wait_s + prefill_s, spread)


def _facts(wait_s: float, **changes: Any) -> request_admission.Facts:
    facts = request_admission.Facts(
        _head(wait_s), 1.0, 4.0, 20.0, math.inf, 1.0
    )
    return facts._replace(**changes)


def _work(tokens: int) -> forwarded_requests.ForwardedWork:
    incoming = forwarded_requests.IncomingRequest(
        b"POST", b"/", (), b"", 0.0, True
    )
    traits = forwarded_requests.RequestTraits(
        "r", "h", "/", None, 12.0, "*", True, (), tokens, 100, None, None
    )
    return forwarded_requests.ForwardedWork(incoming, traits, ROUTE)


# Load: room for everybody.
def test_requests_are_sent_while_waits_are_short() -> None:
    decision = request_admission.judge(_facts(0.1, bearable_s=0.75))
    assert decision.verdict is request_admission.Verdict.SEND
    assert decision.reason is request_admission.Reason.ROOM


# Load: more requests than upstreams bear, of all priorities.
def test_less_urgent_requests_are_held_while_urgent_ones_lack_room() -> None:
    urgent = request_admission.judge(_facts(2.0))
    less_urgent = request_admission.judge(_facts(2.0, bearable_s=0.75))
    assert urgent.verdict is request_admission.Verdict.SEND
    assert urgent.reason is request_admission.Reason.URGENT
    assert less_urgent.verdict is request_admission.Verdict.HOLD
    assert less_urgent.reason is request_admission.Reason.LESS_URGENT


# Load: overload without an end; the least urgent kind must not starve.
@pytest.mark.parametrize("target_left_s", [2.5, 4.0, 15.0])
def test_held_request_is_sent_in_the_end(target_left_s: float) -> None:
    held_s, poll_s = 0.0, 0.05
    while True:
        decision = request_admission.judge(
            _facts(
                1.2,
                bearable_s=0.75,
                target_left_s=target_left_s - held_s,
                held_s=held_s,
            )
        )
        if decision.verdict is not request_admission.Verdict.HOLD:
            break
        held_s += poll_s
    assert decision.reason is request_admission.Reason.NO_SLACK
    assert held_s <= 1.0 + 2 * poll_s
    # It isn't late by the time for which it was held.
    assert target_left_s - held_s >= _head(1.2).expected_s


# Load: requests that reach an upstream shortly before their time limit, take
# room from others and are cut off.
def test_request_that_cannot_end_in_time_is_refused_at_once() -> None:
    decision = request_admission.judge(_facts(6.0, left_s=3.0))
    assert decision.verdict is request_admission.Verdict.REFUSE
    assert 0 < decision.retry_after_s <= 1.0


# Load: a long prompt of an unknown size while nothing waits.
def test_estimate_alone_refuses_nothing_while_upstreams_are_free() -> None:
    facts = _facts(0.0, head=_head(0.0, prefill_s=60.0), left_s=10.0)
    decision = request_admission.judge(facts)
    assert decision.verdict is request_admission.Verdict.SEND


# Load: clients whose own time limit is shorter than the target of the route.
def test_short_time_limit_bounds_the_time_of_a_hold() -> None:
    facts = _facts(
        1.2, bearable_s=0.75, own_bearable_s=3.75, target_left_s=15.0
    )
    decision = request_admission.judge(facts._replace(left_s=5.0))
    assert decision.verdict is request_admission.Verdict.HOLD
    assert decision.hold_s <= 5.0 - facts.rest_s - facts.head.late_s
    decision = request_admission.judge(facts._replace(left_s=2.0))
    assert decision.verdict is request_admission.Verdict.SEND


# Guards against a refusal that promises "not run" after a run.
def test_request_that_may_have_run_is_never_refused() -> None:
    decision = request_admission.judge(
        _facts(6.0, left_s=3.0, may_refuse=False)
    )
    assert decision.verdict is request_admission.Verdict.SEND


# Load: estimates that are far off; only a wait that is certain refuses.
def test_uncertain_estimate_refuses_later_than_a_certain_one() -> None:
    verdicts = [
        request_admission.judge(
            _facts(0.0, head=_head(6.0, spread=spread), left_s=4.0)
        ).verdict
        for spread in (0.3, 0.7)
    ]
    assert verdicts == [
        request_admission.Verdict.REFUSE,
        request_admission.Verdict.SEND,
    ]


@hypothesis.given(
    wait_s=strategies.floats(0, 100),
    target_left_s=strategies.floats(-20, 20),
    left_s=strategies.floats(0.001, 60),
    held_s=strategies.floats(0, 20),
)
def test_any_facts_give_a_usable_decision(
    wait_s: float, target_left_s: float, left_s: float, held_s: float
) -> None:
    decision = request_admission.judge(
        _facts(
            wait_s,
            bearable_s=0.5,
            target_left_s=target_left_s,
            left_s=left_s,
            held_s=held_s,
        )
    )
    assert decision.retry_after_s <= left_s / 3
    if decision.verdict is request_admission.Verdict.HOLD:
        assert 0 < decision.hold_s <= 1.0
        # A held request can still end within its time limit.
        assert decision.hold_s < left_s


# Load: one organisation sends many times its usual.
def test_organisation_over_its_share_gives_way_while_room_is_short() -> None:
    reasons = [
        request_admission.judge(
            _facts(wait_s, is_over_share=is_over_share)
        ).reason
        for wait_s in (0.2, 2.0)
        for is_over_share in (False, True)
    ]
    assert reasons == [
        request_admission.Reason.ROOM,
        request_admission.Reason.ROOM,
        request_admission.Reason.URGENT,
        request_admission.Reason.OVER_SHARE,
    ]


def test_share_is_exceeded_by_many_times_the_others_work() -> None:
    seconds_by_organisation = {"a": 9.0, "b": 1.0, "c": 2.0, "d": 0.5}
    assert fair_shares.is_over_share("a", seconds_by_organisation)
    assert not fair_shares.is_over_share("c", seconds_by_organisation)
    assert not fair_shares.is_over_share("idle", seconds_by_organisation)
    # Few organisations, and few requests, are no sample.
    assert not fair_shares.is_over_share("a", {"a": 9.0, "b": 0.1})
    less = {name: s / 10 for name, s in seconds_by_organisation.items()}
    assert not fair_shares.is_over_share("a", less)


def test_outstanding_work_ends_with_its_requests() -> None:
    (node,) = load_nodes.nodes(fakes.ManualClock(), 1, 2)
    work = node.backlogs
    with (
        contextlib.suppress(ConnectionError),
        work.track("u0", 0.5, "m", "a"),
        work.track("u1", 0.2, "m", "b"),
    ):
        assert work.organisations("m") == {"a": 0.5, "b": 0.2}
        raise ConnectionError
    assert not work.organisations("m")


# Load: prompts of all priorities and sizes at one upstream.
def test_urgency_follows_the_priority_then_the_size() -> None:
    def level(
        model: str, rank: int | None, tokens: int = 9000, **changes: Any
    ) -> int:
        facts = _facts(0.1, **changes)
        found = request_admission.urgency(_work(tokens), model, rank, facts)
        assert found is not None
        return found

    assert level("small", None) == 2
    assert [level("large", None, n) for n in (900, 9000, 30000)] == [5, 6, 7]
    ranks = [level("large", rank) for rank in (0, 1, 2, 9)]
    assert ranks == sorted(ranks) and ranks[0] < ranks[1] < ranks[2]
    assert level("small", 0) < level("small", 1) < ranks[0]
    worst = max(level("large", 9, 30000), ranks[-1])
    over_share = level("large", 0, is_over_share=True)
    late = level("large", 0, target_left_s=0.0)
    assert worst < over_share < late <= 9
    assert level("small", 0, target_left_s=0.0) == late


# Load: held requests of one priority, one of which has less time than others.
def test_held_requests_go_by_priority_then_by_the_time_they_have() -> None:
    queues = wait_queues.WaitQueues()
    with (
        queues.wait("m", 1, 30.0) as patient,
        queues.wait("m", 1, 12.0) as hasty,
        queues.wait("m", 2, 11.0) as less_urgent,
    ):
        order = sorted([patient, hasty, less_urgent])
        assert order == [hasty, patient, less_urgent]
        assert queues.may_proceed("m", 1, hasty)
        assert not queues.may_proceed("m", 1, patient)


# Load: upstreams that pass short prompts before the work that was counted.
def test_estimates_learn_which_part_of_a_wait_is_real() -> None:
    estimates = head_estimates.HeadEstimates()
    before = estimates.estimate("m", "small", 6.0, 0.2)
    for _ in range(10):
        estimates.note("m", "small", 6.0, 0.2, 0.8)
    after = estimates.estimate("m", "small", 6.0, 0.2)
    assert before.expected_s > 6
    assert after.expected_s == pytest.approx(0.8, rel=0.5)
    assert after.early_s < 0.8 < after.late_s
    # Other models are learnt apart.
    assert estimates.estimate("m", "large", 6.0, 0.2) == before


# Load: waits that change from one request to the next.
def test_spread_of_estimates_grows_with_their_errors() -> None:
    spreads = []
    for heads_s in ([1.0, 1.0], [0.2, 5.0]):
        estimates = head_estimates.HeadEstimates()
        for number in range(40):
            estimates.note("m", "large", 1.0, 0.3, heads_s[number % 2])
        spreads.append(estimates.estimate("m", "large", 1.0, 0.3).spread)
    assert spreads[0] < 0.7 < spreads[1]


@hypothesis.given(
    wait_s=strategies.floats(0, 1000),
    prefill_s=strategies.floats(0, 100),
    actual_s=strategies.floats(0, 1000),
    seconds=strategies.floats(-10, 1000),
)
def test_estimates_stay_finite(
    wait_s: float, prefill_s: float, actual_s: float, seconds: float
) -> None:
    estimates = head_estimates.HeadEstimates()
    for _ in range(5):
        estimates.note("m", None, wait_s, prefill_s, actual_s)
    head = estimates.estimate("m", None, wait_s, prefill_s)
    assert 0 <= head.early_s <= head.expected_s <= head.late_s < math.inf
    assert 0 <= head.chance_within(seconds) <= 1


# Load: organisations of one priority, whose routes differ; without the second
# key, all of their requests would have one rank.
def test_routes_order_the_requests_of_organisations_of_one_priority() -> None:
    clock = fakes.ManualClock()
    directory: Any = mock.Mock()
    directory.manifest = routing.Manifest(
        1,
        routing.index_routes(
            ROUTE._replace(prefix=f"/{priority}/", priority=priority)
            for priority in range(3)
        ),
        {},
        {"key": routing.Organisation("a", 1)},
        routing.CallerLimits(),
    )
    admission = request_admission.RequestAdmission(
        fakes.node(clock, "n"),
        directory,
        response_times.ResponseTimes(),
        lambda _: {},
    )
    choice: Any = mock.Mock(wait_s=5.0, prefill_s=0.3)
    verdicts = []
    for priority in range(3):
        accepted: Any = mock.Mock()
        accepted.request.priority = 1
        accepted.request.deadline_s = clock.now_s + 60
        accepted.service.name = "m"
        accepted.work = _work(900)._replace(
            route=ROUTE._replace(priority=priority, target_latency_s=40.0)
        )
        accepted.progress.model = "small"
        accepted.progress.held_answer = None
        passed = accepted.work.incoming._replace(received_s=clock.now_s)
        accepted.work = accepted.work._replace(incoming=passed)
        assert admission.position(accepted) == priority
        verdicts.append(admission.judge(accepted, choice).verdict)
    assert verdicts == [
        request_admission.Verdict.SEND,
        request_admission.Verdict.HOLD,
        request_admission.Verdict.HOLD,
    ]
