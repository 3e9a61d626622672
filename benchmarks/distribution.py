"""
Measure configuration distribution: time until changes take effect, and its cost.

Runs real processes on loopback. Usage::

    python benchmarks/distribution.py in_force [--changes=200] [--delay_ms=0]
    python benchmarks/distribution.py cost [--entries_per_zone=1,3] [--seconds=20]
    python benchmarks/distribution.py accounts [--accounts=35000]
    python benchmarks/distribution.py catalog [--accounts=35000]

``in_force`` prints the time from the call of a change to its acceptance, and to the
confirmation that it is in force in all zones. ``cost`` prints the network traffic, CPU
time and memory that the control plane uses per entry, when idle and at several rates
of changes. ``accounts`` prints the cost of a full configuration of that size for an
entry; ``catalog`` prints the same for the catalog alone, without processes, and the
time of a read.
"""

import asyncio
import os
import re
import sys
import tempfile
import time
import timeit
import urllib.request
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import fire
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import Deployment, wait_until
from poplarlug.catalog import Account, Catalog, Delta, Model, Update
from poplarlug.catalog.catalog import encode_object
from poplarlug.keys import generate_caller_key, hash_caller_key
from poplarlug.operators.client import OperatorClient
from poplarlug.soak.proxy import FaultProxy
from poplarlug.topology import EntryVm, Topology

CLIENTS = 16
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class LargeDeployment(Deployment):
    """Deployment with any number of entries per zone, independent of the example."""

    def _assign_addresses(self, listed: Topology, per_zone: int) -> Topology:
        regions = {vm.zone: vm.region for vm in listed.entries}
        entries = tuple(
            EntryVm(f"{zone}-{index + 1}", region, zone, "", "")
            for zone, region in regions.items()
            for index in range(per_zone)
        )
        wanted = Topology(listed.deployment, entries, listed.control)
        return super()._assign_addresses(wanted, per_zone)


class CountingProxy(FaultProxy):
    """Proxy that counts the bytes on the links of each process in both directions."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_name: Counter[str] = Counter()

    async def _pump(self, names: tuple[str, str], reader: Any, *others: Any) -> None:
        counted = _CountingReader(reader, self.bytes_by_name, names)
        await super()._pump(names, counted, *others)  # type: ignore[arg-type]


class _CountingReader:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        bytes_by_name: Counter[str],
        names: tuple[str, str],
    ) -> None:
        self._reader = reader
        self._bytes_by_name = bytes_by_name
        self._names = names

    async def read(self, size: int) -> bytes:
        data = await self._reader.read(size)
        for name in self._names:
            self._bytes_by_name[name] += len(data)
        return data


@contextmanager
def running_deployment(
    entries_per_zone: int, proxy: FaultProxy | None = None
) -> Iterator[tuple[Deployment, OperatorClient]]:
    """Yield a running, configured deployment and an operator client for it."""
    with tempfile.TemporaryDirectory() as folder:
        running = LargeDeployment(
            folder=Path(folder),
            entries_per_zone=entries_per_zone,
            link=proxy.link if proxy else None,
        )
        client = OperatorClient(
            servers=[vm.grpc for vm in running.topology.control],
            key=running.operator_key,
        )
        try:
            running.start_control()
            running.start_entries()
            running.wait_ready([vm.name for vm in running.topology.control])
            running.configure()
            running.wait_ready()
            yield running, client
        finally:
            client.close()
            running.close()


def in_force(
    changes: int = 200, delay_ms: float = 0.0, entries_per_zone: int = 3
) -> None:
    """Print percentiles of the time until changes are accepted and in force."""
    proxy = FaultProxy()
    with proxy, running_deployment(entries_per_zone, proxy) as (running, client):
        zones = {vm.name: vm.zone for vm in running.topology.entries}
        zones |= {vm.name: vm.zone for vm in running.topology.control}
        proxy.set_delay(
            delay_ms / 1000.0, matching=lambda s, t: zones.get(s) != zones.get(t)
        )
        version, accepted, reached, missed = 0, [], [], 0
        for number in range(changes):
            value = Model("bench", version=str(number))
            started = time.monotonic()
            reply = client.change("model", value, expected_version=version).unwrap()
            accepted.append(time.monotonic() - started)
            version = reply.version
            started = time.monotonic()
            value = Model("bench", version=f"{number}w")
            reply = client.change(
                "model", value, expected_version=version, wait_seconds=20
            ).unwrap()
            reached.append(time.monotonic() - started)
            missed += len(reply.vms_not_reached)
            version = reply.version
    print(f"entries={len(running.topology.entries)} one_way_delay_ms={delay_ms}")
    print_percentiles("call to accepted", accepted)
    print_percentiles("call to in force in all zones", reached)
    print(f"vms_not_reached={missed}")


def cost(entries_per_zone: Any = "1,3,6", seconds: float = 20.0) -> None:
    """Print the traffic in bytes/s, CPU utilization and memory of the entries."""
    sizes = entries_per_zone if isinstance(entries_per_zone, tuple) else ()
    for per_zone in sizes or [int(part) for part in str(entries_per_zone).split(",")]:
        proxy = CountingProxy()
        with proxy, running_deployment(per_zone, proxy) as (running, client):
            names = [vm.name for vm in running.topology.entries]
            versions_by_name: dict[str, int] = {}
            for rate in (0.0, 2.0, 10.0):
                before = {name: sample(running, name, proxy) for name in names}
                made = make_changes(client, versions_by_name, rate, seconds)
                after = {name: sample(running, name, proxy) for name in names}
                label = f"entries={len(names)} changes/s={made / seconds:.1f}"
                print_cost(label, before, after, seconds)


def make_changes(
    client: OperatorClient,
    versions_by_name: dict[str, int],
    rate: float,
    seconds: float,
) -> int:
    """Make ``rate`` changes per second for ``seconds``; return their number."""
    end = time.monotonic() + seconds
    made = 0
    while time.monotonic() < end:
        if rate:
            value = Model("cost", version=f"{rate}-{made}")
            version = versions_by_name.get("cost", 0)
            reply = client.change("model", value, expected_version=version).unwrap()
            versions_by_name["cost"] = reply.version
            made += 1
        time.sleep(1.0 / rate if rate else 0.2)
    return made


def accounts(accounts: int = 35_000) -> None:
    """Print the time and memory that a full configuration needs."""
    with running_deployment(1) as (running, client):
        entry = running.topology.entries[0]
        before = sample(running, entry.name)
        started = time.monotonic()

        def create(number: int) -> int:
            value = Account(
                f"team-{number:05d}",
                "costa",
                ("costa", "austro", "sierra-norte"),
                models=("corn-7b", "secret-7b"),
                services=("depot",),
                key_hashes=(hash_caller_key(generate_caller_key()),),
            )
            reply = client.change("account", value, expected_version=0)
            return reply.unwrap().version

        with ThreadPoolExecutor(CLIENTS) as pool:
            version = max(pool.map(create, range(accounts)))
        seconds = time.monotonic() - started
        print(
            f"{accounts} changes by {CLIENTS} callers: {seconds:.1f} s, {accounts / seconds:.0f}/s"
        )
        wait_until(lambda: config_version(entry.http) >= version, "not in force")
        after = sample(running, entry.name)
        growth = (after["rss"] - before["rss"]) / 1e6
        print(
            f"entry memory: {before['rss'] / 1e6:.1f} MB to {after['rss'] / 1e6:.1f} MB"
        )
        print(
            f"memory an account: {(after['rss'] - before['rss']) / accounts:.0f} bytes"
        )
        print(f"memory of all accounts: {growth:.1f} MB")
        running.kill(entry.name)
        started = time.monotonic()
        running.start(entry.name)
        wait_until(lambda: config_version(entry.http) >= version, "not in force")
        print(f"start of an entry without a disk: {time.monotonic() - started:.2f} s")
        fresh = sample(running, entry.name)
        print(f"memory after that start: {fresh['rss'] / 1e6:.1f} MB")
        print(f"processor time of that start: {fresh['cpu']:.2f} s")
        for vm in running.topology.control:
            rss = sample(running, vm.name)["rss"]
            print(f"control replica {vm.name}: {rss / 1e6:.1f} MB")


def catalog(accounts: int = 35_000) -> None:
    """Print the memory use, the time to apply a full update and the time of a read."""
    key_hash = hash_caller_key("team-0")
    source = Catalog()
    for number in range(accounts):
        value = Account(
            f"team-{number:05d}",
            "costa",
            ("costa", "austro", "sierra-norte"),
            models=("corn-7b", "secret-7b"),
            services=("depot",),
            key_hashes=(hash_caller_key(f"team-{number}"),),
        )
        source.apply(Delta(number + 1, "account", value.name, encode_object(value)))
    data = msgspec.msgpack.encode(source.update_after(0))
    before = own_rss()
    loaded = Catalog()
    started = time.perf_counter()
    loaded.update(msgspec.msgpack.decode(data, type=Update))
    seconds = time.perf_counter() - started
    growth = own_rss() - before
    print(f"whole update: {len(data) / 1e6:.2f} MB, in force after {seconds:.2f} s")
    print(
        f"memory an account: {growth / accounts:.0f} bytes, in all {growth / 1e6:.1f} MB"
    )
    reads = min(
        timeit.repeat(lambda: loaded.account_by_key_hash(key_hash), number=20_000)
    )
    print(f"read of an account by its key's hash: {reads / 20_000 * 1e6:.1f} us")


def own_rss() -> float:
    found = re.search(r"VmRSS:\s+(\d+)", Path("/proc/self/status").read_text())
    return int(found.group(1)) * 1024.0 if found else 0.0


def sample(
    running: Deployment, name: str, proxy: CountingProxy | None = None
) -> dict[str, float]:
    """Return the CPU seconds, resident bytes and transferred bytes of a process."""
    pid = running.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", status)
    return {
        "cpu": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        "rss": int(found.group(1)) * 1024.0 if found else 0.0,
        "bytes": float(proxy.bytes_by_name[name]) if proxy else 0.0,
    }


def print_cost(
    label: str,
    before: dict[str, dict[str, float]],
    after: dict[str, dict[str, float]],
    seconds: float,
) -> None:
    def per_second(key: str) -> list[float]:
        return [(after[name][key] - before[name][key]) / seconds for name in before]

    cpu, transferred = per_second("cpu"), per_second("bytes")
    rss = [after[name]["rss"] / 1e6 for name in after]
    print(
        f"{label}: cpu mean {100 * sum(cpu) / len(cpu):.2f} % max {100 * max(cpu):.2f} %,"
        f" bytes/s mean {sum(transferred) / len(transferred):.0f} max {max(transferred):.0f},"
        f" rss mean {sum(rss) / len(rss):.1f} MB"
    )


def config_version(address: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as response:
            text = response.read().decode()
    except OSError:
        return 0
    found = re.search(r"^poplarlug_config_version (\S+)", text, re.MULTILINE)
    return int(float(found.group(1))) if found else 0


def print_percentiles(label: str, seconds: list[float]) -> None:
    ordered = sorted(seconds)
    p50 = ordered[len(ordered) // 2] * 1000
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))] * 1000
    print(f"{label}: n={len(ordered)} p50 {p50:.1f} ms, p99 {p99:.1f} ms")


if __name__ == "__main__":
    fire.Fire(
        {"in_force": in_force, "cost": cost, "accounts": accounts, "catalog": catalog}
    )
