"""The store's client replaces connections that went silent."""

import asyncio
import json
import struct

import pytest

from lycheegw.platform import store_client
from lycheegw.state import clocks
from lycheegw.state import errors
from lycheegw.state import memory_budget
from lycheegw.state import topics
from lycheegw.transport import connection_pool

_NO_RECORDS = struct.pack(">QQ", 0, 0)
_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + _NO_RECORDS


class _Server:
    """Server that replies on connections until they are made silent."""

    def __init__(self) -> None:
        self.silent: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()
        self.reply_delay_s = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if writer not in self.silent:
                    await asyncio.sleep(self.reply_delay_s)
                    writer.write(_REPLY)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def _no_wait(is_write: bool) -> float:
    return 0.0


async def test_read_after_a_silent_one_uses_a_new_connection() -> None:
    """reset_conns, silent: other idle connections may be as dead."""
    server = _Server()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    pool = connection_pool.ConnectionPool(clocks.system())
    client = store_client.StoreClient(pool, f"{host}:{port}", _no_wait)
    server.reply_delay_s = 0.05
    await asyncio.gather(
        *(client.changes(topics.Topic.ORDERS, 0, 0.0) for _ in range(3))
    )
    assert len(server.open) == 3
    server.silent = set(server.open)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await client.changes(topics.Topic.ORDERS, 0, 0.0)
    page = await client.changes(topics.Topic.ORDERS, 0, 0.0)
    assert page.end_offset == 0
    pool.close()
    listener.close()


def _log(end_offset: int, *records: bytes) -> bytes:
    body = struct.pack(">QQ", end_offset, 0)
    return body + b"".join(
        struct.pack(">I", len(each)) + each for each in records
    )


def test_read_that_ends_before_the_log_has_more() -> None:
    record = b"\x01kvalue"
    page = store_client._decode_changes(_log(5, record, record), 2)
    assert [each.offset for each in page.records] == [2, 3]
    assert (page.end_offset, page.has_more) == (4, True)


def test_record_that_is_cut_off_is_left_to_the_next_read() -> None:
    record = b"\x01kvalue"
    page = store_client._decode_changes(_log(4, record, record)[:-2], 2)
    assert [each.value for each in page.records] == [b"value"]
    assert (page.end_offset, page.has_more) == (3, True)


def test_key_that_is_no_text_does_not_hide_the_other_records() -> None:
    """Its record is skipped by the readers."""
    page = store_client._decode_page(
        b'{"entries": [{"key": "a\\ud800", "offset": 1, "value": "YQ=="},'
        b' {"key": "b", "offset": 2, "value": "Yg=="}], "end_offset": 3}'
    )
    assert [each.key.encode() for each in page.records] == [b"a?", b"b"]


# Guards against readers that end because of one reply of the store.
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"[" * 100_000, id="nested"),
        pytest.param(b'{"entries": [], "end_offset": 1e999}', id="infinite"),
        pytest.param(
            b'{"entries": [], "end_offset": ' + b"9" * 400 + b"}", id="long"
        ),
        pytest.param(b'{"entries": [[]], "end_offset": 1}', id="entry"),
        pytest.param(
            b'{"entries": [{"key": "k", "offset": 1, "value": "a"}],'
            b' "end_offset": 1}',
            id="value",
        ),
        pytest.param(b'{"entries": {}, "end_offset": 1}', id="no entries"),
        pytest.param(b"7", id="number"),
        pytest.param(b"\xff", id="not JSON"),
    ],
)
async def test_malformed_reply_is_a_failure_of_the_store(body: bytes) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(body)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    pool = connection_pool.ConnectionPool(clocks.system())
    client = store_client.StoreClient(pool, f"{host}:{port}", _no_wait)
    with pytest.raises(errors.StoreError, match="malformed"):
        await client.newest(topics.Topic.ORDERS)
    pool.close_idle("store")
    with pytest.raises(errors.StoreError, match="malformed") as raised:
        await client.put(topics.Topic.NODES, "n", b"v", None)
    assert raised.value.may_have_applied
    pool.close()
    listener.close()


async def test_reply_of_no_known_era_is_a_failure_of_the_store() -> None:
    """Issue 49: offsets of different histories can't be compared."""
    eras = [b"", b"7", b"7", b"8", b"7", b"", b"-1", b"x", b"9" * 400, b"8"]

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for era in eras:
            await reader.readuntil(b"\r\n\r\n")
            header = b"Store-Era: %s\r\n" % era if era else b""
            writer.write(_REPLY.replace(b"\r\n", b"\r\n" + header, 1))

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    pool = connection_pool.ConnectionPool(clocks.system())
    client = store_client.StoreClient(pool, f"{host}:{port}", _no_wait)
    read = []
    for _ in eras:
        try:
            page = await client.changes(topics.Topic.ORDERS, 0, 0.0)
        except errors.StoreError as error:
            assert "store-era" in str(error)
            read.append(None)
        else:
            read.append(page.era)
    assert read == [0, 7, 7, 8, None, None, None, None, None, 8]
    pool.close()
    listener.close()


def test_record_above_the_limit_of_a_read_is_not_skipped() -> None:
    """CONFIG, issue 32: a read without records counted as one to the end."""
    with pytest.raises(errors.StoreHistoryLostError):
        store_client._decode_changes(_log(4), 2)
    assert store_client._decode_changes(_log(2), 2).end_offset == 2


@pytest.mark.parametrize(
    ("bytes_per_s", "is_read"), [(500_000, True), (50_000, False)]
)
async def test_long_reply_is_read_as_long_as_it_arrives(
    bytes_per_s: int, is_read: bool
) -> None:
    """CONFIG, issue 32: its time limit was that of a short one."""
    body = _log(1, b"\x01k" + b"v" * 300_000)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        step = bytes_per_s // 50
        for begin in range(0, len(body), step):
            writer.write(body[begin : begin + step])
            await asyncio.sleep(0.02)
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    pool = connection_pool.ConnectionPool(clocks.system())
    client = store_client.StoreClient(pool, f"{host}:{port}", _no_wait)
    read = client.changes(topics.Topic.ORDERS, 0, 0.0, 0.25)
    if is_read:
        assert len((await read).records) == 1
    else:
        with pytest.raises(errors.StoreError, match="no complete response"):
            await read
    pool.close()
    listener.close()


# Guards against pages without end, each short enough, that fill the memory.
async def test_pages_that_exceed_the_memory_in_sum_are_an_error() -> None:
    entry = {"key": "k", "value": "", "offset": 0, "filler": "x" * 100_000}
    body = json.dumps(
        {"entries": [entry], "has_more": True, "end_offset": 1}
    ).encode()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            writer.write(body)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    budget = memory_budget.MemoryBudget(1_000_000)
    pool = connection_pool.ConnectionPool(clocks.system(), budget)
    client = store_client.StoreClient(pool, f"{host}:{port}", _no_wait)
    with pytest.raises(errors.StoreError, match="no memory left"):
        await client.newest(topics.Topic.ORDERS)
    assert budget.held == 0
    pool.close()
    listener.close()
