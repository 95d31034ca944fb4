"""State that nodes share: reports, host list, zones and session pins."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

from lycheegw import app
from lycheegw.measure import harness
from lycheegw.protocol import session_tokens
from lycheegw.standins import engine
from lycheegw.state import errors
from lycheegw.state import sessions
from tests import test_path

TIMEOUT_S = 15.0


async def until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds, at most `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def fleet_of(
    zone_by_node: dict[str, str], zone_by_engine: dict[str, str]
) -> AsyncIterator[harness.Fleet]:
    """Starts nodes and engines with two versions; waits until all connected."""
    async with harness.Fleet() as fleet:
        for name, zone in zone_by_engine.items():
            await fleet.add_engine(
                name, zone, engine.EngineSettings(versions=("v1", "v2"))
            )
        for name, zone in zone_by_node.items():
            await fleet.add_node(name, zone)
        await fleet.wait_applied(await fleet.publish(*test_path.RECORDS))
        await fleet.wait_upstreams()
        count = len(zone_by_node)
        await until(
            lambda: all(
                len(node.peers.live_nodes()) == count
                for node in fleet.nodes.values()
            )
        )
        yield fleet


async def send_chat(
    fleet: harness.Fleet, node: app.Node, **headers: str
) -> harness.Reply:
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    return await fleet.call(
        node, test_path.CHAT, test_path.BODY, test_path.KEY, names
    )


def polls(node: app.Node) -> set[str]:
    return {
        each.entry.host_id for each in node.load_reports._polled_upstreams()
    }


def test_one_node_polls_an_upstream_and_another_takes_over() -> None:
    async def main() -> None:
        nodes = {f"n{index}": "z1" for index in range(3)}
        engines = {f"e{index}": "z1" for index in range(4)}
        async with fleet_of(nodes, engines) as fleet:
            fleet_nodes = list(fleet.nodes.values())
            await until(
                lambda: sum(len(polls(node)) for node in fleet_nodes) == 4
            )
            poller = next(node for node in fleet_nodes if polls(node))
            unpolled = polls(poller)
            others = [node for node in fleet_nodes if node is not poller]
            # The poller stops without announcing it and stays listed.
            await poller.application.stop()
            await until(
                lambda: (
                    unpolled
                    <= {each for node in others for each in polls(node)}
                )
            )
            name = min(unpolled)
            fleet.engines[name].versions = {"v9"}
            await until(
                lambda: all(
                    node.state.upstreams.by_id[name].serves("v9")
                    for node in others
                )
            )
            del fleet.nodes[poller.settings.node_id]

    asyncio.run(main())


def test_leaving_upstream_is_learned_from_a_peer() -> None:
    """A node that never reads the host list gets its changes from a peer."""

    async def main() -> None:
        nodes = {"n1": "z1", "n2": "z2"}
        async with fleet_of(nodes, {"e1": "z1", "e2": "z1"}) as fleet:
            cut_off = fleet.nodes["n2"]

            async def read_nothing() -> None:
                return None

            cut_off.membership.read_hosts = read_nothing  # type: ignore[method-assign]
            fleet.set_leaving("e1")
            await until(
                lambda: cut_off.state.upstreams.by_id["e1"].entry.is_leaving
            )
            for _ in range(4):
                assert (await send_chat(fleet, cut_off)).status == 200
            assert not fleet.engines["e1"].runs

    asyncio.run(main())


def test_wrong_upstream_list_does_not_stop_routing() -> None:
    """The list has a dead upstream and lacks one that works."""

    async def main() -> None:
        async with fleet_of({"n1": "z1"}, {"e1": "z1", "e2": "z1"}) as fleet:
            node = fleet.nodes["n1"]
            await fleet.engines["e1"].stop()
            by_id = node.state.upstreams.by_id
            now_s = node.state.environment.monotonic_s
            await until(lambda: by_id["e1"].is_excluded(now_s()))
            failures_before = node.state.counters.by_name[
                "retry.connect_failed"
            ]
            fleet.hosts.remove("e2")
            await until(lambda: not node.state.upstreams.by_id["e2"].is_listed)
            for _ in range(4):
                assert (await send_chat(fleet, node)).status == 200
            failures_after = node.state.counters.by_name["retry.connect_failed"]
            assert failures_after == failures_before
            del fleet.engines["e1"]

    asyncio.run(main())


def test_closed_zone_reaches_a_node_that_cannot_read_the_log() -> None:
    async def main() -> None:
        nodes = {"n1": "z1", "n2": "z2"}
        engines = {"e1": "z1", "e2": "z2"}
        async with fleet_of(nodes, engines) as fleet:
            cut_off = fleet.nodes["n1"]

            async def unreadable(*_: Any) -> Any:
                raise errors.LogUnavailableError("cut off", False)

            cut_off.log.read = unreadable  # type: ignore[method-assign]
            offset = await fleet.publish(
                harness.record("zone", "z1", {"is_serving": False})
            )
            await until(lambda: cut_off.state.catalog.offset >= offset)
            before = len(fleet.engines["e1"].runs)
            for _ in range(4):
                assert (await send_chat(fleet, cut_off)).status == 200
            assert len(fleet.engines["e1"].runs) == before
            assert len(fleet.engines["e2"].runs) >= 4
            await fleet.engines["e2"].stop()
            refused = await send_chat(fleet, cut_off)
            assert refused.refusal_reason == "attempts_exhausted"
            assert refused.json()["error"]["run"] == "not_run"
            assert len(fleet.engines["e1"].runs) == before
            del fleet.engines["e2"]

    asyncio.run(main())


def _rollout(share: float, replaces: int) -> dict[str, Any]:
    body = {"from_version": "v1", "to_version": "v2", "share": share}
    return harness.record("rollout", "drafter", body, replaces)


def test_session_survives_steps_and_node_loss_until_withdrawal() -> None:
    """A session id is enough: nodes get the pin from peers of any zone."""

    async def main() -> None:
        nodes = {"n1": "z1", "n2": "z1", "n3": "z1", "n4": "z2"}
        async with fleet_of(nodes, {"e1": "z1", "e2": "z2"}) as fleet:
            first, second, _, far = fleet.nodes.values()
            reply = await send_chat(fleet, first, x_session_id="s")
            assert reply.header_by_name["x-model-version"] == "drafter@v1"
            old_token = reply.header_by_name["x-session-token"]
            step = await fleet.publish(_rollout(1.0, 0))
            await fleet.wait_applied(step)
            fresh = await send_chat(fleet, second)
            assert fresh.header_by_name["x-model-version"] == "drafter@v2"
            await fleet.stop_node("n1")
            for node in (second, far):
                reply = await send_chat(fleet, node, x_session_id="s")
                assert reply.header_by_name["x-model-version"] == "drafter@v1"
                assert "x-session-moved" not in reply.header_by_name
            withdrawn = await fleet.publish(
                harness.record(
                    "withdrawal",
                    "drafter@v1",
                    {"is_withdrawn": True},
                )
            )
            await fleet.wait_applied(withdrawn)
            reply = await send_chat(
                fleet, second, x_session_id="s", x_session_token=old_token
            )
            assert reply.header_by_name["x-model-version"] == "drafter@v2"
            assert reply.header_by_name["x-session-moved"] == "1"
            token = reply.header_by_name["x-session-token"]
            reply = await send_chat(
                fleet, far, x_session_id="s", x_session_token=token
            )
            assert reply.header_by_name["x-model-version"] == "drafter@v2"
            assert "x-session-moved" not in reply.header_by_name

    asyncio.run(main())


def test_forged_and_foreign_tokens_are_ignored_and_counted() -> None:
    async def main() -> None:
        async with fleet_of({"n1": "z1"}, {"e1": "z1"}) as fleet:
            node = fleet.nodes["n1"]
            claim = sessions.SessionClaim("other", "s", "drafter", "v2", 1.0)
            key = node.settings.secrets.session_key
            foreign = session_tokens.SessionTokens(key).sign(claim)
            own = claim._replace(organisation="desk")
            forged = session_tokens.SessionTokens("another-key").sign(own)
            for token in (foreign, forged):
                reply = await send_chat(fleet, node, x_session_token=token)
                assert reply.header_by_name["x-model-version"] == "drafter@v1"
            counters = node.state.counters.by_name
            assert counters["sessions.token_foreign"] == 1
            assert counters["sessions.token_forged"] == 1

    asyncio.run(main())
