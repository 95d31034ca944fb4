"""Copies of keyed topics never get older, and peers make them equal."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lycheegw.state import topics

KEYS = ("a", "b", "c")


class Copies(stateful.RuleBasedStateMachine):
    """Copies of a log that are updated by reads and from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[topics.TopicRecord] = []
        self.era = 1
        self.former_logs: dict[int, list[topics.TopicRecord]] = {}
        self.copies = [topics.TopicState(topics.Topic.ORDERS) for _ in range(3)]
        self.seen_by_copy: list[dict[str, topics.Position]] = [{}, {}, {}]

    @stateful.rule(
        key=strategies.sampled_from(KEYS), is_deleted=strategies.booleans()
    )
    def write(self, key: str, is_deleted: bool) -> None:
        value = None if is_deleted else b"%d" % len(self.log)
        self.log.append(topics.TopicRecord(key, len(self.log), value))

    @stateful.rule(
        key=strategies.sampled_from(KEYS), number=strategies.integers(0, 2)
    )
    def write_long(self, key: str, number: int) -> None:
        value = b"{%d}" % number + b"{equal}" * 100
        self.log.append(topics.TopicRecord(key, len(self.log), value))

    @stateful.rule(lost=strategies.integers(1, 6))
    def restore(self, lost: int) -> None:
        """Restores the log from a backup without its last records."""
        self.former_logs[self.era] = self.log
        self.era += 1
        self.log = self.log[:-lost]

    @stateful.rule(number=strategies.integers(0, 2))
    def read_changes(self, number: int) -> None:
        copy = self.copies[number]
        start = max(0, copy.end_offset)
        page = topics.TopicPage(
            self.log[start:], max(start, len(self.log)), False, era=self.era
        )
        copy.apply_page(page)
        if copy.era == self.era:
            assert copy.end_offset == len(self.log)

    @stateful.rule(number=strategies.integers(0, 2))
    def read_late(self, number: int) -> None:
        """A reply from before the last restore arrives."""
        former = self.former_logs.get(self.era - 1)
        if former is not None:
            page = topics.TopicPage(
                list(_newest(former).values()),
                len(former),
                True,
                era=self.era - 1,
            )
            self.copies[number].apply_page(page)

    @stateful.rule(
        number=strategies.integers(0, 2), lag=strategies.integers(0, 3)
    )
    def read_newest(self, number: int, lag: int) -> None:
        end = max(0, len(self.log) - lag)
        self.copies[number].apply_page(
            topics.TopicPage(
                list(_newest(self.log[:end]).values()), end, True, era=self.era
            )
        )

    @stateful.rule(
        source=strategies.integers(0, 2),
        destination=strategies.integers(0, 2),
        sent_offset=strategies.integers(0, 30),
    )
    def send_update(
        self, source: int, destination: int, sent_offset: int
    ) -> None:
        sender, receiver = self.copies[source], self.copies[destination]
        if not sender.is_known:
            return
        from_offset, records = sender.changes_since(
            min(sent_offset, sender.end_offset)
        )
        receiver.merge(from_offset, sender.end_offset, records, era=sender.era)

    @stateful.rule(
        source=strategies.integers(0, 2),
        destination=strategies.integers(0, 2),
        sent_offset=strategies.integers(0, 30),
        is_known=strategies.booleans(),
    )
    def send_patches(
        self, source: int, destination: int, sent_offset: int, is_known: bool
    ) -> None:
        """Sends changes of long values, which the receiver may not know."""
        sender, receiver = self.copies[source], self.copies[destination]
        if not sender.is_known:
            return
        known = receiver.digest_by_key() if is_known else {}
        offset = min(sent_offset, sender.end_offset)
        from_offset, changed = sender.changes_since(offset)
        records, patched = [], []
        for record in changed:
            by_changes = None
            if from_offset or is_known:
                by_changes = sender.patched_record(
                    record.key, offset, known.get(record.key)
                )
            if by_changes is None:
                records.append(record)
            else:
                patched.append(by_changes)
        receiver.merge(
            from_offset, sender.end_offset, records, patched, sender.era
        )

    @stateful.invariant()
    def copies_equal_the_log_up_to_their_end(self) -> None:
        for copy in self.copies:
            if copy.is_known:
                log = self.former_logs.get(copy.era, self.log)
                expected = {
                    key: record.value
                    for key, record in _newest(log[: copy.end_offset]).items()
                }
                assert copy.values() == expected

    @stateful.invariant()
    def no_key_gets_older(self) -> None:
        for copy, seen in zip(self.copies, self.seen_by_copy, strict=True):
            for key in KEYS:
                position = topics.Position(copy.era, copy.offset_of(key))
                assert position >= seen.get(key, topics.Position(0, -1))
                seen[key] = position


def _newest(log: list[topics.TopicRecord]) -> dict[str, topics.TopicRecord]:
    newest: dict[str, topics.TopicRecord] = {}
    for record in log:
        newest[record.key] = record
    return {key: each for key, each in newest.items() if each.value is not None}


TestCopies: Any = Copies.TestCase
TestCopies.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None
)


def test_deletion_before_the_first_read_reaches_an_older_copy() -> None:
    """DRAIN: a copy kept an upstream that was gone, yet counted as current."""
    older = topics.TopicState(topics.Topic.UPSTREAMS)
    newer = topics.TopicState(topics.Topic.UPSTREAMS)
    older.apply_page(
        topics.TopicPage([topics.TopicRecord("a", 0, b"0")], 1, True)
    )
    newer.apply_page(topics.TopicPage([], 2, True))
    from_offset, records = newer.changes_since(older.end_offset)
    older.merge(from_offset, newer.end_offset, records)
    assert older.end_offset == 2
    assert older.values() == {}


def test_records_with_an_equal_digest_are_not_sent_again() -> None:
    copy = topics.TopicState(topics.Topic.UPSTREAMS, lambda value: value[:1])
    copy.apply_page(
        topics.TopicPage(
            [
                topics.TopicRecord("a", 0, b"x1"),
                topics.TopicRecord("b", 1, b"y1"),
                topics.TopicRecord("a", 2, b"x2"),
            ],
            3,
            False,
        )
    )
    assert copy.changes_since(2) == (2, [])
    copy.apply_page(
        topics.TopicPage([topics.TopicRecord("a", 3, b"z")], 4, False)
    )
    assert [each.key for each in copy.changes_since(3)[1]] == ["a"]


def _long(number: int) -> bytes:
    return b"{%d}" % number + b"{equal}" * 100


def _copy(*numbers: int) -> topics.TopicState:
    """Returns a copy that has read versions of a long value, one by one."""
    copy = topics.TopicState(topics.Topic.ORDERS)
    for number in numbers:
        record = topics.TopicRecord("a", number, _long(number))
        copy.apply_page(topics.TopicPage([record], number + 1, False))
    return copy


@pytest.mark.parametrize("fault", ["former", "patch", "digest"])
def test_patch_that_does_not_give_the_value_is_a_gap(fault: str) -> None:
    """A copy never gets a value that the store did not have."""
    patched = _copy(1, 2).patched_record("a", 2)
    assert patched is not None
    (change,) = patched.changes
    receiver = _copy(1)
    if fault == "former":
        receiver = _copy(0)
    elif fault == "patch":
        change = change._replace(patch=(b"other", *change.patch))
    else:
        change = change._replace(digest=b"other")
    broken = patched._replace(changes=(change,))
    assert receiver.merge(1, 3, [], [broken]) is None
    assert receiver.value("a") == _copy(0 if fault == "former" else 1).value(
        "a"
    )
    assert _copy(1).merge(1, 3, [], [patched]) == {"a"}


def test_topic_of_a_restored_store_replaces_a_copy_with_later_offsets() -> None:
    """CONFIG, issue 49: orders below the former end were never applied."""
    copy = topics.TopicState(topics.Topic.ORDERS)
    records = [
        topics.TopicRecord(key, at, b"1") for at, key in enumerate("abc")
    ]
    copy.apply_page(topics.TopicPage(records, 3, True, era=1))
    restored = [records[0], topics.TopicRecord("b", 1, b"2")]
    changed = copy.apply_page(topics.TopicPage(restored, 2, True, era=2))
    assert changed == {"b", "c"}
    assert copy.values() == {"a": b"1", "b": b"2"}
    assert copy.position == topics.Position(2, 2)
    # Neither a late reply nor a peer that missed the restore undo it.
    assert not copy.apply_page(topics.TopicPage(records, 3, True, era=1))
    assert not copy.merge(0, 3, records, era=1)
    assert copy.values() == {"a": b"1", "b": b"2"}
