"""Runs one entry process in front of minimal upstreams and measures CPU time."""

import os
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import Deployment, wait_until

ENTRY = "quito-a-1"
SETTLE_SECONDS = 2.0
ADDRESSES_PER_UPSTREAM = 16
"""Upstreams served by one process, so that no concurrency limit takes effect."""

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Bench(NamedTuple):
    """Addresses and process ids of the measured processes."""

    entry_address: str
    entry_pid: int
    upstream_addresses: tuple[str, ...]
    upstream_pids: tuple[int, ...]
    forwarder_address: str
    forwarder_pid: int
    key: str


@contextmanager
def running_bench(*, upstreams: int = 1) -> Iterator[Bench]:
    """Run control, one entry, minimal upstreams and a raw forwarder in a context."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder=Path(folder), entries_per_zone=1)
        started: list[subprocess.Popen[bytes]] = []

        def start(script: str, *arguments: str) -> None:
            path = str(Path(__file__).parent / script)
            started.append(subprocess.Popen([sys.executable, path, *arguments]))

        try:
            deployment.start_control()
            deployment.start(ENTRY)
            deployment.wait_ready([vm.name for vm in deployment.topology.control])
            deployment.configure()
            deployment.wait_ready()
            entry = deployment.entries_of("quito-a")
            addresses = []
            for _ in range(upstreams):
                own_addresses = [
                    deployment.address() for _ in range(ADDRESSES_PER_UPSTREAM)
                ]
                start("bare_upstream.py", entry, *own_addresses)
                addresses.append(own_addresses[0])
            forwarder = deployment.address()
            start("raw_forwarder.py", forwarder, *addresses)
            bench = Bench(
                entry,
                deployment.processes_by_name[ENTRY].pid,
                tuple(addresses),
                tuple(process.pid for process in started[:-1]),
                forwarder,
                started[-1].pid,
                deployment.key,
            )
            wait_until(lambda: _is_serving(bench), "the entry has no upstream")
            time.sleep(SETTLE_SECONDS)
            yield bench
        finally:
            for process in started:
                process.kill()
                process.wait()
            deployment.close()


def cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def http_request(bench: Bench, body: bytes) -> bytes:
    """Return the raw bytes of a completion request."""
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        b"Authorization: Bearer %b\r\nContent-Type: application/json\r\n"
        b"X-Rank: urgent\r\nContent-Length: %d\r\n\r\n%b"
        % (bench.key.encode(), len(body), body)
    )


def percentile(values: list[float], share: float) -> float:
    """Return the percentile ``share`` of ``values``."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def load_average() -> str:
    return " ".join(f"{value:.1f}" for value in os.getloadavg())


def _is_serving(bench: Bench) -> bool:
    request = urllib.request.Request(
        f"http://{bench.entry_address}/v1/chat/completions",
        data=b'{"model":"corn-7b"}',
        headers={"Authorization": f"Bearer {bench.key}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        time.sleep(0.1)
        return False
