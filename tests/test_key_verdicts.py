"""Refusals of keyed requests say "not run" only if no send of the key ran."""

import asyncio
from collections.abc import Iterator

import pytest

from lycheegw.coordination import key_coordinator
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import requests
from lycheegw.state import verdicts
from tests import key_fakes
from tests import test_keys_machine

_OWNER_TOPIC = "keys.owner"


@pytest.fixture
def machine() -> Iterator[test_keys_machine.KeyMachine]:
    """Three nodes with nothing but idempotency keys."""
    each = test_keys_machine.KeyMachine()
    yield each
    each.teardown()


def _bus_of(
    machine: test_keys_machine.KeyMachine, node: test_keys_machine.Node
) -> key_fakes.Bus:
    return machine.network.bus_by_id[node.node_id]


# Issue 55: a release that was known to the owner spoke for later claims, too.
def test_released_claim_does_not_hide_a_later_run(
    machine: test_keys_machine.KeyMachine,
) -> None:
    async def main() -> None:
        owner = machine.nodes[0]
        request = machine.request("a", True)
        machine.sent_keys.add("a")
        assert await owner.key_claims.begin(request) is None
        answer = owner.key_claims._handle_owner_query

        async def answer_late(sender: str, payload: bytes) -> bytes:
            await owner.key_claims.complete(
                request, verdicts.RunVerdict.NOT_RUN, None
            )
            await owner.key_claims.flush()
            await machine.send(1, "a", "ran")
            return await answer(sender, payload)

        _bus_of(machine, owner).on_call(_OWNER_TOPIC, answer_late)
        # Fails if the refusal says not run.
        await machine.send(2, "a", "ran")
        assert machine.runs["a"] == 1

    machine.runner.run(main())


# Issue 55: the word of the caller was preferred to a claim read from the log.
def test_claim_in_the_log_contradicts_a_first_send(
    machine: test_keys_machine.KeyMachine,
) -> None:
    async def main() -> None:
        owner = machine.nodes[0]
        request = machine.request("a", True)
        assert await owner.key_claims.begin(request) is None

        async def never_answer(sender: str, payload: bytes) -> bytes:
            await asyncio.Event().wait()
            return payload

        _bus_of(machine, owner).on_call(_OWNER_TOPIC, never_answer)
        hurried = request._replace(deadline_s=machine.clock.now_s + 0.3)
        with pytest.raises(errors.RefusalError) as caught:
            await machine.nodes[1].key_claims.begin(hurried)
        assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN

    machine.runner.run(main())


# Issue 55: a repeated send with the header of the first one, without the log.
@pytest.mark.parametrize("is_flushed", [False, True])
@pytest.mark.parametrize("index", range(3))
def test_outcome_of_this_node_contradicts_a_first_send(
    index: int, is_flushed: bool, machine: test_keys_machine.KeyMachine
) -> None:
    async def main() -> None:
        node = machine.nodes[index]
        request = machine.request("a", True)
        assert await node.key_claims.begin(request) is None
        await node.key_claims.complete(
            request, verdicts.RunVerdict.MAY_HAVE_RUN, None
        )
        if is_flushed:
            await node.key_claims.flush()
        machine.log.fault = "down"
        machine.network.listed[:] = [node.node_id]
        with pytest.raises(errors.RefusalError) as caught:
            await node.key_claims.begin(request)
        assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN

    machine.runner.run(main())


# Issue 55: what a coordinator had read was dropped as it couldn't append.
def test_reply_of_a_coordinator_contradicts_a_first_send(
    machine: test_keys_machine.KeyMachine,
) -> None:
    async def main() -> None:
        stream = test_keys_machine.stream_index_of("a")
        owner, asking = (
            node
            for node in machine.nodes
            if node.node_id != _coordinator_id(machine, stream)
        )
        assert await owner.key_claims.begin(machine.request("a", True)) is None
        machine.log.fault = "down"
        machine.kill(owner)
        with pytest.raises(errors.RefusalError) as caught:
            await asking.key_claims.begin(machine.request("a", True))
        assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN

    machine.runner.run(main())


def _coordinator_id(machine: test_keys_machine.KeyMachine, stream: int) -> str:
    bus = next(iter(machine.network.bus_by_id.values()))
    return key_coordinator.rank_coordinators(stream, bus)[0]


# Issue 55: another body was "not run" by a copy that lacked the run of it.
def test_outdated_copy_does_not_show_that_another_body_has_not_run(
    machine: test_keys_machine.KeyMachine,
) -> None:
    async def main() -> None:
        owner, asking, _ = machine.nodes
        released = machine.request("a", True)
        request = released._replace(fingerprint="0e")
        machine.network.listed[:] = [owner.node_id]
        assert await owner.key_claims.begin(released) is None
        machine.network.listed[:] = [asking.node_id]
        with pytest.raises(errors.RefusalError):
            await asking.key_claims.begin(released)
        machine.network.listed[:] = [owner.node_id]
        await owner.key_claims.complete(
            released, verdicts.RunVerdict.NOT_RUN, None
        )
        await owner.key_claims.flush()
        await _run(owner, request)
        machine.log.fault = "down"
        machine.network.listed[:] = [asking.node_id]
        with pytest.raises(errors.RefusalError) as caught:
            await asking.key_claims.begin(request)
        assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN

    machine.runner.run(main())


# Issue 55: another body was "not run" by a claim that was about to be lost.
def test_undecided_claim_does_not_show_that_another_body_has_not_run(
    machine: test_keys_machine.KeyMachine,
) -> None:
    async def main() -> None:
        owner, asking, _ = machine.nodes
        request = machine.request("a", True)
        await _run(owner, request)
        other = request._replace(fingerprint="0e")
        losing = asyncio.create_task(asking.key_claims.begin(other))
        await asyncio.sleep(0)
        with pytest.raises(errors.RefusalError) as caught:
            await asking.key_claims.begin(request)
        assert caught.value.verdict is verdicts.RunVerdict.MAY_HAVE_RUN
        with pytest.raises(errors.RefusalError) as caught:
            await losing
        assert caught.value.reason is reasons.RefusalReason.KEY_MISMATCH
        assert caught.value.verdict is verdicts.RunVerdict.NOT_RUN

    machine.runner.run(main())


async def _run(node: test_keys_machine.Node, request: requests.Request) -> None:
    """Claims the key of a request and logs that it ran."""
    assert await node.key_claims.begin(request) is None
    await node.key_claims.complete(request, verdicts.RunVerdict.RAN, None)
    await node.key_claims.flush()
