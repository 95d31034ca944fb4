"""Plans that meet the quality target at least cost, with partial ratings."""

import random

from lycheegw.coordination import version_plans
from lycheegw.coordination import version_selection
from lycheegw.measure import deployments
from lycheegw.protocol import quality_codec
from lycheegw.protocol import record_codec
from lycheegw.standins import engine
from lycheegw.state import clocks
from lycheegw.state import limits
from lycheegw.state import node_state
from lycheegw.state import quality
from lycheegw.state import record_validation
from lycheegw.state import requests
from tests import test_path

FREE = version_selection.VersionChoice(
    ("full-1", "mini-1", "full-2"), False, False
)
DEPLOYMENT = deployments.METSATOO


class World:
    """A planner and its quality table; a part of the answers is rated."""

    def __init__(self, seed: int = 1):
        identity = node_state.Identity("n1", "z1", "r1")
        self.state = node_state.create(
            identity, limits.Limits(), clocks.seeded(seed)
        )
        for record in deployments.records(DEPLOYMENT):
            self.publish(record)
        self.table = quality.QualityTable()
        self.planner = version_plans.Planner(self.state, self.table)
        self.random = random.Random(seed)
        self.rated = 0

    def publish(self, record: object) -> None:
        offset = self.state.catalog.offset + 1
        record_validation.apply(
            self.state.catalog, offset, 0.0, record_codec.decode(record)
        )

    def plan(
        self,
        kind: str,
        choice: version_selection.VersionChoice = FREE,
        stream: bool = False,
        session: str | None = None,
    ) -> tuple[version_plans.Step, ...]:
        now_s = self.state.environment.monotonic_s()
        work = requests.ModelWork(
            DEPLOYMENT.model, None, ({"content": kind},), 10, stream, None
        )
        request = requests.Request(
            "r", "metsatoo-1", kind, work, session, None, now_s + 60, 5, None,
            True, "f",
        )  # fmt: skip
        return self.planner.plan(request, work, choice)

    def run(
        self, kind: str, calls: int, mini_quality: float
    ) -> tuple[float, float]:
        """Returns the mean cost and the share of good answers over calls."""
        cost = good = 0.0
        for index in range(calls):
            question = [{"content": f"{kind} {self.rated} {index}"}]
            for step in self.plan(kind):
                share = mini_quality if step.version == "mini-1" else 0.95
                answer = engine.sample_answer(
                    question, "m", step.version, share
                )
                cost += deployments.cost_per_1k_tokens(step.version)
                if self.random.random() < 0.5:
                    self.rate(kind, step.version, answer)
                if answer.confidence >= step.min_confidence:
                    good += answer.is_good
                    break
        return cost / calls, good / calls

    def rate(
        self, kind: str, version: str, answer: engine.SampledAnswer
    ) -> None:
        key = quality.QualityKey("metsatoo-1", kind, DEPLOYMENT.model, version)
        self.rated += 1
        self.table.add_rating(
            key, self.rated, answer.confidence, answer.is_good
        )


def test_cheap_version_is_chosen_for_an_easy_kind() -> None:
    world = World()
    world.run("easy", 300, 0.95)
    cost, good = world.run("easy", 300, 0.95)
    assert cost < 0.4
    assert good >= DEPLOYMENT.quality_target


def test_cascade_meets_the_target_at_lower_cost_for_a_hard_kind() -> None:
    world = World()
    world.run("hard", 500, 0.6)
    cost, good = world.run("hard", 500, 0.6)
    assert cost < 0.75
    assert good >= DEPLOYMENT.quality_target
    assert len(world.plan("hard")) == 2


def test_plans_follow_a_change_of_quality() -> None:
    world = World()
    world.run("kind", 500, 0.95)
    world.run("kind", 600, 0.2)
    _, good = world.run("kind", 400, 0.2)
    assert good >= DEPLOYMENT.quality_target


def test_first_version_answers_mostly_without_ratings() -> None:
    world = World()
    chosen = [world.plan("kind")[-1].version for _ in range(200)]
    assert chosen.count("full-1") > 150


def test_sessions_pinned_versions_and_streams_run_one_version() -> None:
    world = World()
    world.run("hard", 300, 0.6)
    pinned = version_selection.VersionChoice(("mini-1",), True, False)
    for _ in range(100):
        assert world.plan("hard", pinned) == (
            version_plans.Step("mini-1", 0.0),
        )
        assert world.plan("hard", session="s") == (
            version_plans.Step("full-1", 0.0),
        )
        assert len(world.plan("hard", stream=True)) == 1


def test_other_arm_of_a_rollout_gets_no_requests() -> None:
    world = World()
    rollout = {
        "from_version": "full-1",
        "to_version": "full-2",
        "share": 0.1,
    }
    world.publish(
        test_path.harness.record("rollout", DEPLOYMENT.model, rollout)
    )
    used = {step.version for _ in range(300) for step in world.plan("kind")}
    assert used == {"full-1", "mini-1"}


def test_rows_merge_in_any_order_and_count_each_rating_once() -> None:
    near, far = World(), World()
    answer = engine.SampledAnswer("", True, 0.7)
    for _ in range(5):
        near.rate("kind", "mini-1", answer)
    rows = quality_codec.decode(
        quality_codec.encode(list(near.table._row_by_key.values()))
    )
    for each in (rows, rows[::-1], rows):
        far.table.merge(each)
    key = quality.QualityKey("metsatoo-1", "kind", DEPLOYMENT.model, "mini-1")
    assert far.table.position == 5
    # Ratings that were counted already are skipped, later ones are added.
    assert far.table.add_rating(key, 3, 0.7, True) == []
    assert [row.seen for row in far.table.add_rating(key, 6, 0.7, True)] == [
        6,
        6,
    ]


def test_malformed_rows_are_dropped() -> None:
    key = quality.QualityKey("o", "k", "m", "v")
    short = quality.QualityRow(key, 1, 1, (1.0,), (1.0,))
    over = quality.QualityRow(
        key,
        1,
        1,
        (2.0,) * quality.CONFIDENCE_BINS,
        (1.0,) * quality.CONFIDENCE_BINS,
    )
    assert quality_codec.decode(quality_codec.encode([short, over])) == []
