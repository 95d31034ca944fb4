"""The HTTP client of the node's own interface."""

import asyncio

import pytest

from lycheegw.transport import http_client


# ORDER, issue 49: a body that its own process gave up was read as complete.
async def test_body_that_its_own_process_aborts_is_not_complete() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"HTTP/1.0 200 OK\r\n\r\nhalf")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    stream = http_client.ResponseStream()
    await asyncio.get_running_loop().create_connection(
        lambda: stream, host, port
    )
    await stream.read_head(1.0)
    assert await stream.read(1.0) == b"half"
    reading = asyncio.create_task(stream.read(1.0))
    await asyncio.sleep(0.02)
    stream.close()
    with pytest.raises(ConnectionResetError):
        await reading
    server.close()
