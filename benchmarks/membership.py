"""
Measures the cost and detection times of membership.

``python -m benchmarks.membership slopes`` counts frames and bytes between the
entries of simulated zones in virtual time. ``times`` measures in the same simulation
how fast crashes and leaves are detected. ``processes`` measures an idle entry's cost,
a leave and a crash with real processes.
"""

import asyncio
import json
import os
import resource
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from examples.deployment import Deployment, wait_until
from poplarlug.fakes.ledger import read_ledger
from poplarlug.logs import configure_logs
from poplarlug.membership.upstreams import Announcement
from poplarlug.transport import MemoryNetwork
from poplarlug.transport.frames import Header, encode_header
from poplarlug.virtualtime import run_virtual
from tests.membership.simulation import Simulation, announcement

SIZES = ((3, 3), (3, 9), (3, 17), (12, 3), (24, 3), (24, 17))
UPSTREAMS_PER_ENTRY = 8
MODELS = 15
WARM_UP_SECONDS = 5.0
MEASURED_SECONDS = 10.0
SEEDS = 20
IDLE_SECONDS = 20.0


class CountingNetwork(MemoryNetwork):
    """Network that counts frames, and bytes by sender, receiver and topic."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self.bytes_sent_by_name: Counter[str] = Counter()
        self.bytes_received_by_name: Counter[str] = Counter()
        self.frames = 0
        self.bytes_by_topic: Counter[str] = Counter()

    def _transmit(
        self, source: Any, target: str, incarnation: Any, header: Header, payload: bytes
    ) -> None:
        size = len(encode_header(header)) + len(payload)
        self.frames += 1
        self.bytes_sent_by_name[source.name] += size
        self.bytes_received_by_name[target] += size
        self.bytes_by_topic[header.topic or "replies"] += size
        super()._transmit(source, target, incarnation, header, payload)

    def reset(self) -> None:
        self.frames = 0
        for counter in (
            self.bytes_sent_by_name,
            self.bytes_received_by_name,
            self.bytes_by_topic,
        ):
            counter.clear()


async def renew(simulation: Simulation) -> None:
    """Renew the announcements of eight upstreams at each entry once per second."""
    sequence = 0
    while True:
        sequence += 1
        for index, (name, entry) in enumerate(simulation.entries_by_name.items()):
            for number in range(UPSTREAMS_PER_ENTRY):
                model = f"model-{(index * UPSTREAMS_PER_ENTRY + number) % MODELS:02}"
                await entry.membership.announce(
                    _renewed_announcement(f"{name}-{number}", sequence, model)
                )
        await asyncio.sleep(1.0)


def _renewed_announcement(upstream_id: str, sequence: int, model: str) -> Announcement:
    return announcement(
        upstream_id,
        sequence=sequence,
        models=(model,),
        capacity=8,
        running=sequence % 8,
        incarnation=1_764_000_000_000,
    )


async def measure_size(zones: int, entries: int) -> None:
    network = CountingNetwork(rng=Random(1))
    before = _rss_bytes()
    simulation = Simulation(
        zones=zones, entries=entries, rng=Random(1), network=network
    )
    renewing = asyncio.ensure_future(renew(simulation))
    await asyncio.sleep(WARM_UP_SECONDS)
    network.reset()
    cpu = time.process_time()
    await asyncio.sleep(MEASURED_SECONDS)
    cpu = time.process_time() - cpu
    renewing.cancel()
    nodes = zones * entries
    names = list(simulation.entries_by_name)
    sent = [network.bytes_sent_by_name[n] / MEASURED_SECONDS for n in names]
    received = [network.bytes_received_by_name[n] / MEASURED_SECONDS for n in names]
    topics = ", ".join(
        f"{topic.removeprefix('membership.')} {size / nodes / MEASURED_SECONDS:.0f}"
        for topic, size in network.bytes_by_topic.most_common(5)
    )
    print(
        f"zones {zones:2} entries/zone {entries:2}: "
        f"frames/s/node {network.frames / nodes / MEASURED_SECONDS:5.1f}  "
        f"sent B/s/node mean {sum(sent) / nodes:6.0f} max {max(sent):6.0f}  "
        f"received max {max(received):6.0f}  "
        f"cpu {100 * cpu / nodes / MEASURED_SECONDS:.2f} % of a core  "
        f"memory {(_rss_bytes() - before) / nodes / 1024:.0f} KiB/node  [{topics}]",
        flush=True,
    )


def _rss_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


async def _seconds_until(condition: Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    return loop.time() - started


async def measure_times(entries: int, seed: int) -> dict[str, float]:
    simulation = Simulation(zones=2, entries=entries, rng=Random(seed))
    await asyncio.sleep(4 + Random(seed).random())
    first, *others = [f"z00-{number:02}" for number in range(entries)]
    at_first = simulation.membership(first)
    await at_first.announce(announcement("silent"))
    await at_first.announce(announcement("leaving"))
    await asyncio.sleep(0.5)
    zone_entries = [simulation.entries_by_name[name] for name in others]
    remote_entries = list(simulation.entries_by_name.values())[entries:]

    def is_served(upstream_id: str) -> bool:
        return any(upstream_id in e.serving_ids() for e in zone_entries)

    leaving = asyncio.ensure_future(
        at_first.announce(announcement("leaving", sequence=2, state="leaving"))
    )
    times = {"leaving, zone": await _seconds_until(lambda: not is_served("leaving"))}
    await leaving
    await at_first.announce(announcement("silent", sequence=2))
    times["upstream crash, zone"] = await _seconds_until(
        lambda: not is_served("silent")
    )
    await simulation.crash(first)
    crashed = asyncio.get_running_loop().time()
    await _seconds_until(
        lambda: not any(first in e.membership.accepting_entries() for e in zone_entries)
    )
    times["entry crash, zone"] = asyncio.get_running_loop().time() - crashed
    await _seconds_until(
        lambda: (
            not any(
                first in s.entries
                for e in remote_entries
                for s in e.membership.zone_summaries()
            )
        )
    )
    times["entry crash, other zones"] = asyncio.get_running_loop().time() - crashed
    return times


def run_slopes() -> None:
    for zones, entries in SIZES:
        run_virtual(measure_size(zones, entries))


def run_times() -> None:
    for entries in (3, 17):
        runs = [run_virtual(measure_times(entries, seed)) for seed in range(SEEDS)]
        for name in runs[0]:
            values = sorted(run[name] for run in runs)
            print(
                f"entries/zone {entries:2}, {name}: median {values[SEEDS // 2]:.2f} s, "
                f"max {values[-1]:.2f} s of {SEEDS} seeds",
                flush=True,
            )


def run_processes() -> None:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder=Path(folder), entries_per_zone=3)
        try:
            deployment.start_control()
            deployment.start_entries()
            deployment.start_engine("e1", "quito-a", "corn-7b")
            deployment.start_engine("e2", "quito-a", "corn-7b")
            deployment.wait_ready([vm.name for vm in deployment.topology.control])
            deployment.configure()
            deployment.wait_ready()
            time.sleep(5)
            _measure_idle(deployment)
            _measure_leave(deployment)
            _measure_crash(deployment)
        finally:
            deployment.close()


def _measure_idle(deployment: Deployment) -> None:
    pid = deployment.processes_by_name["quito-a-1"].pid
    before = _cpu_seconds(pid)
    time.sleep(IDLE_SECONDS)
    used = (_cpu_seconds(pid) - before) / IDLE_SECONDS
    status = Path(f"/proc/{pid}/status").read_text()
    rss = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    print(f"idle entry, 3 zones of 3: {100 * used:.2f} % of a core, {rss}")


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _measure_leave(deployment: Deployment) -> None:
    stop = threading.Event()
    callers = [
        threading.Thread(target=_send_requests, args=(deployment, name, stop))
        for name in ("quito-a-1", "quito-a-2", "cuenca-a-1")
        for _ in range(2)
    ]
    for caller in callers:
        caller.start()
    ledger = deployment.requests_file("e2")
    wait_until(lambda: len(read_ledger(ledger)) > 20, "e2 is not used")
    left = time.monotonic()
    deployment.signal("e2", 15)
    count, last = len(read_ledger(ledger)), left
    while time.monotonic() - left < 6:
        now = len(read_ledger(ledger))
        if now != count:
            count, last = now, time.monotonic()
        time.sleep(0.005)
    stop.set()
    for caller in callers:
        caller.join()
    print(f"upstream's SIGTERM to its last new request: {last - left:.3f} s")


def _send_requests(deployment: Deployment, entry: str, stop: threading.Event) -> None:
    vm = deployment.topology.entry(entry)
    assert vm is not None
    number = 0
    while not stop.is_set():
        number += 1
        message = {"role": "user", "content": f"{entry} {number}"}
        body = {"model": "corn-7b", "messages": [message], "max_tokens": 2}
        request = urllib.request.Request(
            f"http://{vm.http}/v1/chat/completions",
            json.dumps(body).encode(),
            {"Authorization": f"Bearer {deployment.key}"},
        )
        try:
            urllib.request.urlopen(request, timeout=10).read()
        except urllib.error.URLError:
            pass


def _measure_crash(deployment: Deployment) -> None:
    killed = time.monotonic()
    deployment.kill("quito-a-2")
    for name in ("quito-a-1", "cuenca-a-1"):
        wait_until(
            lambda name=name: "quito-a-2" not in _read_directory(deployment, name),
            "listed",
        )
        print(
            f"entry's SIGKILL until {name} lists it no more: "
            f"{time.monotonic() - killed:.2f} s"
        )


def _read_directory(deployment: Deployment, entry: str) -> str:
    vm = deployment.topology.entry(entry)
    assert vm is not None
    with urllib.request.urlopen(f"http://{vm.http}/v1/directory", timeout=5) as reply:
        return str(reply.read())


if __name__ == "__main__":
    configure_logs(log_format="json", level="error")
    parts = {"slopes": run_slopes, "times": run_times, "processes": run_processes}
    for part in sys.argv[1:] or parts:
        parts[part]()
