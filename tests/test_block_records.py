"""Records of blocked parts that can't be used hide no others."""

import json
from typing import Any

import pytest

from lycheegw.coordination import block_records
from lycheegw.coordination import prompt_parts
from lycheegw.state import topics
from tests import fakes

_FIELDS = {
    "status": "BLOCKED",
    "revision": 2,
    "at_s": 990.0,
    "first_crash_s": 980.0,
}


def _record(**changes: Any) -> bytes:
    return json.dumps({**_FIELDS, **changes}).encode()


class _Store:
    """A store with records of blocked parts."""

    def __init__(self, value_by_key: dict[str, bytes]) -> None:
        self.value_by_key = value_by_key

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        assert topic is topics.Topic.BLOCKED_PARTS
        records = [
            topics.TopicRecord(key, index, value)
            for index, (key, value) in enumerate(self.value_by_key.items())
        ]
        return topics.TopicPage(records, len(records), True)


# Guards against nodes that no longer read the blocked parts, or can't tell them
# to their peers, because of one record by another writer.
@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"[" * 100_000, id="nested"),
        pytest.param(_record(revision=int("9" * 400)), id="revision"),
        pytest.param(_record(revision=2**63), id="revision of 64 bits"),
        pytest.param(_record(at_s=int("9" * 400)), id="time"),
        pytest.param(_record(at_s=float("nan")), id="no time"),
        pytest.param(_record(first_crash_s=-float("inf")), id="crash"),
        pytest.param(_record(status=["BLOCKED"]), id="status of another type"),
        pytest.param(_record(status="ODD"), id="status"),
        pytest.param(b"[]", id="list"),
        pytest.param(b"\xff", id="not UTF-8"),
    ],
)
async def test_malformed_record_does_not_hide_the_others(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    state = fakes.node(fakes.ManualClock(), "n1")
    store = _Store({"odd": value, "p1": _record()})
    learned: list[prompt_parts.PartVerdict] = []
    records = block_records.BlockRecords(
        state,
        store,  # type: ignore[arg-type]
        learned.extend,
        lambda: True,
        lambda: True,
    )
    for _ in range(3):
        learned.clear()
        assert await records._load()
        assert [each.part_id for each in learned] == ["p1"]
        assert learned[0].status is prompt_parts.PartStatus.BLOCKED
        assert learned[0].age_s == 10.0
    assert len(caplog.records) == 1
    store.value_by_key["odd"] = value + b" "
    assert await records._load()
    name = "suspects.record_unreadable"
    assert state.counters.by_name[name] == len(caplog.records) == 2
