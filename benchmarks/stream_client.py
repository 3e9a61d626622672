"""Reads many streams concurrently and prints byte and read counts as JSON."""

import asyncio
import json
import sys
import time
from typing import NamedTuple

TIMEOUT_SECONDS = 60.0


class StreamResult(NamedTuple):
    """Bytes and reads of a client process; times are of the system's monotonic clock."""

    started_seconds: float
    ended_seconds: float
    bytes: int
    reads: int


class StreamReader(asyncio.Protocol):
    """Count the bytes of a response until its last chunk."""

    def __init__(self, *, request: bytes) -> None:
        self._request = request
        self.bytes = 0
        self.reads = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        if not self.reads and not data.startswith(b"HTTP/1.1 200"):
            self.done.set_exception(ConnectionError(f"refused: {data[:400]!r}"))
            self._transport.abort()
            return
        self.bytes += len(data)
        self.reads += 1
        if data.endswith(b"0\r\n\r\n"):
            self.done.set_result(None)
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError(f"cut off: {error}"))


async def read_streams(address: str, request: bytes, streams: int) -> StreamResult:
    """Read ``streams`` streams concurrently until all have ended."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    started = time.monotonic()
    readers = []
    async with asyncio.timeout(TIMEOUT_SECONDS):
        for _ in range(streams):
            _, reader = await loop.create_connection(
                lambda: StreamReader(request=request), host, int(port)
            )
            readers.append(reader)
        await asyncio.gather(*(reader.done for reader in readers))
    return StreamResult(
        started,
        time.monotonic(),
        sum(reader.bytes for reader in readers),
        sum(reader.reads for reader in readers),
    )


if __name__ == "__main__":
    result = asyncio.run(
        read_streams(sys.argv[1], sys.stdin.buffer.read(), int(sys.argv[2]))
    )
    print(json.dumps(result))
