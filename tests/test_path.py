"""End-to-end tests: client requests through a node to an upstream."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.standins import engine

KEY = "desk-key"
CHAT = "/v1/chat/completions"
BODY = {
    "model": "drafter",
    "messages": [{"role": "user", "content": "summarise"}],
    "max_tokens": 8,
}
RECORDS = (
    *minimal_config.records(KEY, ("v1", "v2")),
    minimal_config.service_record(),
)


@contextlib.asynccontextmanager
async def small_fleet(**limits: float) -> AsyncIterator[harness.Fleet]:
    """Runs a node, two engines and a service in one zone."""
    async with harness.Fleet(node_limits=limits) as fleet:
        for name in ("e1", "e2"):
            await fleet.add_engine(
                name, "z1", engine.EngineSettings(versions=("v1", "v2"))
            )
        await fleet.add_service("s1", "z1", "deskapp")
        await fleet.add_node("n1", "z1")
        await fleet.wait_applied(await fleet.publish(*RECORDS))
        await fleet.wait_upstreams()
        yield fleet


def test_model_call_returns_the_complete_response() -> None:
    async def main() -> None:
        async with small_fleet() as fleet:
            reply = await fleet.call(fleet.nodes["n1"], CHAT, BODY, KEY)
            assert reply.status == 200, reply.body
            assert reply.header_by_name["x-model-version"] == "drafter@v1"
            text = reply.json()["choices"][0]["message"]["content"]
            assert text.split()[-1] == engine.GOOD_MARK
            assert reply.json()["usage"]["completion_tokens"] == 8

    asyncio.run(main())


def test_streamed_response_ends_with_the_end_marker() -> None:
    async def main() -> None:
        async with small_fleet() as fleet:
            body = BODY | {"stream": True}
            reply = await fleet.call(fleet.nodes["n1"], CHAT, body, KEY)
            frames = reply.body.split(b"\n\n")
            assert reply.status == 200
            assert frames[-2] == b"data: [DONE]"
            assert len(frames) == 8 + 3

    asyncio.run(main())


def test_broken_stream_is_resumed_on_another_engine() -> None:
    async def main() -> None:
        async with small_fleet() as fleet:
            fleet.engines["e1"].set_faults({"truncates_after": 3})
            for index in range(6):
                body = BODY | {"stream": True}
                reply = await fleet.call(
                    fleet.nodes["n1"],
                    CHAT,
                    body,
                    KEY,
                    {"x-request-id": f"r{index}"},
                )
                text = reply.body.decode()
                assert text.count('"content"') == 8, text
                assert text.endswith("data: [DONE]\n\n")
            counters = fleet.nodes["n1"].state.counters.by_name
            assert counters["retry.truncated"] > 0

    asyncio.run(main())


def test_service_call_returns_the_result() -> None:
    async def main() -> None:
        async with small_fleet() as fleet:
            reply = await fleet.call(
                fleet.nodes["n1"], "/v1/services/deskapp/lookup", {"a": 1}, KEY
            )
            assert reply.status == 200
            assert reply.json()["result"]["for"] == {"a": 1}

    asyncio.run(main())


def test_invalid_request_is_refused_as_not_run() -> None:
    async def main() -> None:
        async with small_fleet() as fleet:
            node = fleet.nodes["n1"]
            cases = [
                (CHAT, BODY, "wrong-key", {}, 401),
                (CHAT, BODY | {"model": "drafter@v9"}, KEY, {}, 403),
                (CHAT, BODY | {"messages": []}, KEY, {}, 400),
                (CHAT, BODY, KEY, {"x-deadline-ms": "-1"}, 504),
                (CHAT, BODY, KEY, {"x-deadline-ms": "soon"}, 400),
                ("/v1/services/deskapp/none", {}, KEY, {}, 404),
                ("/v1/services/deskapp/book", {}, KEY, {}, 400),
            ]
            for path, body, key, headers, status in cases:
                reply = await fleet.call(node, path, body, key, headers)
                assert reply.status == status, reply.body
                assert reply.json()["error"]["run"] == "not_run"
            reply = await fleet.call(node, CHAT, BODY, KEY)
            assert reply.status == 200

    asyncio.run(main())
