"""
Measures changes, failover and restart of the control group.

Run ``python benchmarks/control_log.py`` from the root; it takes several minutes.
Results marked "virtual" use the virtual clock, without CPU time and with a disk
latency of 0 to 5 ms per write. Results marked "processes" use the real clock, with
a proxy on the links between replicas.
"""

import asyncio
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import structlog

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import wait_until
from poplarlug.catalog import Model
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.processes.control_case import ControlTestCase

LATENCIES_SECONDS = (0.0, 0.055)
VIRTUAL_CHANGES = 400
VIRTUAL_FAILOVERS = 20
PROCESS_CHANGES = 400
PROCESS_FAILOVERS = 5
CLIENTS = (1, 32)
SIZES = (500, 12_000)


class Group(ControlTestCase):
    """Control replicas started in the same way as in the tests."""

    def runTest(self) -> None:  # noqa: N802
        """Do nothing; only the helpers of the test case are used."""

    def setUp(self) -> None:
        pass


def main() -> None:
    """Print all measurements."""
    structlog.configure(processors=[], logger_factory=structlog.ReturnLoggerFactory())
    for one_way in LATENCIES_SECONDS:
        measure_virtual(one_way)
    for one_way in LATENCIES_SECONDS:
        measure_processes(one_way)
    for size in SIZES:
        measure_restart(size)


def measure_virtual(one_way: float) -> None:
    async def change(clients: int) -> tuple[list[float], float]:
        group = SimulatedGroup(
            rng=Random(1), one_way=max(one_way, 1e-5), snapshot_entries=10**6
        )
        group.start()
        await group.wait_for_leader()
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        times: list[float] = []

        async def write() -> None:
            for _ in range(VIRTUAL_CHANGES // clients):
                started = loop.time()
                assert await group.propose(b"x" * 200)
                times.append(loop.time() - started)

        started = loop.time()
        await asyncio.gather(*(write() for _ in range(clients)))
        return times, loop.time() - started

    async def fail_over(seed: int) -> float:
        group = SimulatedGroup(rng=Random(seed), one_way=max(one_way, 1e-5))
        group.start()
        leader = await group.wait_for_leader()
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        leader.crash()
        started = loop.time()
        await group.wait_for_leader()
        return loop.time() - started

    for clients in CLIENTS:
        times, seconds = run_virtual(change(clients))
        report(f"virtual, one-way {one_way} s, {clients} clients", times, seconds)
    times = [run_virtual(fail_over(seed)) for seed in range(VIRTUAL_FAILOVERS)]
    report(f"virtual, one-way {one_way} s, time to a new leader", times)


def measure_processes(one_way: float) -> None:
    def measure(group: Group) -> None:
        group.proxy.set_delay(one_way, matching=lambda source, target: True)
        for clients in CLIENTS:
            times, seconds = change_many(group, clients, PROCESS_CHANGES, f"c{clients}")
            report(f"processes, one-way {one_way} s, {clients} clients", times, seconds)
        times = []
        for _ in range(PROCESS_FAILOVERS):
            wait_until(group.is_healthy, "the group is not whole")
            leader = group.leader()
            assert leader is not None
            group.deployment.kill(leader)
            started = time.monotonic()
            wait_until(lambda: group.leader(group.others(leader)), "no new leader")  # noqa: B023
            times.append(time.monotonic() - started)
            group.deployment.start(leader)
        report(f"processes, one-way {one_way} s, time to a new leader", times)

    with_group(measure)


def measure_restart(size: int) -> None:
    def measure(group: Group) -> None:
        times, seconds = change_many(group, 32, size, "r")
        report(f"processes, {size} changes by 32 clients", times, seconds)
        name = group.others(group.leader() or "")[0]
        group.deployment.kill(name)
        files = {f.name: f.stat().st_size for f in group.data_folder(name).iterdir()}
        started = time.monotonic()
        group.deployment.start(name)
        wait_until(lambda: version_of(group, name) is not None, "no answer")
        answered = time.monotonic() - started
        wait_until(lambda: (version_of(group, name) or 0) >= size, "lags")
        caught_up = time.monotonic() - started
        print(f"restart of one replica after {size} changes: answers after")
        print(f"  {answered:.2f} s, holds them all after {caught_up:.2f} s; {files}")
        for other in group.names:
            group.deployment.kill(other)
        started = time.monotonic()
        group.deployment.start_control()
        wait_until(group.leader, "no leader")
        print(f"restart of all replicas after {size} changes: a leader after")
        print(f"  {time.monotonic() - started:.2f} s", flush=True)

    with_group(measure)


def version_of(group: Group, name: str) -> int | None:
    """Return the configuration version of a replica, or ``None`` without a reply."""
    reply = group.call_replica(name, "ConfigStatus", pb.ConfigStatusRequest())
    return reply.version if reply is not None else None


def with_group(measure: Callable[[Group], None]) -> None:
    """Run ``measure`` with a new control group."""
    Group.setUpClass()
    try:
        group = Group()
        measure(group)
        group.doCleanups()
    finally:
        Group.doClassCleanups()


def change_many(
    group: Group, clients: int, count: int, prefix: str
) -> tuple[list[float], float]:
    """Create ``count`` models from ``clients`` threads.

    Returns
    -------
    tuple of (list of float, float)
        Latency of each change, and the total duration, in seconds.
    """
    leader = group.leader()
    assert leader is not None
    servers = [group.vm(name).grpc for name in [leader, *group.others(leader)]]
    times: list[float] = []

    def write(writer: int) -> None:
        client = OperatorClient(servers=servers, key=group.deployment.operator_key)
        for number in range(writer, count, clients):
            started = time.monotonic()
            model = Model(f"{prefix}-{number}")
            client.change("model", model, expected_version=0).unwrap()
            times.append(time.monotonic() - started)
        client.close()

    threads = [threading.Thread(target=write, args=(w,)) for w in range(clients)]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times, time.monotonic() - started


def report(title: str, times: list[float], seconds: float | None = None) -> None:
    ordered = sorted(times)
    p50 = 1000 * ordered[len(ordered) // 2]
    p99 = 1000 * ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    rate = f", {len(ordered) / seconds:.0f}/s" if seconds else ""
    print(f"{title}: n={len(ordered)}{rate}, p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
