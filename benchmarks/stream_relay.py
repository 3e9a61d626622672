"""
Measure relayed stream tokens a second and a core of one entry.

Run ``python benchmarks/stream_relay.py [STREAMS ...]``. Each stream gets a token
in a chunk of its own every 10 ms, so 100 streams offer 10,000 tokens a second.
The same client reads the same streams straight from the upstream first.
"""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.bare_upstream import TOKEN_EVENT
from benchmarks.harness import (
    Bench,
    cpu_seconds,
    http_request,
    load_average,
    running_bench,
)

STREAM_COUNTS = (100, 200, 400, 600)
INTERVAL_TICKS = 10
TOKENS = 400
TIMEOUT_SECONDS = 60.0


class Run(NamedTuple):
    """Figures of one run."""

    tokens_per_second: float
    entry_cpu_seconds: float
    upstream_cpu_seconds: float
    tokens: int
    reads: int
    seconds: float


class StreamReader(asyncio.Protocol):
    """Count an answer's bytes until its last chunk."""

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
        self.bytes += len(data)
        self.reads += 1
        if data.endswith(b"0\r\n\r\n"):
            self.done.set_result(None)
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(ConnectionError(f"cut off: {error}"))


async def run_streams(bench: Bench, address: str, streams: int) -> Run:
    """Read ``streams`` streams to their ends at once."""
    asked = {
        "model": "corn-7b",
        "messages": [{"role": "user", "content": "peel?"}],
        "stream": True,
        "max_tokens": TOKENS,
        "interval_ticks": INTERVAL_TICKS,
    }
    request = http_request(bench, json.dumps(asked).encode())
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    entry_used, upstream_used = _used(bench)
    started = time.perf_counter()
    readers = []
    for _ in range(streams):
        _, reader = await loop.create_connection(
            lambda: StreamReader(request=request), host, int(port)
        )
        readers.append(reader)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await asyncio.gather(*(reader.done for reader in readers))
    seconds = time.perf_counter() - started
    entry_after, upstream_after = _used(bench)
    tokens = streams * TOKENS
    assert all(reader.bytes > TOKENS * len(TOKEN_EVENT) for reader in readers)
    return Run(
        tokens / seconds,
        entry_after - entry_used,
        upstream_after - upstream_used,
        tokens,
        sum(reader.reads for reader in readers),
        seconds,
    )


def _used(bench: Bench) -> tuple[float, float]:
    return cpu_seconds(bench.entry_pid), cpu_seconds(bench.upstream_pid)


async def measure(bench: Bench, counts: tuple[int, ...]) -> None:
    for streams in counts:
        straight = await run_streams(bench, bench.upstream_address, streams)
        through = await run_streams(bench, bench.entry_address, streams)
        busy = through.entry_cpu_seconds / through.seconds
        print(
            f"{streams} streams, load average {load_average()}: "
            f"straight {straight.tokens_per_second:.0f} tokens/s, "
            f"through {through.tokens_per_second:.0f} tokens/s "
            f"(ratio {through.tokens_per_second / straight.tokens_per_second:.2f}); "
            f"entry {through.tokens / through.entry_cpu_seconds:.0f} tokens/s a core, "
            f"{1e6 * through.entry_cpu_seconds / through.tokens:.1f} us a token, "
            f"{100 * busy:.0f}% of a core; "
            f"tokens a read {through.tokens / through.reads:.2f} "
            f"(straight {straight.tokens / straight.reads:.2f})"
        )


def main() -> None:
    counts = tuple(int(text) for text in sys.argv[1:]) or STREAM_COUNTS
    with running_bench() as bench:
        asyncio.run(measure(bench, counts))


if __name__ == "__main__":
    main()
