"""Counts wrong answers passed to callers as whole.

Engines cross, truncate or stall their answers or run another version. Baseline
nodes forward answers without any check.
"""

import asyncio
import random
from typing import Any

from lycheegw.measure import harness
from lycheegw.measure import minimal_config
from lycheegw.measure import report
from lycheegw.protocol import engine_api
from lycheegw.standins import engine
from lycheegw.state import errors
from lycheegw.state import reasons
from lycheegw.state import verdicts
from lycheegw.transport import http_client

__all__ = ["run"]

_KEY = "whole-key"
_ENGINES = 6
_CALLS = 150
_RATE_PER_S = 20.0
_TOKENS = 30
_FAULTS: tuple[dict[str, Any], ...] = (
    {"crosses_answers": True},
    {"truncates_after": 12},
    {"stalls_after": 12},
    {"runs_version": "v0"},
)
_NO_FAULTS = {
    "crosses_answers": False,
    "truncates_after": None,
    "stalls_after": None,
    "runs_version": None,
}
_FAULTY_ENGINES = 2
_FAULT_INTERVAL_S = 0.4
_RECORDS = minimal_config.records(_KEY)


async def _rotate_faults(fleet: harness.Fleet, seed: int) -> None:
    """Gives faults to randomly chosen engines in turn, until cancelled."""
    generator = random.Random(seed)
    while True:
        chosen = generator.sample(sorted(fleet.engines), _FAULTY_ENGINES)
        for name in chosen:
            fleet.engines[name].set_faults(generator.choice(_FAULTS))
        await asyncio.sleep(_FAULT_INTERVAL_S)
        for name in chosen:
            fleet.engines[name].set_faults(_NO_FAULTS)


class _UncheckedStream:
    """Reads a stream up to the end of its connection, without checks."""

    def __init__(self, stream: http_client.ResponseStream):
        self._stream = stream
        self._received = b""

    async def read(self) -> Any:
        """Returns all frames at the end of the connection."""
        try:
            while data := await self._stream.read(2.0):
                self._received += data
        except OSError as error:
            raise errors.UpstreamError(
                reasons.RetryReason.TOKEN_GAP,
                str(error),
                verdicts.RunVerdict.MAY_HAVE_RUN,
            ) from error
        frames = self._frames()
        payload = b"".join(frame + engine_api.FRAME_END for frame in frames)
        return _UncheckedFrames(payload, len(frames))

    def _frames(self) -> list[bytes]:
        frames = self._received.split(engine_api.FRAME_END)
        return [frame for frame in frames if b'"content"' in frame]

    def text(self) -> str:
        """Returns the text of all frames."""
        return "".join(
            engine_api.parse_frame(frame).text for frame in self._frames()
        )

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()


class _UncheckedFrames:
    """The frames that an unchecked stream read."""

    def __init__(self, payload: bytes, tokens: int):
        self.payload = payload
        self.tokens = tokens
        self.is_end = True
        self.confidence = 1.0


def _disable_checks(fleet: harness.Fleet) -> None:
    """Makes each node forward answers without checks."""

    async def generate(target: Any, call: Any, timeout_s: float) -> Any:
        stream = await http_client.open_stream(
            target.address,
            "POST",
            "/v1/generate",
            timeout_s,
            {"x-request-id": call.request_id},
            engine_api.encode_call(call),
        )
        return _UncheckedStream(stream)

    for node in fleet.nodes.values():
        setattr(node.upstream_client, "generate", generate)  # noqa: B010


def _chat_body(index: int) -> dict[str, Any]:
    return {
        "model": "drafter",
        "messages": [{"role": "user", "content": f"question {index}"}],
        "max_tokens": _TOKENS,
        "stream": index % 2 == 0,
    }


async def _send(fleet: harness.Fleet, index: int) -> harness.Reply | None:
    node = fleet.nodes[f"n{index % 2}"]
    try:
        return await fleet.call(
            node, "/v1/chat/completions", _chat_body(index), _KEY
        )
    except errors.UpstreamError:
        return None


def _whole_text(reply: harness.Reply) -> str | None:
    """Returns the text of an answer that claims to be whole, else None."""
    if reply.status != 200:
        return None
    if not reply.header_by_name["content-type"].startswith("text/event"):
        return str(reply.json()["choices"][0]["message"]["content"])
    if not reply.body.endswith(engine_api.END_FRAME):
        return None
    frames = reply.body.split(engine_api.FRAME_END)
    return "".join(
        engine_api.parse_frame(frame).text
        for frame in frames
        if b'"content"' in frame
    )


async def _run_fleet(
    seed: int, scale: float, is_baseline: bool
) -> dict[str, float]:
    async with harness.Fleet(seed, {"token_gap_timeout_s": 0.3}) as fleet:
        for index in range(_ENGINES):
            await fleet.add_engine(
                f"e{index}",
                "z1",
                engine.EngineSettings(token_gap_s=0.01),
            )
        for index in range(2):
            await fleet.add_node(f"n{index}", "z1")
        await fleet.wait_applied(await fleet.publish(*_RECORDS))
        await fleet.wait_upstreams()
        if is_baseline:
            _disable_checks(fleet)
        fault_task = asyncio.ensure_future(_rotate_faults(fleet, seed))
        tasks = []
        for index in range(int(_CALLS * scale)):
            tasks.append(asyncio.ensure_future(_send(fleet, index)))
            await asyncio.sleep(1 / _RATE_PER_S)
        replies = await asyncio.gather(*tasks)
        fault_task.cancel()
        return _figures(fleet, replies)


def _expected_text(fleet: harness.Fleet, index: int) -> str:
    words, _ = fleet.engines["e0"]._generate_words(_chat_body(index), "v1")
    return "".join(words)


def _figures(
    fleet: harness.Fleet, replies: list[harness.Reply | None]
) -> dict[str, float]:
    broken = others = answered = 0
    for index, reply in enumerate(replies):
        text = None if reply is None else _whole_text(reply)
        if text is None:
            continue
        expected = _expected_text(fleet, index)
        is_of_other = text.split()[:1] != expected.split()[:1]
        others += is_of_other
        broken += not is_of_other and text != expected
        answered += text == expected
    counters = [node.state.counters.by_name for node in fleet.nodes.values()]
    return {
        "broken_passed_as_whole": broken,
        "answers_of_others": others,
        "answered_whole_share": answered / len(replies),
        "retries": sum(
            count
            for by_name in counters
            for name, count in by_name.items()
            if name.startswith("retry.")
        ),
    }


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings on broken answers and those of other requests."""
    figures = await _run_fleet(seed, scale, False)
    baseline = await _run_fleet(seed, scale, True)
    return report.Findings(figures, "pass-through", baseline)
