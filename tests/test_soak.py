"""The soak's checker finds each kind of violation; a short soak finds none."""

import asyncio
import os
import pathlib
import resource
import signal

import pytest

from tests.platform import fleet_harness
from tests.platform import platform_standins
from tests.soak import checker
from tests.soak import faulty_responses
from tests.soak import processes
from tests.soak import schedule
from tests.soak import world

BOUNDS = checker.Bounds()
NODE = "node-0"


def _record(
    arrivals: int = 1,
    status: int | None = 200,
    signature: str = "sig-desk-0",
    is_unsafe: bool = True,
) -> checker.Record:
    """Returns a record of one request, sent at 10 s by a key in force."""
    record = checker.Record()
    record.sent_by_id["a1"] = checker.Sent(NODE, is_unsafe, "key-1", 10.0)
    record.key_added_s["key-1"] = 0.0
    for number in range(arrivals):
        record.arrivals.append(checker.Arrival("a1", f"desk-{number}", 10.1))
    record.ended_by_id["a1"] = checker.Ended(
        status, b"desk-0 ran a1", signature, 10.2
    )
    return record


def _broken_rules(record: checker.Record) -> list[str]:
    return [each.rule for each in checker.check(record, BOUNDS)]


def test_request_that_keeps_the_rules_is_no_violation() -> None:
    assert not _broken_rules(_record())


def test_arrival_after_the_drain_bound_is_found() -> None:
    record = _record()
    record.left_s["desk-0"] = 10.1 - BOUNDS.drain_s - 0.01
    assert _broken_rules(record) == ["DRAIN"]
    record.left_s["desk-0"] = 10.1 - BOUNDS.drain_s + 0.01
    assert not _broken_rules(record)


@pytest.mark.parametrize("node", [NODE, ""])
def test_disturbance_excuses_a_late_arrival_until_it_is_dropped(
    node: str,
) -> None:
    record = _record()
    record.left_s["desk-0"] = 7.0
    record.disturbances.append(checker.Disturbance(node, "freeze", 7.5, 8.0))
    assert not _broken_rules(record)
    checker.drop_disturbances(record, "freeze")
    assert _broken_rules(record) == ["DRAIN"]


def test_disturbance_of_another_node_excuses_nothing() -> None:
    record = _record()
    record.left_s["desk-0"] = 7.0
    record.disturbances.append(checker.Disturbance("node-1", "kill", 7.5, 8.0))
    assert _broken_rules(record) == ["DRAIN"]


def test_run_by_a_removed_key_is_found() -> None:
    record = _record()
    record.key_removed_s["key-1"] = 10.0 - BOUNDS.config_apply_s - 0.01
    assert _broken_rules(record) == ["CONFIG"]


def test_second_run_of_an_unsafe_request_is_found() -> None:
    assert _broken_rules(_record(arrivals=2)) == ["TWICE"]
    assert not _broken_rules(_record(arrivals=2, is_unsafe=False))


def test_refusal_of_a_request_that_ran_is_found() -> None:
    assert _broken_rules(_record(status=503)) == ["REFUSED"]
    assert not _broken_rules(_record(status=503, arrivals=0))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize(
    ("is_unsafe", "rule"), [(True, "REFUSED"), (False, "PROMISE")]
)
@pytest.mark.parametrize("run_s", [10.1, 10.3])
def test_promise_before_or_after_a_run_is_found(
    status: int, is_unsafe: bool, rule: str, run_s: float
) -> None:
    record = _record(status=status, is_unsafe=is_unsafe)
    record.arrivals[0] = checker.Arrival("a1", "desk-0", run_s)
    record.answered.add(("a1", "desk-0"))
    record.faulty_responses.append(
        checker.FaultyResponse(
            "a1", "desk-0", "grey_failures", "503 without the mark", True, run_s
        )
    )
    (violation,) = checker.check(record, BOUNDS)
    assert violation.rule == rule
    assert "answers whole" in violation.text
    assert "503 without the mark" in violation.text
    assert ("after the end" in violation.text) == (run_s > 10.2)


@pytest.mark.parametrize("status", [500, 502, 504, None])
def test_failure_of_a_request_that_ran_is_no_promise(
    status: int | None,
) -> None:
    assert not _broken_rules(_record(status=status))


def test_process_that_ends_by_itself_is_found() -> None:
    record = _record()
    record.exits.append(checker.Exit(NODE, -9, 10.0))
    assert _broken_rules(record) == ["LOST"]


@pytest.mark.parametrize(
    ("number", "status", "was_stopped"),
    [
        (None, -signal.SIGKILL, False),
        (None, 0, False),
        (signal.SIGCONT, 1, False),
        (signal.SIGTERM, 0, True),
        (signal.SIGTERM, 1, False),
        (signal.SIGTERM, -signal.SIGKILL, False),
        (signal.SIGKILL, -signal.SIGKILL, True),
    ],
)
async def test_only_an_end_by_a_signal_of_the_soak_was_asked_for(
    number: int | None, status: int, was_stopped: bool, tmp_path: pathlib.Path
) -> None:
    node = processes.Node(1, "127.1.1", tmp_path)
    node.process = await asyncio.create_subprocess_exec("sleep", "9")
    if number is not None:
        node.send_signal(number)
    assert node.was_stopped(node.process.pid, status) == was_stopped
    node.send_signal(signal.SIGKILL)
    await node.wait()


def test_process_with_more_memory_than_its_settings_allow_is_found() -> None:
    record = _record()
    record.memory_mb = 150
    peak = checker.MemoryPeak(NODE, 7, 149.9, 10.0)
    record.peak_by_pid[7] = peak
    assert not _broken_rules(record)
    record.peak_by_pid[7] = peak._replace(peak_mb=150.1)
    assert _broken_rules(record) == ["MEMORY"]


def test_peak_of_memory_is_that_of_the_process() -> None:
    peak_mb = processes.peak_memory_mb(os.getpid())
    rusage = resource.getrusage(resource.RUSAGE_SELF)
    assert peak_mb == pytest.approx(rusage.ru_maxrss * 1024 / 1e6, rel=0.1)
    data = bytearray(200_000_000)
    assert processes.peak_memory_mb(os.getpid()) > len(data) / 1e6


@pytest.mark.parametrize(("count", "is_broken"), [(5, False), (6, True)])
def test_rejected_requests_that_no_other_upstream_gets_are_found(
    count: int, is_broken: bool
) -> None:
    record = _offers(count, 0.1)
    for number in range(count):
        attempt_id = f"e{number}"
        record.faulty_responses.append(
            checker.FaultyResponse(
                attempt_id, "desk-0", "true_rejections", "503", False, 20.0
            )
        )
        record.ended_by_id[attempt_id] = checker.Ended(503, b"", "", 21.0)
    assert ("REJECTED" in _broken_rules(record)) == is_broken
    record.offers.append(checker.Arrival("e0", "desk-1", 20.5))
    assert "REJECTED" not in _broken_rules(record)


def _faulty_responses() -> list[tuple[str, platform_standins.FaultyResponse]]:
    return [
        (kind, response)
        for kind, responses in faulty_responses.BY_KIND.items()
        for response in responses
    ]


@pytest.mark.parametrize("target", ["/book/1", "/ask/1"])
@pytest.mark.parametrize(
    ("kind", "response"),
    [
        pytest.param(kind, response, id=response.name)
        for kind, response in _faulty_responses()
    ],
)
async def test_faulty_response_is_sent_and_its_run_recorded(
    kind: str, response: platform_standins.FaultyResponse, target: str
) -> None:
    seen: list[platform_standins.ReceivedRequest] = []
    upstream = platform_standins.Upstream("desk-0", seen)
    upstream.choose_fault = lambda _: response
    await upstream.start()
    reader, writer = await asyncio.open_connection(
        *upstream.address.rsplit(":", 1)
    )
    writer.write(
        f"POST {target} HTTP/1.1\r\nHost: {platform_standins.HOST}\r\n"
        "X-Lycheegw-Attempt-Id: a1\r\nContent-Length: 0\r\n"
        "X-Lycheegw-Expected-Instance: desk-0\r\n\r\n".encode()
    )
    try:
        async with asyncio.timeout(5.0):
            if kind == "endless_responses":
                received = await reader.readexactly(4 * 1024 * 1024)
            else:
                received = await reader.readuntil(b"\r\n\r\n")
                received += await reader.read(65536)
            await fleet_harness.wait_until(
                lambda: (
                    not response.is_answer or upstream.answered_ids == {"a1"}
                )
            )
    finally:
        writer.close()
        await upstream.stop()
    assert len(seen) == response.has_run
    assert bool(upstream.answered_ids) == response.is_answer
    is_marked = "mark" in response.name and not any(
        each in response.name for each in ("without the mark", "mark 0")
    )
    assert (b"Not-Executed: 1" in received) == (
        is_marked or "rejection" in response.name
    )


def test_answer_of_another_upstream_is_found() -> None:
    assert _broken_rules(_record(signature="sig-desk-9")) == ["MIXED"]


def test_denied_requests_beyond_a_few_are_found() -> None:
    record = checker.Record()
    record.key_added_s["key-1"] = 0.0
    for number in range(6):
        sent = checker.Sent(NODE, False, "key-1", 10.0)
        record.sent_by_id[f"a{number}"] = sent
        record.ended_by_id[f"a{number}"] = checker.Ended(401, b"", "", 10.1)
    assert _broken_rules(record) == ["DENIED"] * 6


def test_denial_after_a_node_let_a_key_in_is_found() -> None:
    record = _record()
    record.sent_by_id["a2"] = checker.Sent(NODE, False, "key-1", 10.4)
    record.ended_by_id["a2"] = checker.Ended(401, b"", "", 10.5)
    assert _broken_rules(record) == ["CONFIG"]
    restart = checker.Disturbance(NODE, "kill", 10.2, 10.3)
    record.disturbances.append(restart)
    assert not _broken_rules(record)


def test_arrival_in_a_zone_closed_for_long_is_found() -> None:
    record = _record()
    record.zone_by_upstream["desk-0"] = "z-b"
    closed_s = 10.1 - BOUNDS.evacuate_s - 0.01
    record.closures.append(checker.Closure("z-b", closed_s, 20.0))
    assert _broken_rules(record) == ["EVAC"]
    record.closures[0] = checker.Closure("z-b", closed_s, 10.0)
    assert not _broken_rules(record)


@pytest.mark.parametrize(("count", "is_broken"), [(17, False), (18, True)])
def test_cold_upstream_with_too_many_requests_is_found(
    count: int, is_broken: bool
) -> None:
    record = _record(arrivals=0, status=None)
    record.cold_until_s["llm-1"] = 12.0
    for number in range(count):
        sent = checker.Sent(NODE, False, "key-1", 10.0)
        record.sent_by_id[f"b{number}"] = sent
        record.arrivals.append(
            checker.Arrival(f"b{number}", "llm-1", 10.0 + 0.05 * number)
        )
    assert ("FAILBACK" in _broken_rules(record)) == is_broken


def test_request_lost_at_a_planned_stop_is_found() -> None:
    record = _record(status=None)
    stop = checker.Disturbance(NODE, "terminate", 9.0, 12.0)
    record.disturbances.append(stop)
    assert _broken_rules(record) == ["LOST"]
    freeze = checker.Disturbance(NODE, "freeze", 8.0, 8.5)
    record.disturbances.append(freeze)
    assert not _broken_rules(record)


@pytest.mark.parametrize(
    ("kind", "is_broken"),
    [("endless_responses", False), ("grey_failures", True)],
)
def test_response_without_end_is_not_lost_at_a_stop(
    kind: str, is_broken: bool
) -> None:
    record = _record(status=None)
    record.disturbances.append(
        checker.Disturbance(NODE, "terminate", 9.0, 12.0)
    )
    record.faulty_responses.append(
        checker.FaultyResponse("a1", "desk-0", kind, "200", True, 10.1)
    )
    assert ("LOST" in _broken_rules(record)) == is_broken


def _bad_version_record(count: int, last_s: float) -> checker.Record:
    """Returns a record of requests at a bad version, and one at `last_s`."""
    record = checker.Record()
    bad = checker.BadVersion("llm", frozenset({"llm-bad"}), 5.0, 25.0)
    record.bad_versions.append(bad)
    for number, at_s in enumerate([*[6.0] * count, last_s]):
        record.sent_by_id[f"c{number}"] = checker.Sent(
            NODE, False, "key-1", at_s
        )
        record.arrivals.append(checker.Arrival(f"c{number}", "llm-bad", at_s))
    return record


@pytest.mark.parametrize(("ends_s", "is_broken"), [(11.9, True), (12.1, False)])
def test_request_past_its_time_limit_is_not_lost_at_a_stop(
    ends_s: float, is_broken: bool
) -> None:
    record = _record(status=None, is_unsafe=False)
    record.ended_by_id["a1"] = checker.Ended(None, b"", "", ends_s)
    record.disturbances.append(
        checker.Disturbance(NODE, "terminate", 9.9, 12.5)
    )
    assert ("LOST" in _broken_rules(record)) == is_broken


def test_bad_version_beyond_its_share_is_found() -> None:
    allowed = _bad_version_record(30, 6.0)
    assert not _broken_rules(allowed)
    assert _broken_rules(_bad_version_record(36, 6.0)) == ["EXPOSURE"]


def test_late_roll_back_is_found() -> None:
    record = _bad_version_record(50, 6.0 + BOUNDS.rollback_s + 0.1)
    for number in range(400):
        sent = checker.Sent(NODE, False, "key-1", 7.0)
        record.sent_by_id[f"d{number}"] = sent
        record.arrivals.append(checker.Arrival(f"d{number}", "llm-good", 7.0))
    assert _broken_rules(record) == ["EXPOSURE"]
    del record.arrivals[50]
    assert not _broken_rules(record)


def test_request_after_a_node_passed_on_the_leaving_is_found() -> None:
    record = _record()
    told_s = 10.0 - BOUNDS.drain_s - 0.01
    record.told_s[NODE, "desk-0", "leaving"] = told_s
    assert _broken_rules(record) == ["DRAIN"]
    # The store excuses nothing, a restart of the node does.
    record.disturbances.append(checker.Disturbance("", "busy", told_s, 12.0))
    assert _broken_rules(record) == ["DRAIN"]
    restart = checker.Disturbance(NODE, "kill", told_s + 0.1, told_s + 0.2)
    record.disturbances.append(restart)
    assert not _broken_rules(record)


def _offers(count: int, interval_s: float) -> checker.Record:
    """Returns a record of requests at an upstream from 20 s on."""
    record = checker.Record()
    for number in range(count):
        at_s = 20.0 + interval_s * number
        sent = checker.Sent(NODE, False, "key-1", at_s)
        record.sent_by_id[f"e{number}"] = sent
        record.offers.append(checker.Arrival(f"e{number}", "desk-0", at_s))
    return record


@pytest.mark.parametrize(("count", "is_broken"), [(11, False), (12, True)])
def test_more_requests_than_an_announced_limit_are_found(
    count: int, is_broken: bool
) -> None:
    record = _offers(count, 0.3)
    limit = checker.Limit("desk-0", 1.0, 20.0 - BOUNDS.contact_s, 40.0)
    record.limits.append(limit)
    assert not _broken_rules(record)
    record.told_s[NODE, "desk-0", "limit"] = 20.0 - BOUNDS.told_s
    assert ("LIMIT" in _broken_rules(record)) == is_broken
    record.disturbances.append(checker.Disturbance(NODE, "kill", 19.0, 19.5))
    assert not _broken_rules(record)


@pytest.mark.parametrize(("count", "is_broken"), [(2, False), (3, True)])
def test_requests_in_a_pause_are_found(count: int, is_broken: bool) -> None:
    record = _offers(count, 0.1)
    pause = checker.Pause("desk-0", NODE, 19.99 - BOUNDS.told_s, 25.0)
    record.pauses.append(pause)
    assert ("BUDGET" in _broken_rules(record)) == is_broken


# Guards against a pause that begins when a request came first, which was
# rejected when it came again (seed 24 on 4c4daab).
def test_pause_begins_at_the_rejection(tmp_path: pathlib.Path) -> None:
    soak = world.Soak(1, 20.0, 1, tmp_path)
    soak._started_s = 0.0
    soak.record.sent_by_id["a1"] = checker.Sent(NODE, False, "key-1", 10.0)
    standin = platform_standins.Upstream("desk-0", [])
    standin.received_ids, standin.received_s = ["a1", "a1"], [10.1, 11.1]
    standin.rejected_ids, standin.rejected_s = ["a1"], [11.1]
    proxy = processes.Proxy("")
    soak._upstreams["desk-0"] = world._Upstream("desk", "z-a", standin, proxy)
    soak._record_offers()
    assert [each.at_s for each in soak.record.offers] == [10.1, 11.1]
    assert [each.from_s for each in soak.record.pauses] == [11.1]


@pytest.mark.parametrize(("count", "is_broken"), [(3, False), (4, True)])
def test_requests_with_a_part_that_crashes_upstreams_are_found(
    count: int, is_broken: bool
) -> None:
    record = _record(is_unsafe=False)
    record.crashed_s = [1.0, 2.0, 3.0, 4.0, 5.0, 9.0]
    record.crashing_ids = {"a1"}
    at_s = 5.0 + BOUNDS.contact_s + 0.1
    record.offers = [checker.Arrival("a1", "desk-0", at_s)] * count
    assert ("BUDGET" in _broken_rules(record)) == is_broken
    record.offers = [checker.Arrival("a1", "desk-0", at_s - 0.2)] * count
    assert not _broken_rules(record)


# Guards against a process that outlives its soak: two overlapping restarts each
# started one, and that which bound the ports was forgotten (seed 23, 25 s).
async def test_overlapping_starts_start_one_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[str] = []

    async def start_process(*arguments: str, **_: object) -> object:
        started.append(arguments[-1])
        await asyncio.sleep(0.01)
        return object()

    monkeypatch.setattr(asyncio, "create_subprocess_exec", start_process)
    node = processes.Node(1, "127.1.1", tmp_path)
    await asyncio.gather(node.start(), node.start())
    assert len(started) == 1
    await node.start()
    assert len(started) == 2


def test_schedule_depends_on_the_seed_alone() -> None:
    assert schedule.draw(3, 60.0) == schedule.draw(3, 60.0)
    assert schedule.draw(3, 60.0) != schedule.draw(4, 60.0)


@pytest.mark.parametrize("seed", [1, 2, 4, 6])
async def test_short_soak_breaks_no_rule(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """DRAIN, issue 19: nodes freeze, stall and lose the store in drains.

    Seed 1: nodes that woke from a freeze served requests by an outdated list.
    Seed 2 (by hand with 6 nodes, 40 s): a node that was frozen after an outage
    went on as if it lasted.
    Seed 4, issue 55: 503, 429 and 408 of upstreams without the mark were passed
    on. Seed 6, issue 55: rejections that contradict themselves counted as "not
    run", and bodies without end took 341 of 150 MB.
    """
    soak = world.Soak(seed, 20.0, 4, tmp_path)
    await soak.run()
    assert len(soak.record.ended_by_id) > 500
    checker.drop_disturbances(soak.record, "freeze")
    assert checker.check(soak.record, BOUNDS) == []


# Guards against nodes that follow a lost history after the store was restored
# (CONFIG, DRAIN, issue 49).
async def test_short_soak_with_restores_breaks_no_rule(
    tmp_path: pathlib.Path,
) -> None:
    soak = world.Soak(1, 20.0, 4, tmp_path, restores=True)
    await soak.run()
    assert len(soak.record.ended_by_id) > 500
    assert checker.check(soak.record, BOUNDS) == []
