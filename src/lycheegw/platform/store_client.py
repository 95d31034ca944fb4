"""Client of the platform's metadata store, a log with keyed topics."""

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import struct
from typing import Any
import urllib.parse

from lycheegw.state import errors
from lycheegw.state import json_fields
from lycheegw.state import memory_budget
from lycheegw.state import topics
from lycheegw.state import verdicts
from lycheegw.transport import connection_pool

__all__ = ["StoreClient"]

_NAME_BY_TOPIC = {
    topics.Topic.ORDERS: "keyed.op",
    topics.Topic.UPSTREAMS: "keyed.servers",
    topics.Topic.OUTCOMES: "keyed.status",
    topics.Topic.NODES: "keyed.nodes",
    topics.Topic.BLOCKED_PARTS: "keyed.blocked",
}
# Timeout of a call, beyond the wait that it requests. The store responds in
# 4 ms, so a connection that is silent for a second should be replaced.
_TIMEOUT_S = 1.0
# Reading all keys of a deployment with hundreds of routes takes longer.
_NEWEST_TIMEOUT_S = 2.0
_MAX_READ_KB = 1024
# Longest reply that is read: a page of 1 MB, or one longer record, such as a
# manifest of 20,000 routes in base64. Less is read if memory is short.
_MAX_REPLY_BYTES = 8 * 1024 * 1024
# Rate at which a long reply must arrive, in bytes a second; a fifth of what a
# link of 5 Mbit/s passes.
_MIN_REPLY_RATE = 128 * 1024
_MAX_PAGES = 64
_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
# Number of the backup that the store runs from; rises with each restore.
_ERA_HEADER = b"store-era"
_MAX_ERA_DIGITS = 18


class StoreClient:
    """Reads and writes the store's keyed topics over HTTP."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        address: str,
        wait_for_rate_limit: Callable[[bool], Awaitable[float]],
    ):
        self._pool = pool
        self._address = address
        self._wait_for_rate_limit = wait_for_rate_limit
        # Latest era that a reply named, 0 as long as none did.
        self._era = 0

    async def newest(self, topic: topics.Topic) -> topics.TopicPage:
        """Returns the newest record of every key; raises errors.StoreError."""
        held = self._pool.budget.open()
        try:
            return await self._newest(topic, held)
        finally:
            held.release()

    async def _newest(
        self, topic: topics.Topic, held: memory_budget.Reservation
    ) -> topics.TopicPage:
        """Returns the records of all pages, for which it reserves memory."""
        records: list[topics.TopicRecord] = []
        after = None
        end_offset = None
        first_era = None
        for _ in range(_MAX_PAGES):
            query = {"topic": _NAME_BY_TOPIC[topic], "part": "0"}
            if after is not None:
                query["after"] = after
            era, body = await self._call(
                b"GET", "/v1/log-newest", query, b"", _NEWEST_TIMEOUT_S
            )
            if first_era is None:
                first_era = era
            if era != first_era:
                raise errors.StoreError(
                    f"{topic.value}: pages of the eras {first_era} and {era}"
                )
            if not held.grow(len(body)):
                raise errors.StoreError(
                    f"{topic.value}: no memory left for all pages"
                )
            page = _decode_page(body)
            records += page.records
            if end_offset is None:
                # Pages are not a consistent snapshot. Records written between
                # two pages are read again with the changes since the first.
                end_offset = page.end_offset
            if page.is_complete:
                return topics.TopicPage(records, end_offset, True, era=era)
            after = page.records[-1].key
        raise errors.StoreError(f"{topic.value}: more than {_MAX_PAGES} pages")

    async def changes(
        self,
        topic: topics.Topic,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> topics.TopicPage:
        """Returns records since an offset.

        Args:
            topic: The topic.
            offset: Offset of the first record.
            wait_s: Seconds to wait for a record if there is none.
            timeout_s: Seconds within which a short reply must arrive, beyond
                `wait_s`, None for `_TIMEOUT_S`; a long one may take longer.

        Raises:
            errors.StoreError: The call failed.
        """
        query = {
            "topic": _NAME_BY_TOPIC[topic],
            "part": "0",
            "from": str(offset),
            "max_size": str(_MAX_READ_KB),
        }
        if wait_s:
            query["wait_ms"] = str(int(wait_s * 1000))
        if timeout_s is None:
            timeout_s = _TIMEOUT_S
        era, body = await self._call(
            b"GET", "/v1/log-read", query, b"", timeout_s + wait_s
        )
        return _decode_changes(body, offset)._replace(era=era)

    async def put(
        self,
        topic: topics.Topic,
        key: str,
        value: bytes,
        expected_end: int | None,
    ) -> topics.Position:
        """Writes a record and returns its position; raises StoreError."""
        query = {"topic": _NAME_BY_TOPIC[topic], "part": "0"}
        if expected_end is not None:
            query["at"] = str(expected_end)
        key_bytes = key.encode()
        record = bytes([len(key_bytes)]) + key_bytes + value
        body = _RECORD_LENGTH.pack(len(record)) + record
        era, answer = await self._call(
            b"POST", "/v1/log-append", query, body, _TIMEOUT_S
        )
        try:
            offset = json_fields.read(
                "reply", json_fields.load_object("reply", answer), "offset", int
            )
        except errors.RecordError as error:
            raise errors.StoreError(
                f"malformed reply to an append: {error!r}", True
            ) from error
        return topics.Position(era, offset)

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Returns the store's era and the body of a successful call.

        Raises:
            errors.StoreError: The call failed.
        """
        is_write = method == b"POST"
        await self._wait_for_rate_limit(is_write)
        request = connection_pool.ClientRequest(
            method,
            f"{path}?{urllib.parse.urlencode(query)}".encode(),
            (
                (b"Host", self._address.encode()),
                (b"Content-Length", str(len(body)).encode()),
            ),
            body,
        )
        is_answered = False
        try:
            head, answer = await connection_pool.fetch(
                self._pool,
                "store",
                self._address,
                request,
                timeout_s,
                _MAX_REPLY_BYTES,
                _MIN_REPLY_RATE,
            )
            is_answered = True
        except errors.UpstreamError as error:
            may_have_run = error.verdict is not verdicts.RunVerdict.NOT_RUN
            raise errors.StoreError(
                f"{path}: {error}", is_write and may_have_run
            ) from error
        finally:
            if not is_answered:
                # Other idle connections may be as silent as this one was.
                self._pool.close_idle("store")
        if head.status != 200:
            raise _error_of_status(path, head.status, answer)
        try:
            self._era = _era_of(head, self._era)
        except errors.RecordError as error:
            raise errors.StoreError(f"{path}: {error}", is_write) from error
        return self._era, answer


def _era_of(head: connection_pool.RawResponseHead, known: int) -> int:
    """Returns the era of a reply; raises errors.RecordError.

    Args:
        head: Head of the reply.
        known: Era of the latest reply, 0 if there was none.
    """
    value = head.value(_ERA_HEADER)
    if value is None and not known:
        return 0
    if value is None or not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
        raise errors.RecordError([f"{_ERA_HEADER.decode()}: {value!r}"])
    if int(value) < known:
        raise errors.RecordError(
            [f"{_ERA_HEADER.decode()}: {int(value)} after {known}"]
        )
    return int(value)


def _error_of_status(
    path: str, status: int, answer: bytes
) -> errors.StoreError:
    message = f"{path}: status {status} {answer[:200]!r}"
    if status in {409, 412}:
        return errors.StoreConflictError(message)
    if status == 410:
        return errors.StoreHistoryLostError(message)
    # Every other status means that the store changed nothing.
    return errors.StoreError(message)


def _decode_page(body: bytes) -> topics.TopicPage:
    """Returns a page of newest records; raises errors.StoreError."""
    try:
        page = json_fields.load_object("page", body)
        records = [
            _decode_entry(f"entries/{index}", entry)
            for index, entry in enumerate(
                json_fields.read("page", page, "entries", list)
            )
        ]
        is_last = not page.get("has_more") or not records
        end_offset = json_fields.read("page", page, "end_offset", int)
    except errors.RecordError as error:
        raise errors.StoreError(f"malformed page: {error}") from error
    return topics.TopicPage(records, end_offset, is_last)


def _decode_entry(path: str, entry: Any) -> topics.TopicRecord:
    """Returns a record of a page; raises errors.RecordError."""
    if not (isinstance(entry, dict) and isinstance(entry.get("key"), str)):
        raise errors.RecordError([f"{path}: has no key"])
    try:
        value = base64.b64decode(entry["value"])
    except (KeyError, TypeError, ValueError) as error:
        raise errors.RecordError([f"{path}/value: not base64"]) from error
    return topics.TopicRecord(
        # As in a log read: another writer's key may be no text.
        entry["key"].encode("utf-8", "replace").decode(),
        json_fields.read(path, entry, "offset", int),
        value,
    )


def _decode_changes(body: bytes, offset: int) -> topics.TopicPage:
    """Returns the records of a log read; raises errors.StoreError."""
    if len(body) < _READ_HEADER.size:
        raise errors.StoreError(
            f"log read of {len(body)} bytes, not {_READ_HEADER.size} or more"
        )
    end_offset, first_offset = _READ_HEADER.unpack_from(body)
    if first_offset > offset:
        raise errors.StoreHistoryLostError(f"log begins at {first_offset}")
    records = []
    position = _READ_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            break
        data = body[position : position + length]
        records.append(_decode_record(offset, data))
        position += length
        offset += 1
    if not records and offset < end_offset:
        raise errors.StoreHistoryLostError(
            f"no record at {offset} in a read of {len(body)} bytes, though the"
            f" log ends at {end_offset}"
        )
    # A read that reached its size limit ends before the log does.
    has_more = offset < end_offset
    end = offset if has_more else end_offset
    return topics.TopicPage(records, end, False, has_more)


def _decode_record(offset: int, data: bytes) -> topics.TopicRecord:
    key_length = data[0] if data else 0
    key = data[1 : 1 + key_length].decode("utf-8", "replace")
    value = data[1 + key_length :]
    return topics.TopicRecord(key, offset, value or None)
