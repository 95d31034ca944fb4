"""Stand-in for a model engine.

Streams tokens, runs requests in batches by priority, caches prompt prefixes,
and is slow and easily overloaded while cold.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import json
import random
import time
from typing import Any
from typing import NamedTuple

from lycheegw.protocol import engine_api
from lycheegw.standins import base
from lycheegw.standins import prefix_cache
from lycheegw.standins import priority_semaphore
from lycheegw.transport import http_server

__all__ = [
    "FAULTS",
    "GOOD_MARK",
    "POOR_MARK",
    "EngineSettings",
    "EngineStandIn",
    "SampledAnswer",
    "answer_quality",
    "sample_answer",
]

GOOD_MARK = "~good"
POOR_MARK = "~poor"

FAULTS = {
    "token_delay_s": None,
    "runs_version": None,
    "crosses_answers": False,
    "truncates_after": None,
    "stalls_after": None,
    "dies_on": None,
    "bad_version": None,
}

_WARM_AGE_S = 3600.0
_CACHE_HIT_FACTOR = 0.2


class EngineSettings(NamedTuple):
    """Settings of an engine stand-in.

    Attributes:
        address: "ip:port" to listen on.
        model: Name of the model that it serves.
        versions: Model versions loaded at the start.
        quality_by_version: Share of good answers, 0 to 1, by "version" or
            "kind/version"; 1 if missing.
        first_token_s: Time to the first token when warm.
        token_gap_s: Time between tokens.
        cold_s: How long the engine is cold after a start.
        cold_limit: Concurrency limit while cold; one request more crashes the
            engine.
        restart_s: How long the engine is down after a crash.
        honours_fencing: Whether orders with an outdated fencing number are
            refused.
        cold_slowdown: Factor on `first_token_s` while cold.
        batch: Requests generated concurrently; others wait by priority.
        limit: Concurrency limit when warm, waiting requests included.
        cached_prefixes: Number of prompt prefixes in the cache; a hit cuts
            the time to the first token to a fifth.
    """

    address: str = "127.0.0.1:0"
    model: str = "drafter"
    versions: tuple[str, ...] = ("v1",)
    quality_by_version: dict[str, float] = {}  # noqa: RUF012
    first_token_s: float = 0.02
    token_gap_s: float = 0.005
    cold_s: float = 0.0
    cold_limit: int = 4
    restart_s: float = 1.0
    honours_fencing: bool = True
    cold_slowdown: float = 1.0
    batch: int = 64
    limit: int = 64
    cached_prefixes: int = 0


class SampledAnswer(NamedTuple):
    """The answer that an engine generates; equal calls get equal answers.

    Attributes:
        tag: Hash of the question, model and version.
        is_good: Whether the answer is good.
        confidence: Confidence that the engine reports, 0 to 1.
    """

    tag: str
    is_good: bool
    confidence: float


def answer_quality(
    quality_by_version: Mapping[str, float],
    messages: Sequence[Mapping[str, Any]],
    version: str,
) -> float:
    """Returns a version's share of good answers to the last message.

    The first word of the message is its kind; an entry "kind/version" takes
    precedence over "version".
    """
    kind = messages[-1]["content"].partition(" ")[0]
    default = quality_by_version.get(version, 1.0)
    return quality_by_version.get(f"{kind}/{version}", default)


def sample_answer(
    messages: Sequence[Mapping[str, Any]],
    model: str,
    version: str,
    quality: float,
) -> SampledAnswer:
    """Draws an answer; a good one has a higher confidence on average."""
    seed = json.dumps([messages, model, version])
    digest = hashlib.sha256(seed.encode()).digest()
    generator = random.Random(digest)
    is_good = generator.random() < quality
    beta_parameters = (5, 2) if is_good else (2, 5)
    confidence = round(generator.betavariate(*beta_parameters), 3)
    return SampledAnswer(digest[:4].hex(), is_good, confidence)


class EngineStandIn(base.StandIn):
    """A model engine that crashes with all its requests when overloaded.

    Attributes:
        running: Number of requests in progress, waiting ones included.
        peak_running_while_cold: Highest value of `running` while cold.
        crash_count: Number of crashes.
        completed: Requests completed since the last announced restart.
        cancelled: Requests that were cancelled or lost their connection.
        orders: The accepted orders, in order.
        runs: The requests started, in order.
    """

    def __init__(self, config: EngineSettings, threads: int = 2):
        super().__init__(config.address, FAULTS, threads)
        self.config = config
        self.versions = set(config.versions)
        self.running = 0
        self.peak_running_while_cold = 0
        self.crash_count = 0
        self.completed = 0
        self.cancelled = 0
        self.orders: list[dict[str, Any]] = []
        self.runs: list[base.Run] = []
        self._highest_fencing = -1
        self._tasks: set[Any] = set()
        self._batch_slots = priority_semaphore.PrioritySemaphore(config.batch)
        self.cache = prefix_cache.PrefixCache(config.cached_prefixes)
        self.restart(is_announced=True)
        if not config.cold_s:
            self.backdate_start(_WARM_AGE_S)

    def backdate_start(self, seconds: float) -> None:
        """Moves the start time and the end of the cold phase back."""
        self._started_at_s -= seconds
        self._warm_at_s -= seconds

    def restart(self, is_announced: bool) -> None:
        """Makes the engine cold; its report shows this if `is_announced`."""
        self._warm_at_s = time.monotonic() + self.config.cold_s
        if is_announced:
            self._started_at_s = time.time()
            self.completed = 0

    @property
    def is_cold(self) -> bool:
        """Whether the cold limit applies."""
        return time.monotonic() < self._warm_at_s

    async def answer(self, exchange: http_server.Exchange) -> None:
        """Serves model calls, orders, and polls of report and cache events."""
        path = exchange.request.path
        if path == "/v1/generate":
            await self._generate(exchange)
        elif path == "/report":
            await exchange.send_json(200, self._report())
        elif path == "/cache-events":
            start = int(base.query_parameters(exchange.request)["from"])
            await exchange.send_json(200, self.cache.events(start))
        elif path == "/order":
            await self._apply_order(exchange)
        else:
            await exchange.send_json(404, {"error": "path"})

    def _report(self) -> dict[str, Any]:
        return {
            "versions": sorted(self.versions),
            "running": self.running - self._batch_slots.waiting,
            "queued": self._batch_slots.waiting,
            "started_at_s": self._started_at_s,
            "completed_total": self.completed,
        }

    async def _apply_order(self, exchange: http_server.Exchange) -> None:
        order = json.loads(exchange.request.body)
        if (
            self.config.honours_fencing
            and order["fencing"] < self._highest_fencing
        ):
            await exchange.send_json(409, {"error": "old fencing number"})
            return
        self._highest_fencing = max(self._highest_fencing, order["fencing"])
        self.orders.append(order)
        self.versions = set(order["versions"])
        await exchange.send_json(200, {"versions": sorted(self.versions)})

    async def _generate(self, exchange: http_server.Exchange) -> None:
        call = json.loads(exchange.request.body)
        if call["version"] not in self.versions:
            await self.reject(exchange, 409, "version not loaded")
            return
        self.runs.append(
            base.Run(
                time.monotonic(), call["request_id"], call["version"], None
            )
        )
        if self._must_crash(call):
            await self._crash(exchange)
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        self.running += 1
        if self.is_cold:
            self.peak_running_while_cold = max(
                self.peak_running_while_cold, self.running
            )
        try:
            async with self._batch_slots.slot(call["priority"]):
                await self._stream(exchange, call)
            self.completed += 1
        except (OSError, asyncio.CancelledError):
            self.cancelled += 1
            exchange.keep_alive = False
        finally:
            self.running -= 1
            self._tasks.discard(task)

    def _must_crash(self, call: dict[str, Any]) -> bool:
        crash_text = self.faults["dies_on"]
        if crash_text and crash_text in json.dumps(call["messages"]):
            return True
        limit = self.config.cold_limit if self.is_cold else self.config.limit
        return self.running >= limit

    async def _crash(self, exchange: http_server.Exchange) -> None:
        """Crashes with all running requests, and restarts cold later."""
        self.crash_count += 1
        exchange.keep_alive = False
        self.faults["is_dead"] = True
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().call_later(
            self.config.restart_s, self._recover
        )

    def _recover(self) -> None:
        self.faults["is_dead"] = False
        self.restart(is_announced=True)

    async def _stream(
        self, exchange: http_server.Exchange, call: dict[str, Any]
    ) -> None:
        version = self.faults["runs_version"] or call["version"]
        request_id = call["request_id"]
        await asyncio.sleep(self._first_token_s(call))
        await exchange.start_stream(
            {
                "x-request-id": request_id,
                "x-model-version": f"{call['model']}@{version}",
            },
            "text/event-stream",
        )
        if self.faults["crosses_answers"]:
            request_id = "another-request"
            call = call | {"messages": [request_id]}
        words, confidence = self._generate_words(call, version)
        begin = call["prefix_tokens"]
        for index in range(begin, len(words)):
            if index == self.faults["truncates_after"]:
                exchange.keep_alive = False
                return
            if index == self.faults["stalls_after"]:
                await exchange.wait_disconnected()
                return
            await exchange.write(
                engine_api.token_frame(request_id, words[index])
            )
            gap_s = self.faults["token_delay_s"] or self.config.token_gap_s
            await asyncio.sleep(gap_s)
        await exchange.write(
            engine_api.totals_frame(request_id, len(words), confidence)
            + engine_api.END_FRAME
        )
        await exchange.finish()

    def _first_token_s(self, call: dict[str, Any]) -> float:
        wait_s = self.config.first_token_s
        if self.is_cold:
            wait_s *= self.config.cold_slowdown
        if self.cache.use(prefix_cache.prefix_key(call["messages"])):
            wait_s *= _CACHE_HIT_FACTOR
        return wait_s

    def _generate_words(
        self, call: dict[str, Any], version: str
    ) -> tuple[list[str], float]:
        """Returns words and confidence of an answer, equal for equal calls."""
        messages = call["messages"]
        quality = answer_quality(
            self.config.quality_by_version, messages, version
        )
        if version == self.faults["bad_version"]:
            quality = 0.1
        sampled = sample_answer(messages, call["model"], version, quality)
        # The first word differs between answers to different questions.
        words = [f"{sampled.tag} "]
        words += [f"w{index} " for index in range(1, call["max_tokens"] - 1)]
        words.append(GOOD_MARK if sampled.is_good else POOR_MARK)
        return words, sampled.confidence
