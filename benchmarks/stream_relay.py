"""
Measure the stream tokens that one entry relays per second and per core.

Run ``python benchmarks/stream_relay.py [STREAMS ...]``. Each stream sends one token
per chunk every 10 ms, so 100 streams offer 10,000 tokens per second. The same
clients read the same streams directly from the upstreams, through a raw forwarder
that doesn't parse anything, and through the entry.
"""

import json
import subprocess
import sys
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
from benchmarks.stream_client import StreamResult

STREAM_COUNTS = (100, 200, 400, 600)
INTERVAL_TICKS = 10
TOKENS = 400
UPSTREAMS = 2
CLIENTS = 3
TIMEOUT_SECONDS = 90.0


class Run(NamedTuple):
    """Measurements of one run through one process."""

    tokens_per_second: float
    tokens_per_core: float
    busy_share: float
    tokens_per_read: float


def run_streams(addresses: list[str], pid: int, request: bytes, streams: int) -> Run:
    """Read ``streams`` streams concurrently with several client processes."""
    cpu = cpu_seconds(pid)
    script = str(Path(__file__).parent / "stream_client.py")
    share = streams // CLIENTS
    clients = [
        subprocess.Popen(
            [sys.executable, script, addresses[index % len(addresses)], str(share)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for index in range(CLIENTS)
    ]
    for client in clients:
        assert client.stdin is not None
        client.stdin.write(request)
        client.stdin.close()
        client.stdin = None
    results = []
    for client in clients:
        output, _ = client.communicate(timeout=TIMEOUT_SECONDS)
        if client.returncode:
            raise SystemExit("a client failed; see its error above")
        results.append(StreamResult(*json.loads(output)))
    tokens = share * CLIENTS * TOKENS
    assert sum(result.bytes for result in results) > tokens * len(TOKEN_EVENT)
    seconds = max(result.ended_seconds for result in results) - min(
        result.started_seconds for result in results
    )
    cpu = cpu_seconds(pid) - cpu
    reads = sum(result.reads for result in results)
    return Run(tokens / seconds, tokens / cpu, cpu / seconds, tokens / reads)


def measure(bench: Bench, counts: tuple[int, ...]) -> None:
    parameters = {
        "model": "corn-7b",
        "messages": [{"role": "user", "content": "peel?"}],
        "stream": True,
        "max_tokens": TOKENS,
        "interval_ticks": INTERVAL_TICKS,
    }
    request = http_request(bench, json.dumps(parameters).encode())
    upstreams = list(bench.upstream_addresses)
    for streams in counts:
        print(f"{streams} streams, load average {load_average()}")
        for name, addresses, pid in (
            ("straight", upstreams, bench.upstream_pids[0]),
            ("raw forwarder", [bench.forwarder_address], bench.forwarder_pid),
            ("entry", [bench.entry_address], bench.entry_pid),
        ):
            run = run_streams(addresses, pid, request, streams)
            print(
                f"  {name}: {run.tokens_per_second:.0f} tokens/s, "
                f"{run.tokens_per_read:.2f} tokens a read"
                + _per_core(run, pid not in bench.upstream_pids),
                flush=True,
            )


def _per_core(run: Run, relayed: bool) -> str:
    if not relayed:
        return ""
    return (
        f", {run.tokens_per_core:.0f} tokens/s a core, "
        f"{1e6 / run.tokens_per_core:.1f} us a token, "
        f"{100 * run.busy_share:.0f}% of a core"
    )


def main() -> None:
    counts = tuple(int(text) for text in sys.argv[1:]) or STREAM_COUNTS
    with running_bench(upstreams=UPSTREAMS) as bench:
        measure(bench, counts)


if __name__ == "__main__":
    main()
