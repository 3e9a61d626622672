"""Measures the marginal costs used in docs/CAPACITY.md; takes about a minute."""

import asyncio
import multiprocessing
import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.distribution import CountingProxy
from examples.deployment import Deployment
from poplarlug.catalog import Account, Catalog, Delta
from poplarlug.catalog.catalog import encode_object
from poplarlug.keys import generate_key_files, hash_caller_key
from poplarlug.membership.upstreams import Announcement, UpstreamTable
from poplarlug.topology import EntryVm, KeyFiles, Topology
from poplarlug.transport import ZmqTransport

ACCOUNTS = (0, 1_000, 10_000, 35_000)
UPSTREAMS = (0, 100, 1_000)
ANNOUNCEMENT_ROUNDS = 20
FRAMES = 5_000
FRAME_BYTES = (100, 1_000, 10_000)
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 3.0
ZONES = (3, 8)
ENTRIES_PER_ZONE = 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Frame(NamedTuple):
    data: bytes


def main() -> None:
    """Print one line per measurement."""
    for count in ACCOUNTS:
        measure_in_subprocess(measure_catalog, count)
    for count in UPSTREAMS:
        measure_in_subprocess(measure_upstreams, count)
    for size in FRAME_BYTES:
        measure_in_subprocess(measure_transport, size)
    for zones in ZONES:
        measure_zones(zones)


def measure_in_subprocess(measure: Callable[[int], None], value: int) -> None:
    """Run ``measure`` in a separate process, to isolate its memory use."""
    process = multiprocessing.get_context("spawn").Process(
        target=measure, args=(value,)
    )
    process.start()
    process.join()


def measure_catalog(count: int) -> None:
    """Measure a catalog filled with accounts, and successive changes of accounts."""
    before = resident_bytes(os.getpid())
    catalog = Catalog()
    for number in range(count):
        catalog.apply(delta_of(number, number + 1))
    growth = resident_bytes(os.getpid()) - before
    changes = min(count, 1_000)
    started = time.process_time()
    for number in range(changes):
        catalog.apply(delta_of(number, count + number + 1))
    seconds = time.process_time() - started
    size = len(encode_object(account_of(0)))
    print(
        f"catalog accounts={count} grown_mib={growth / 2**20:.1f} "
        f"bytes_per_account={growth / max(1, count):.0f} encoded_bytes={size} "
        f"cpu_us_per_change={seconds / max(1, changes) * 1e6:.0f}"
    )


def account_of(number: int) -> Account:
    return Account(
        name=f"team-{number:05d}",
        home_region=f"region-{number % 11}",
        regions=tuple(f"region-{(number + n) % 11}" for n in range(3)),
        models=tuple(f"model-{n}" for n in range(15)),
        services=("depot",),
        key_hashes=(hash_caller_key(str(number)),),
    )


def delta_of(number: int, version: int) -> Delta:
    account = account_of(number)
    return Delta(version, "account", account.name, encode_object(account))


def measure_upstreams(count: int) -> None:
    """Measure the table of a zone's upstreams while announcements are renewed."""
    before = resident_bytes(os.getpid())
    table = UpstreamTable(clock=time.monotonic)
    announced = [announcement_of(number) for number in range(count)]
    for announcement in announced:
        table.apply(announcement)
    growth = resident_bytes(os.getpid()) - before
    started = time.process_time()
    for sequence in range(2, ANNOUNCEMENT_ROUNDS + 2):
        for announcement in announced:
            table.apply(announcement._replace(sequence=sequence, running=sequence))
    seconds = time.process_time() - started
    taken = max(1, count * ANNOUNCEMENT_ROUNDS)
    print(
        f"upstreams count={count} grown_mib={growth / 2**20:.2f} "
        f"cpu_us_per_announcement={seconds / taken * 1e6:.1f}"
    )


def announcement_of(number: int) -> Announcement:
    return Announcement(
        id=f"engine-{number}",
        kind="engine",
        address=f"10.0.{number // 250}.{number % 250 + 1}:8000",
        incarnation=1,
        sequence=1,
        models=tuple(f"model-{n}" for n in range(3)),
    )


def measure_transport(size: int) -> None:
    asyncio.run(exchange_frames(size))


async def exchange_frames(size: int) -> None:
    """Exchange requests and replies between two transports in this process."""
    with tempfile.TemporaryDirectory() as folder:
        keys = Path(folder)
        generate_key_files(keys, ["a", "b"])
        addresses = {"a": "127.9.9.1:18401", "b": "127.9.9.1:18402"}
        transports = {
            name: ZmqTransport(
                name=name,
                address=addresses[name],
                addresses_by_name=addresses,
                keys=KeyFiles(
                    str(keys / "secret" / f"{name}.key_secret"), str(keys / "public")
                ),
            )
            for name in addresses
        }

        async def echo(sender: str, message: Frame) -> Frame:
            return message

        transports["b"].serve("echo", Frame, echo)
        running = [
            asyncio.ensure_future(transport.run()) for transport in transports.values()
        ]
        await asyncio.sleep(0.1)
        message = Frame(b"x" * size)
        done = 0
        started = time.process_time()
        while done < FRAMES:
            reply = await transports["a"].request(
                peer="b",
                topic="echo",
                message=message,
                reply_type=Frame,
                timeout_seconds=5.0,
            )
            if not reply.map(lambda _: True).value_or(False):
                await asyncio.sleep(0.05)
                started = time.process_time()
                continue
            done += 1
        seconds = time.process_time() - started
        # A request and its reply are two frames; both ends run in this process.
        print(
            f"transport payload_bytes={size} "
            f"cpu_us_per_frame_both_ends={seconds / done / 2 * 1e6:.0f}"
        )
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


class ZonedDeployment(Deployment):
    """Deployment with additional zones besides those of the example."""

    def __init__(self, *, zones: int, **arguments: Any) -> None:
        self._zones = zones
        super().__init__(**arguments)

    def _assign_addresses(self, listed: Topology, per_zone: int) -> Topology:
        regions_by_zone = {vm.zone: vm.region for vm in listed.entries}
        for number in range(len(regions_by_zone), self._zones):
            regions_by_zone[f"zone-{number}"] = f"region-{number}"
        entries = tuple(
            EntryVm(f"{zone}-{index + 1}", region, zone, "", "")
            for zone, region in regions_by_zone.items()
            for index in range(per_zone)
        )
        wanted = Topology(listed.deployment, entries, listed.control)
        return super()._assign_addresses(wanted, per_zone)


def measure_zones(zones: int) -> None:
    """Print the resource use of the control plane in an idle deployment."""
    with tempfile.TemporaryDirectory() as folder, CountingProxy() as proxy:
        deployment = ZonedDeployment(
            zones=zones,
            folder=Path(folder),
            entries_per_zone=ENTRIES_PER_ZONE,
            link=proxy.link,
        )
        try:
            deployment.start_control()
            deployment.start_entries()
            deployment.wait_ready([vm.name for vm in deployment.topology.control])
            deployment.configure()
            deployment.wait_ready()
            time.sleep(SETTLE_SECONDS)
            print_idle(deployment, proxy, zones)
        finally:
            deployment.close()


def print_idle(deployment: Deployment, proxy: CountingProxy, zones: int) -> None:
    pids_by_name = {n: p.pid for n, p in deployment.processes_by_name.items()}
    before = {name: cpu_seconds(pid) for name, pid in pids_by_name.items()}
    bytes_before = dict(proxy.bytes_by_name)
    time.sleep(IDLE_SECONDS)
    for role, names in (
        ("entry", [vm.name for vm in deployment.topology.entries]),
        ("control", [vm.name for vm in deployment.topology.control]),
    ):
        used = [cpu_seconds(pids_by_name[n]) - before[n] for n in names]
        transferred = [proxy.bytes_by_name[n] - bytes_before.get(n, 0) for n in names]
        resident = [resident_bytes(pids_by_name[n]) for n in names]
        print(
            f"idle role={role} zones={zones} entries_per_zone={ENTRIES_PER_ZONE} "
            f"cpu_percent_mean={sum(used) / len(used) / IDLE_SECONDS * 100:.2f} "
            f"cpu_percent_max={max(used) / IDLE_SECONDS * 100:.2f} "
            f"bytes_per_second_mean={sum(transferred) / len(transferred) / IDLE_SECONDS:.0f} "
            f"bytes_per_second_max={max(transferred) / IDLE_SECONDS:.0f} "
            f"rss_mib_mean={sum(resident) / len(resident) / 2**20:.0f}"
        )


def resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


if __name__ == "__main__":
    main()
