"""
Measure the latency that an entry adds to a small request without streaming.

Run ``python benchmarks/entry_overhead.py [REQUESTS]``. A client alternates between
requests sent directly to an upstream and requests sent through the entry.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.harness import (
    Bench,
    cpu_seconds,
    http_request,
    load_average,
    percentile,
    running_bench,
)

REQUESTS = 3000
WARM_UP_REQUESTS = 200
PAUSE_SECONDS = 0.001
BUSY_CONNECTIONS = 8
BODY = b'{"model":"corn-7b","messages":[{"role":"user","content":"peel?"}]}'


class Caller:
    """Client connection that sends a request and waits for the complete response."""

    async def open(self, address: str, request: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._request = request

    async def send_request(self) -> float:
        """Return the seconds from the request to the end of its response."""
        started = time.perf_counter()
        self._writer.write(self._request)
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        await self._reader.readexactly(length)
        return time.perf_counter() - started


async def measure(bench: Bench, count: int) -> None:
    request = http_request(bench, BODY)
    direct, through = Caller(), Caller()
    await direct.open(bench.upstream_addresses[0], request)
    await through.open(bench.entry_address, request)
    for _ in range(WARM_UP_REQUESTS):
        await direct.send_request()
        await through.send_request()
    direct_seconds, through_seconds = [], []
    for _ in range(count):
        direct_seconds.append(await direct.send_request())
        await asyncio.sleep(PAUSE_SECONDS)
        through_seconds.append(await through.send_request())
        await asyncio.sleep(PAUSE_SECONDS)
    print(f"load average {load_average()}, {count} requests each, one at a time")
    for share in (0.5, 0.99):
        direct_ms, through_ms = (
            1000 * percentile(values, share)
            for values in (direct_seconds, through_seconds)
        )
        print(
            f"p{round(share * 100)}: straight {direct_ms:.3f} ms, through {through_ms:.3f} ms, "
            f"added {through_ms - direct_ms:.3f} ms, ratio {through_ms / direct_ms:.1f}"
        )
    await measure_busy(bench, request, count)


async def measure_busy(bench: Bench, request: bytes, count: int) -> None:
    """Print throughput and CPU time per request with all connections busy."""
    for name, address, pid in (
        ("upstream, straight", bench.upstream_addresses[0], bench.upstream_pids[0]),
        ("entry, through", bench.entry_address, bench.entry_pid),
    ):
        callers = [Caller() for _ in range(BUSY_CONNECTIONS)]
        for caller in callers:
            await caller.open(address, request)
        cpu, started = cpu_seconds(pid), time.perf_counter()

        async def send_requests(caller: Caller) -> None:
            for _ in range(count // BUSY_CONNECTIONS):
                await caller.send_request()

        await asyncio.gather(*(send_requests(caller) for caller in callers))
        elapsed = time.perf_counter() - started
        request_count = count // BUSY_CONNECTIONS * BUSY_CONNECTIONS
        cpu = cpu_seconds(pid) - cpu
        print(
            f"{name}: {request_count / elapsed:.0f} requests/s, "
            f"{1e6 * cpu / request_count:.0f} us of processor time a request"
        )


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else REQUESTS
    with running_bench() as bench:
        asyncio.run(measure(bench, count))


if __name__ == "__main__":
    main()
