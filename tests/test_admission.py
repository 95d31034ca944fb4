"""Admission control: fair shares by organisation and kind, early refusals."""

import asyncio

from lycheegw.coordination.load import admission
from lycheegw.coordination.load import capacity
from lycheegw.coordination.load import fair_queue
from lycheegw.state import errors
from lycheegw.state import node_state
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import verdicts
from tests import fakes


def make_request(
    state: node_state.NodeState,
    organisation: str = "o",
    kind: str = "k",
    tokens: int = 10,
    remaining_s: float = 100.0,
    priority: int = 5,
) -> requests.Request:
    """Returns a model call with `remaining_s` until its deadline."""
    return requests.Request(
        state.environment.new_id(),
        organisation,
        kind,
        requests.ModelWork("m", None, (), tokens, False, None),
        None,
        None,
        state.environment.monotonic_s() + remaining_s,
        priority,
        None,
        True,
        "",
    )


def make_ticket(
    number: int,
    organisation: str,
    kind: str = "k",
    cost: float = 10,
    priority: int = 5,
    weight: float = 1.0,
) -> fair_queue.Ticket:
    """Returns a ticket without a deadline."""
    return fair_queue.Ticket(
        number, organisation, weight, kind, priority, cost, float(number)
    )


def test_flood_does_not_starve_a_small_organisation() -> None:
    queue = fair_queue.FairQueue()
    for number in range(100):
        queue.put(make_ticket(number, "large", priority=0))
    for number in range(100, 110):
        queue.put(make_ticket(number, "small", priority=9))
    first = [queue.pop().organisation for _ in range(20)]
    assert first.count("small") == 10
    assert queue.shed_candidate().organisation == "large"


def test_weights_and_kinds_share_tokens_not_requests() -> None:
    queue = fair_queue.FairQueue()
    for number in range(300):
        queue.put(make_ticket(number, "heavy", weight=3.0))
        queue.put(make_ticket(number + 1000, "light", "long", cost=50))
        queue.put(make_ticket(number + 2000, "light", "short", cost=5))
    tokens: dict[tuple[str, str], float] = {}
    for _ in range(200):
        taken = queue.pop()
        key = taken.organisation, taken.kind
        tokens[key] = tokens.get(key, 0.0) + taken.cost
    light = tokens["light", "long"] + tokens["light", "short"]
    assert 2.5 < tokens["heavy", "k"] / light < 3.5
    assert 0.7 < tokens["light", "short"] / tokens["light", "long"] < 1.4


def run(coroutine: object) -> None:
    """Runs a test's coroutine."""
    asyncio.run(coroutine)  # type: ignore[arg-type]


async def hold_admission(
    control: admission.Admission,
    request: requests.Request,
    finished: asyncio.Event,
) -> None:
    """Runs an admitted request until `finished` is set."""
    async with control.enter(request):
        await finished.wait()


async def settle() -> None:
    """Lets all tasks run until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    async def main() -> None:
        clock = fakes.ManualClock()
        state = fakes.node(clock, "n")
        control = admission.Admission(state, lambda pool: 1)
        finished = asyncio.Event()
        first = asyncio.create_task(
            hold_admission(control, make_request(state), finished)
        )
        await settle()
        clock.now_s += 10
        finished.set()
        await first
        # The expected duration of a request is now 10 s.
        finished = asyncio.Event()
        running = [
            asyncio.create_task(
                hold_admission(control, make_request(state), finished)
            )
            for _ in range(3)
        ]
        await settle()
        try:
            async with control.enter(
                make_request(state, remaining_s=25.0, priority=9)
            ):
                raise AssertionError("would end after 30 s, two are queued")
        except errors.RefusalError as refusal:
            assert refusal.reason is reasons.RefusalReason.DEADLINE_TOO_SHORT
            assert refusal.verdict is verdicts.RunVerdict.NOT_RUN
            assert refusal.retry_after_s == 20.0
        finished.set()
        await asyncio.gather(*running)
        assert control.running == 0

    run(main())


def test_full_queue_sheds_the_flood_and_frees_its_capacity() -> None:
    async def main() -> None:
        clock = fakes.ManualClock()
        state = fakes.node(clock, "n", queue_requests=4)
        control = admission.Admission(state, lambda pool: 1)
        finished = asyncio.Event()
        flood = [
            asyncio.create_task(
                hold_admission(control, make_request(state, "large"), finished)
            )
            for _ in range(5)
        ]
        await settle()
        small = asyncio.create_task(
            hold_admission(control, make_request(state, "small"), finished)
        )
        await settle()
        shed = [each for each in flood if each.done()]
        assert len(shed) == 1 and not small.done()
        error = shed[0].exception()
        assert isinstance(error, errors.RefusalError)
        assert error.reason is reasons.RefusalReason.QUEUE_FULL
        flood[1].cancel()
        await settle()
        finished.set()
        await asyncio.gather(small, *flood, return_exceptions=True)
        assert control.running == 0

    run(main())


def test_reported_queue_limits_a_node_to_its_part_of_the_capacity() -> None:
    clock = fakes.ManualClock()
    state = fakes.node(clock, "n")
    upstream = fakes.add_upstream(state, "u")
    limits = capacity.CapacityEstimator(state, lambda zone: ["n", "m"])
    upstream.report = fakes.load_report(clock, 0.0, running=64)
    assert limits.limit("m") == 35
    clock.now_s += 1
    upstream.report = fakes.load_report(clock, 0.0, running=20, queued=9)
    assert limits.limit("m") == 11
