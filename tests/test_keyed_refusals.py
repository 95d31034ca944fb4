"""What a caller is told of a keyed call, and what it gets for the next send."""

import asyncio
from typing import Any

import pytest

from lycheegw.coordination import attempts
from tests import test_path
from tests import test_retries


# Issue 55: "not run, send it again", and then "may have run" for ever.
def test_key_of_a_call_that_was_not_sent_is_free_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def wait_for_a_slot(*args: Any) -> Any:
        await asyncio.Event().wait()

    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            with monkeypatch.context() as patched:
                patched.setattr(attempts.Attempts, "choose", wait_for_a_slot)
                late = await test_retries._send(fleet, test_retries.BOOK, 500)
            assert late.refusal_reason == "deadline_passed", late.body
            assert late.json()["error"]["run"] == "not_run"
            again = await test_retries._send(fleet, test_retries.BOOK, 5000)
            while again.refusal_reason == "key_in_use":
                await asyncio.sleep(float(again.header_by_name["retry-after"]))
                again = await test_retries._send(fleet, test_retries.BOOK, 5000)
            assert again.status == 200, again.body
            assert len(fleet.services["s1"].runs) == 1

    asyncio.run(main())


# Issue 55: an answer that was dropped as malformed became "null" for the key.
def test_malformed_answer_is_not_stored_for_the_key() -> None:
    async def main() -> None:
        async with test_path.small_fleet() as fleet:
            standin = fleet.services["s1"]
            standin.set_faults({"truncates": True})
            first = await test_retries._send(fleet, test_retries.BOOK, 5000)
            assert first.json()["error"]["run"] == "ran"
            standin.set_faults({"truncates": False})
            again = await test_retries._send(fleet, test_retries.BOOK, 5000)
            assert again.refusal_reason == "key_completed", again.body
            assert again.json()["error"]["run"] == "ran"
            assert len(standin.runs) == 1

    asyncio.run(main())
