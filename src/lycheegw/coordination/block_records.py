"""Keeps blocked parts of prompts in the store.

Nodes learn of blocked parts from each other. The records are for those that
can't: a node that starts again, perhaps with all others at the same time, and
one whose peers in other zones are out of reach. A node writes its records again
if a restored store lacks them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import json
import reprlib

from absl import logging

from lycheegw.coordination import interfaces
from lycheegw.coordination import prompt_parts
from lycheegw.coordination import rendezvous
from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import node_state
from lycheegw.state import topics

__all__ = ["BlockRecords", "is_reader"]

# Interval at which failed writes are tried again, and at which a node without
# peers in some zone reads the records.
_INTERVAL_S = 2.0
# Interval at which a starting node checks whether it is registered.
_START_POLL_INTERVAL_S = 0.05
# Nodes in touch with each other that read the records for all of them.
_READERS = 3


def is_reader(
    own_id: str,
    live_by_zone: Mapping[str, Sequence[str]],
    zones: Set[str],
    member_count: int,
) -> bool:
    """Returns whether a node reads the records again for itself and its peers.

    Nodes that are alone, or in touch with no node of some zone, can't hear what
    was blocked elsewhere. Those in touch with each other need one reader; the
    others serve if it can't reach the store.

    Args:
        own_id: The node.
        live_by_zone: Ids of the nodes that it takes to be live.
        zones: Zones of all registered nodes.
        member_count: Number of all registered nodes.
    """
    live_ids = {
        own_id,
        *(each for ids in live_by_zone.values() for each in ids),
    }
    is_alone = len(live_ids) <= 1 < member_count
    if not is_alone and zones <= live_by_zone.keys():
        return False
    return own_id in rendezvous.order("blocks", live_ids)[:_READERS]


class BlockRecords:
    """Writes verdicts of this node on blocked parts, and reads those of all."""

    def __init__(
        self,
        state: node_state.NodeState,
        store: interfaces.KeyedStore,
        learn: Callable[[Iterable[prompt_parts.PartVerdict]], None],
        is_restarted: Callable[[], bool | None],
        reads_again: Callable[[], bool],
    ):
        """Creates an empty set of records.

        Args:
            state: State of this node.
            store: The store.
            learn: Called with the verdicts that were read.
            is_restarted: Returns whether this node ran before, None as long as
                this is unknown.
            reads_again: Returns whether this node has to read the records for
                itself and its peers, as nodes exist that none of them hears.
        """
        self._state = state
        self._store = store
        self._learn = learn
        self._is_restarted = is_restarted
        self._reads_again = reads_again
        self._unwritten: dict[str, bytes] = {}
        self._written: dict[str, bytes] = {}
        self._is_restored = False
        self._recorded: set[str] = set()
        self._skipped_by_id: dict[str, bytes] = {}
        # Parts whose block this node writes; it also writes the end of it, as
        # its own write may arrive after that of another node.
        self._blocked_here: set[str] = set()
        self._has_unwritten = asyncio.Event()

    def note_verdict(
        self, verdict: prompt_parts.PartVerdict, is_own: bool
    ) -> None:
        """Writes a verdict soon, if it is this node's and others need it."""
        if verdict.status is prompt_parts.PartStatus.BLOCKED:
            self._recorded.add(verdict.part_id)
            if is_own:
                self._blocked_here.add(verdict.part_id)
        elif verdict.part_id not in self._recorded:
            return
        is_end = verdict.status is prompt_parts.PartStatus.SOUND
        if is_own or (is_end and verdict.part_id in self._blocked_here):
            self._unwritten[verdict.part_id] = self._encode(verdict)
            self._has_unwritten.set()

    def note_new_era(self) -> None:
        """Lets this node look which of its records a restored store lacks."""
        self._is_restored = True
        self._has_unwritten.set()

    async def run(self) -> None:
        """Reads and writes records until cancelled."""
        while (is_restarted := self._is_restarted()) is None:
            await self._state.environment.sleep(_START_POLL_INTERVAL_S)
        while is_restarted and not await self._load():
            await self._state.environment.sleep(_INTERVAL_S)
        while True:
            try:
                async with asyncio.timeout(_INTERVAL_S):
                    await self._has_unwritten.wait()
            except TimeoutError:
                if self._reads_again():
                    await self._load()
                continue
            if not await self._write():
                await self._state.environment.sleep(_INTERVAL_S)

    async def _write(self) -> bool:
        """Writes what is unwritten; returns whether all of it was written."""
        if self._is_restored and not await self._find_lost():
            return False
        for part_id, value in list(self._unwritten.items()):
            try:
                await self._store.put(
                    topics.Topic.BLOCKED_PARTS, part_id, value, None
                )
            except errors.StoreError as error:
                self._state.counters.add("suspects.record_failed")
                logging.warning("recording part %s failed: %s", part_id, error)
                return False
            self._written[part_id] = value
            if self._unwritten.get(part_id) == value:
                del self._unwritten[part_id]
        if not (self._unwritten or self._is_restored):
            self._has_unwritten.clear()
        return True

    async def _find_lost(self) -> bool:
        """Finds own records that the store lacks; False if it didn't answer."""
        # A further restore may be noted during the read.
        self._is_restored = False
        stored = await self._read()
        if stored is None:
            self._is_restored = True
            return False
        revision_by_id = {each.part_id: each.revision for each in stored}
        now_s = self._state.environment.wall_s()
        for part_id, value in self._written.items():
            own = _decode(part_id, value, now_s)
            if revision_by_id.get(part_id, -1) < own.revision:
                self._unwritten.setdefault(part_id, value)
                self._state.counters.add("suspects.recorded_again")
        return True

    async def _load(self) -> bool:
        """Reads all records; returns whether the store answered."""
        verdicts = await self._read()
        if verdicts is None:
            return False
        self._recorded.update(verdict.part_id for verdict in verdicts)
        self._learn(verdicts)
        return True

    async def _read(self) -> list[prompt_parts.PartVerdict] | None:
        """Returns the verdicts of all records, None without an answer."""
        try:
            page = await self._store.newest(topics.Topic.BLOCKED_PARTS)
        except errors.StoreError as error:
            self._state.counters.add("store.read_failed.blocked_parts")
            logging.warning("reading blocked parts failed: %s", error)
            return None
        self._state.counters.add("store.read.blocked_parts")
        return self._decode_all(page.records)

    def _encode(self, verdict: prompt_parts.PartVerdict) -> bytes:
        now_s = self._state.environment.wall_s()
        fields = {
            "status": verdict.status.name,
            "revision": verdict.revision,
            "at_s": now_s - verdict.age_s,
            "first_crash_s": now_s - verdict.crashes_age_s,
        }
        return json.dumps(fields).encode()

    def _decode_all(
        self, records: Iterable[topics.TopicRecord]
    ) -> list[prompt_parts.PartVerdict]:
        """Returns the verdicts of the records that can be read."""
        now_s = self._state.environment.wall_s()
        verdicts, skipped = [], {}
        for key, _, value in records:
            if value is None:
                continue
            try:
                verdicts.append(_decode(key, value, now_s))
            except errors.RecordError as error:
                skipped[key] = value
                if self._skipped_by_id.get(key) != value:
                    self._state.counters.add("suspects.record_unreadable")
                    logging.warning("skipping an unreadable record: %s", error)
        self._skipped_by_id = skipped
        return verdicts


def _decode(
    part_id: str, value: bytes, now_s: float
) -> prompt_parts.PartVerdict:
    """Returns the verdict of a record; raises errors.RecordError."""
    fields = json_fields.load_object(part_id, value)
    status = json_fields.read(part_id, fields, "status", str)
    if status not in prompt_parts.PartStatus.__members__:
        raise errors.RecordError([f"{part_id}/status: {reprlib.repr(status)}"])
    at_s = json_fields.read(part_id, fields, "at_s", float)
    first_crash_s = json_fields.read(part_id, fields, "first_crash_s", float)
    return prompt_parts.PartVerdict(
        part_id,
        prompt_parts.PartStatus[status],
        json_fields.read(part_id, fields, "revision", int),
        max(0.0, now_s - at_s),
        max(0.0, now_s - first_crash_s),
    )
