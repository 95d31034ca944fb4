"""Measures how evenly fleets of 7 to 374 nodes load upstreams.

The router's balancer chooses by what its node knows, in simulated time. It is
compared with an oracle that knows all queues, speeds and caches, with the least
connections of each node, as proxies choose that don't know of each other, and
with other policies on what the node knows. Upstreams prefill one prompt at a
time and cache shared parts. They differ in speed, and some are slow at a time.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import math
import operator
import random
from typing import Any
from typing import NamedTuple

from lycheegw.coordination.load import balancing
from lycheegw.coordination.load import response_times
from lycheegw.coordination.load import selection
from lycheegw.coordination.load import speeds
from lycheegw.measure import backlog_fleet
from lycheegw.measure import report
from lycheegw.state import forwarded_requests
from lycheegw.state import requests
from lycheegw.state import routing
from lycheegw.state import upstreams

__all__ = ["Lateness", "run", "simulate"]

# Nodes, upstreams and zones of each size.
_SIZES = ((7, 6, 1), (76, 63, 5), (186, 156, 5), (374, 314, 5))
_WARM_UP_S, _SECONDS = 4.0, 5.0
# Nodes from which on less time is measured.
_LARGE_FLEET = 186
# Prompts as in the sheet of the large deployment: a shared part that one of
# many subjects has, an own part, and two models.
_SUBJECTS = 649
_SHARED_TOKENS_LOG_MEAN, _SHARED_TOKENS_LOG_DEVIATION = 9.1, 0.7
_OWN_TOKENS_LOG_MEAN, _OWN_TOKENS_LOG_DEVIATION = 7.8, 1.0
_SMALL_MODEL, _LARGE_MODEL = "small", "large"
_SMALL_MODEL_SHARE = 0.6
_TOKENS_PER_S = {_SMALL_MODEL: 214_000, _LARGE_MODEL: 21_400}
_CACHE_TOKENS = 447_000
_CROSS_ZONE_PENALTY_S = 0.1
# Price of a crossing that is never worth it.
_FAR_S = 60.0
# Time that work takes on upstreams, relative to the usual one, by turns; and
# how much longer it takes on some of them at a time.
_SPEEDS = (0.7, 0.7, 1.7)
_SLOW_SHARE, _SLOW_FACTOR, _SLOW_S = 0.15, 2.5, 0.6
# Time from one event to the next of a stream at the usual speed.
_EVENT_S = 0.03
# Random candidates and the scale of costs of two policies.
_FEW, _ROOM_SCALE_S = 3, 0.1
# A wait is avoidable if another upstream had less than this to do.
_FREE_S, _LONG_WAIT_S, _LATE_S = 0.1, 1.0, 3.0
_TENTH = 0.1

_ENGINE = routing.Engine(24, _CACHE_TOKENS, {})
_SERVICE = routing.Service("m", "/", 0, 0.0, 0.0, _ENGINE)
_ROUTE = routing.Route(
    "ask",
    "h",
    "/",
    routing.RequestKind.STREAM,
    12.0,
    _LATE_S,
    0.8,
    0,
    3,
    True,
    True,
    (_SMALL_MODEL, _LARGE_MODEL),
    (routing.Backend("m", 1.0),),
)


class Lateness(NamedTuple):
    """When heads came.

    Attributes:
        late_share: Share of the attempts whose head came later than 3 s.
        late_share_of_largest: The same of the tenth with most tokens.
        p50_s: Median of the times to the head.
        p99_s: 99th percentile of these times.
        avoidable_wait_share: Share of the attempts that waited for over 1 s
            while another upstream had next to nothing to do.
        busiest_to_mean: Time that the busiest upstream owes, relative to the
            mean of all, where both are means over the attempts.
        idle_share: Share of the upstreams that owe nothing while another one
            owes over 1 s.
        reread_share: Share of the tokens of shared parts that were read again.
    """

    late_share: float
    late_share_of_largest: float
    p50_s: float
    p99_s: float
    avoidable_wait_share: float
    busiest_to_mean: float
    idle_share: float
    reread_share: float


class _Prompt(NamedTuple):
    model: str
    subject: int
    shared_tokens: int
    own_tokens: int

    @property
    def tokens(self) -> int:
        return self.shared_tokens + self.own_tokens


class _Sent(NamedTuple):
    tokens: int
    shared_tokens: int
    is_read_again: bool
    head_s: float
    is_avoidable: bool
    most_owed_s: float
    mean_owed_s: float
    idle_share: float


class _Upstream:
    """Prefills prompts in order of arrival, and caches shared parts.

    Attributes:
        speed: Time that work takes there, relative to the usual one.
    """

    def __init__(self, speed: float, seed: int) -> None:
        self.speed = speed
        self.free_s = 0.0
        self._random = random.Random(seed)
        self._slowness_by_turn: list[float] = []
        self._tokens_by_part: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0

    def wait_s(self, now_s: float) -> float:
        return max(0.0, self.free_s - now_s)

    def slowness(self, now_s: float) -> float:
        """Returns how much longer than on average work takes at the moment."""
        turn = int(now_s / _SLOW_S)
        while len(self._slowness_by_turn) <= turn:
            is_slow = self._random.random() < _SLOW_SHARE
            self._slowness_by_turn.append(_SLOW_FACTOR if is_slow else 1.0)
        return self._slowness_by_turn[turn]

    def is_cached(self, prompt: _Prompt) -> bool:
        return (prompt.model, prompt.subject) in self._tokens_by_part

    def head_s(self, now_s: float, prompt: _Prompt) -> float:
        """Returns the time to the head of a prompt that is sent now."""
        tokens = prompt.own_tokens if self.is_cached(prompt) else prompt.tokens
        left_s = self.speed * tokens / _TOKENS_PER_S[prompt.model]
        at_s = now_s + self.wait_s(now_s)
        while True:
            slowness = self.slowness(at_s)
            turn_end_s = (int(at_s / _SLOW_S) + 1) * _SLOW_S
            # Rounding may leave a time at the end of its turn.
            turn_s = max(1e-6, turn_end_s - at_s)
            if left_s * slowness <= turn_s:
                return at_s + left_s * slowness - now_s
            left_s -= turn_s / slowness
            at_s += turn_s

    def take(self, now_s: float, prompt: _Prompt) -> float:
        """Queues a prompt; returns the time to its head."""
        head_s = self.head_s(now_s, prompt)
        self.free_s = now_s + head_s
        key = (prompt.model, prompt.subject)
        self._cached_tokens -= self._tokens_by_part.pop(key, 0)
        self._tokens_by_part[key] = prompt.shared_tokens
        self._cached_tokens += prompt.shared_tokens
        while self._cached_tokens > _CACHE_TOKENS:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens
        return head_s


class _Unrestricted:
    """Directory, roll-outs, rates, notices and zones without a restriction."""

    closed_zones: frozenset[str] = frozenset()

    def __getattr__(self, name: str) -> Callable[..., Any]:
        result_by_name: dict[str, Any] = {
            "wants_target": None,
            "limit_per_s": None,
            "pause_s": 0.0,
            "unreachable": frozenset(),
            "allows_version": True,
            "may_send": True,
        }
        return lambda *_: result_by_name.get(name, False)


class _Router(NamedTuple):
    """What a node chooses by."""

    balancer: balancing.Balancer
    times: response_times.ResponseTimes
    rates: speeds.Speeds


def _by_wait(_: random.Random) -> selection.Policy:
    """Returns the policy of earlier builds, which ignore speeds and age.

    It takes the first candidate whose wait exceeds the shortest one by no more
    than the time to prefill the shared part.
    """

    def select(
        costs_s: Sequence[float], misses_s: Sequence[float], _: float
    ) -> int:
        waits_s = list(map(operator.sub, costs_s, misses_s))
        bound_s = min(waits_s) + max(misses_s)
        return next(
            rank for rank, wait_s in enumerate(waits_s) if wait_s <= bound_s
        )

    return select


def _by_finish(_: random.Random) -> selection.Policy:
    """Returns the policy that takes the least cost, as if it were exact."""
    return lambda costs_s, *_: costs_s.index(min(costs_s))


def _of_few(generator: random.Random) -> selection.Policy:
    """Returns the policy that looks at the first and a few random ones."""

    def select(costs_s: Sequence[float], *_: object) -> int:
        others = range(1, len(costs_s))
        drawn = generator.sample(others, min(_FEW, len(others)))
        return min([0, *drawn], key=costs_s.__getitem__)

    return select


def _by_free_room(generator: random.Random) -> selection.Policy:
    """Returns the policy that draws candidates, the cheap ones more often."""

    def select(
        costs_s: Sequence[float], _: Sequence[float], age_s: float
    ) -> int:
        best_s, scale_s = min(costs_s), _ROOM_SCALE_S + age_s
        weights = [math.exp((best_s - each) / scale_s) for each in costs_s]
        return generator.choices(range(len(costs_s)), weights)[0]

    return select


_POLICIES: dict[str, Callable[[random.Random], selection.Policy]] = {
    "router": lambda _: selection.first_as_good,
    "router without reports": lambda _: selection.first_as_good,
    "told first": lambda _: selection.first_as_good,
    "own zone": lambda _: selection.first_as_good,
    "by wait": _by_wait,
    "by finish": _by_finish,
    "of few": _of_few,
    "by free room": _by_free_room,
}


class _Run:
    """A fleet whose attempts are placed by one policy."""

    def __init__(
        self,
        policy: str,
        nodes: int,
        upstream_count: int,
        zones: int,
        seed: int,
    ):
        self.fleet = backlog_fleet.BacklogFleet(
            nodes, upstream_count, zones, seed
        )
        self.fleet.draw_attempt = self._draw
        self.fleet.is_told_first = policy == "told first"
        self.sent: list[_Sent] = []
        self._policy = policy
        self._random = random.Random(seed)
        self._upstream_by_id = {
            each: _Upstream(_SPEEDS[number % len(_SPEEDS)], seed + number)
            for number, each in enumerate(self.fleet.zone_by_upstream)
        }
        # Upstreams that have read a shared part.
        self._readers: set[tuple[str, int]] = set()
        self._outstanding: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._router_by_node: dict[int, _Router] = {}
        generator = random.Random(seed)
        self._shared_tokens = [
            int(
                generator.lognormvariate(
                    _SHARED_TOKENS_LOG_MEAN, _SHARED_TOKENS_LOG_DEVIATION
                )
            )
            for _ in range(_SUBJECTS)
        ]

    def _now_s(self) -> float:
        return self.fleet.environment.monotonic_s()

    def _draw_prompt(self) -> _Prompt:
        is_small = self._random.random() < _SMALL_MODEL_SHARE
        subject = self._random.randrange(_SUBJECTS)
        own = self._random.lognormvariate(
            _OWN_TOKENS_LOG_MEAN, _OWN_TOKENS_LOG_DEVIATION
        )
        return _Prompt(
            _SMALL_MODEL if is_small else _LARGE_MODEL,
            subject,
            self._shared_tokens[subject],
            int(own) + 1,
        )

    def _draw(self, node: backlog_fleet.Node) -> backlog_fleet.Attempt:
        prompt, now_s = self._draw_prompt(), self._now_s()
        if self._policy in _POLICIES:
            upstream_id, expected_s, note_head = self._route(node, prompt)
        else:
            upstream_id = self._place(node, prompt)
            expected_s, note_head = 0.0, lambda _: None
        upstream = self._upstream_by_id[upstream_id]
        owed_s = [each.wait_s(now_s) for each in self._upstream_by_id.values()]
        is_long = upstream.wait_s(now_s) > _LONG_WAIT_S
        part = (prompt.model, prompt.subject)
        is_again = part in self._readers and not upstream.is_cached(prompt)
        self._readers.add(part)
        head_s = upstream.take(now_s, prompt)
        self.sent.append(
            _Sent(
                prompt.tokens,
                prompt.shared_tokens,
                is_again,
                head_s,
                is_long and min(owed_s) < _FREE_S,
                max(owed_s),
                sum(owed_s) / len(owed_s),
                owed_s.count(0.0) / len(owed_s)
                if max(owed_s) > _LONG_WAIT_S
                else 0.0,
            )
        )

        key = (id(node), upstream_id)
        self._outstanding[key] += 1

        def end() -> None:
            self._outstanding[key] -= 1
            note_head(head_s)

        return backlog_fleet.Attempt(upstream_id, expected_s, head_s, end)

    def _place(self, node: backlog_fleet.Node, prompt: _Prompt) -> str:
        """Returns the upstream that the oracle or the counts tell."""
        now_s = self._now_s()

        def cost(upstream_id: str) -> tuple[float, float]:
            upstream = self._upstream_by_id[upstream_id]
            is_local = self.fleet.zone_by_upstream[upstream_id] == node.zone
            tie = self._random.random()
            if self._policy == "least connections":
                return float(self._outstanding[id(node), upstream_id]), tie
            head_s = upstream.head_s(now_s, prompt)
            return head_s + (0.0 if is_local else _CROSS_ZONE_PENALTY_S), tie

        return min(self._upstream_by_id, key=cost)

    def _route(
        self, node: backlog_fleet.Node, prompt: _Prompt
    ) -> tuple[str, float, Callable[[float], None]]:
        """Returns the router's choice, what it expects, and a listener."""
        balancer, times, rates = self._router(node)
        parts = (
            forwarded_requests.PromptPart(
                f"s{prompt.subject}", prompt.shared_tokens
            ),
            forwarded_requests.PromptPart("own", prompt.own_tokens),
        )
        traits = forwarded_requests.RequestTraits(
            "r",
            "h",
            "/",
            None,
            None,
            prompt.model,
            False,
            parts,
            prompt.tokens,
            1,
            None,
            None,
        )
        incoming = forwarded_requests.IncomingRequest(
            b"POST", b"/", (), b"", 0.0, True
        )
        work = forwarded_requests.ForwardedWork(incoming, traits, _ROUTE)
        request = requests.Request(
            "r", "", "ask", work, None, None, 0.0, 0, None, True, ""
        )
        choice = balancer.choose(request, work, _SERVICE, prompt.model, set())
        if not isinstance(choice, balancing.Choice):
            raise AssertionError("each upstream may get the attempt")

        def note_head(head_s: float) -> None:
            times.note_first_byte(
                _SERVICE.name, prompt.model, prompt.tokens, head_s
            )
            if self._policy != "by wait":
                self._note_speed(choice.upstream, prompt.model, rates)

        return choice.upstream.entry.host_id, choice.work_s, note_head

    def _note_speed(
        self,
        upstream: upstreams.Upstream,
        model: str,
        rates: speeds.Speeds,
    ) -> None:
        """Records what a response tells of its upstream's speed."""
        now_s = self._now_s()
        actual = self._upstream_by_id[upstream.entry.host_id]
        slowness = actual.speed * actual.slowness(now_s)
        if self._policy == "router without reports":
            event_s = _EVENT_S * slowness
            rates.note_work(upstream, _SERVICE.name, model, event_s)
            return
        upstream.record_load(
            upstreams.LoadReport(frozenset(), 0, 0, 0.0, 0, now_s, slowness)
        )
        rates.note(upstream, 1.0, slowness)

    def _router(self, node: backlog_fleet.Node) -> _Router:
        if id(node) not in self._router_by_node:
            node.state.upstreams.replace_entries(
                upstreams.HostEntry(
                    host_id,
                    upstreams.HostRole.ENGINE,
                    _SERVICE.name,
                    "127.0.0.1:1",
                    zone,
                    False,
                    False,
                )
                for host_id, zone in self.fleet.zone_by_upstream.items()
            )
            times = response_times.ResponseTimes()
            rates = speeds.Speeds(node.state, node.backlogs.known_sums)
            node.backlogs.own_speeds = rates.own_figures
            restrictions: Any = _Unrestricted()
            balancer = balancing.Balancer(
                node.state,
                restrictions,
                restrictions,
                restrictions,
                restrictions,
                lambda _: True,
                restrictions,
                times,
                node.backlogs,
                rates,
            )
            balancer.select = _POLICIES[self._policy](self._random)
            if self._policy == "own zone":
                balancer.crossing_s = lambda *_: _FAR_S
            self._router_by_node[id(node)] = _Router(balancer, times, rates)
        return self._router_by_node[id(node)]


def simulate(
    policy: str,
    size: tuple[int, int, int],
    seed: int,
    seconds: float = _SECONDS,
) -> Lateness:
    """Returns the lateness of a fleet.

    Args:
        policy: A name in `_POLICIES`, "oracle" or "least connections".
        size: Nodes, upstreams and zones.
        seed: Seed of the prompts.
        seconds: Simulated time that is measured.
    """
    simulation = _Run(policy, *size, seed)
    # The prompts of the warm-up teach the nodes; larger fleets send more.
    warm_up_s = _WARM_UP_S * min(1.0, _LARGE_FLEET / size[0])
    simulation.fleet.run(warm_up_s, seconds)
    sent = simulation.sent
    sent = sent[int(len(sent) * warm_up_s / (warm_up_s + seconds)) :]
    heads_s = sorted(each.head_s for each in sent)
    by_tokens = sorted(sent, key=lambda each: each.tokens)
    largest = by_tokens[int(len(by_tokens) * (1 - _TENTH)) :]
    return Lateness(
        sum(each.head_s > _LATE_S for each in sent) / len(sent),
        sum(each.head_s > _LATE_S for each in largest) / len(largest),
        heads_s[len(heads_s) // 2],
        heads_s[int(len(heads_s) * 0.99)],
        sum(each.is_avoidable for each in sent) / len(sent),
        sum(each.most_owed_s for each in sent)
        / max(1e-9, sum(each.mean_owed_s for each in sent)),
        sum(each.idle_share for each in sent) / len(sent),
        sum(each.shared_tokens for each in sent if each.is_read_again)
        / max(1, sum(each.shared_tokens for each in sent)),
    )


async def run(seed: int, scale: float) -> report.Findings:
    """Returns the findings for fleets of several sizes."""
    figures: dict[str, float] = {}
    baseline: dict[str, float] = {}
    for size in _SIZES:
        # Larger fleets send more in less time.
        seconds = _SECONDS * scale * min(1.0, _LARGE_FLEET / size[0])
        router, oracle, counts, by_wait = (
            simulate(policy, size, seed, seconds)
            for policy in ("router", "oracle", "least connections", "by wait")
        )
        for name in Lateness._fields:
            figure = f"{name}_{size[0]}"
            figures[figure] = getattr(router, name)
            baseline[figure] = getattr(counts, name)
            figures[f"oracle_{figure}"] = getattr(oracle, name)
            figures[f"by_wait_{figure}"] = getattr(by_wait, name)
        figures[f"late_of_largest_to_oracle_{size[0]}"] = (
            router.late_share_of_largest + 0.001
        ) / (oracle.late_share_of_largest + 0.001)
    return report.Findings(figures, "least connections", baseline)
