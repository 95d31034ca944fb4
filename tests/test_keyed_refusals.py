"""What a caller is told of a keyed call, and what it gets for the next send."""

import asyncio

from tests import test_path
from tests import test_retries


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
