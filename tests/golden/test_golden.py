"""Compares sessions of both example deployments with their golden files."""

import asyncio
import pathlib
from typing import Any

import pytest

from lycheegw.measure import deployments
from lycheegw.measure import harness
from lycheegw.standins import engine
from tests.golden import transcripts

FOLDER = pathlib.Path(__file__).parent
VERSIONS = ("full-1", "full-2", "mini-1")
QUALITY = {"full-1": 1.0, "full-2": 1.0, "mini-1": 1.0}


async def _start_two_zones(
    fleet: harness.Fleet, deployment: deployments.Deployment
) -> None:
    """Starts one node, engine and service host in each of two zones."""
    for letter, zone in zip("ab", deployment.zones, strict=False):
        config = engine.EngineSettings(
            model=deployment.model,
            versions=VERSIONS,
            quality_by_version=QUALITY,
            restart_s=60,
        )
        await fleet.add_engine(f"engine-{letter}", zone, config)
        await fleet.add_service(f"service-{letter}", zone, deployment.service)
        await fleet.add_node(f"node-{letter}", zone, deployment.region)
    records = deployments.records(deployment)
    await fleet.wait_applied(await fleet.publish(*records))
    await fleet.wait_upstreams()


def _chat(
    deployment: deployments.Deployment,
    content: str,
    version: str = "full-1",
    **more: Any,
) -> Any:
    return {
        "model": f"{deployment.model}@{version}"
        if version
        else deployment.model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 5,
    } | more


async def _record_session(
    deployment: deployments.Deployment, keyed: str, lookup: str
) -> str:
    """Returns the transcript of a session.

    It covers a roll-out, a withdrawal, a closed zone, a broken stream and
    repeated keyed work.
    """
    chat, services = "/v1/chat/completions", "/v1/services"
    model, service = deployment.model, deployment.service
    async with harness.Fleet() as fleet:
        await _start_two_zones(fleet, deployment)
        transcript = transcripts.Transcript(
            fleet, deployments.organisation_key(deployment, 0)
        )
        transcript.add_heading("a session starts, and a streamed answer")
        body = _chat(deployment, "first")
        await transcript.send_request(
            "node-a", "r1", chat, body, x_session_id="s1"
        )
        body = _chat(deployment, "second", "", stream=True)
        await transcript.send_request(
            "node-a", "r2", chat, body, x_session_id="s1"
        )
        transcript.add_heading(
            "a roll-out begins; the session keeps its version"
        )
        rollout = {
            "from_version": "full-1",
            "to_version": "full-2",
            "share": 1.0,
        }
        await transcript.publish(harness.record("rollout", model, rollout))
        body = _chat(deployment, "third", "")
        await transcript.send_request(
            "node-b", "r3", chat, body, x_session_id="s1"
        )
        transcript.add_heading(
            "its version is withdrawn; the session moves and is told"
        )
        withdrawal = {"is_withdrawn": True}
        await transcript.publish(
            harness.record("withdrawal", f"{model}@full-1", withdrawal),
            harness.record("withdrawal", f"{model}@mini-1", withdrawal),
        )
        body = _chat(deployment, "fourth", "")
        await transcript.send_request(
            "node-b", "r4", chat, body, x_session_id="s1"
        )
        body = _chat(deployment, "fifth", "full-1")
        await transcript.send_request("node-b", "r5", chat, body)
        transcript.add_heading(
            "zone a is taken out; its node sends work to zone b"
        )
        zone = deployment.zones[0]
        await transcript.publish(
            harness.record("zone", zone, {"is_serving": False}, 1)
        )
        body = _chat(deployment, "sixth", "full-2")
        await transcript.send_request("node-a", "r6", chat, body)
        transcript.add_heading(
            "zone a is back; its engine dies under a request"
        )
        await transcript.publish(
            harness.record("zone", zone, {"is_serving": True}, 2)
        )
        fleet.engines["engine-a"].set_faults({"truncates_after": 2})
        body = _chat(deployment, "seventh", "full-2", stream=True)
        await transcript.send_request("node-a", "r7", chat, body)
        transcript.add_heading(
            "keyed work runs once, also when it is sent again"
        )
        for node_id, request_id in (("node-a", "r8"), ("node-b", "r9")):
            await transcript.send_request(
                node_id,
                request_id,
                f"{services}/{service}/{keyed}",
                {"about": "street 5"},
                idempotency_key="key-1",
            )
        transcript.add_heading("a look-up")
        path = f"{services}/{service}/{lookup}"
        await transcript.send_request(
            "node-a", "r10", path, {"about": "street 5"}
        )
        transcript.add_heading(
            "records of the operators, as the log holds them"
        )
        transcript.add_log_entries(
            "configuration", ("id", "kind", "name", "replaces")
        )
    return transcript.text()


@pytest.mark.parametrize(
    ("deployment", "keyed", "lookup"),
    [
        (deployments.LAKESHORE, "book-visit", "account-status"),
        (deployments.METSATOO, "warranty-claim", "stock"),
    ],
    ids=["lakeshore", "metsatoo"],
)
def test_transcript_equals_golden_file(
    request: pytest.FixtureRequest,
    deployment: deployments.Deployment,
    keyed: str,
    lookup: str,
) -> None:
    actual = asyncio.run(_record_session(deployment, keyed, lookup))
    path = FOLDER / f"{deployment.name}.txt"
    if request.config.getoption("--renew-golden"):
        path.write_text(actual)
    assert actual.splitlines() == path.read_text().splitlines()
