"""
Measure the latency that a claim adds to a booking.

Starts a deployment on loopback and sends calls through one entry: repeatable ones
(``GET /bins``), bookings whose claim holders are in the entry's zone, and bookings
whose home zone is another one. Links between zones have a delay.

    python benchmarks/claims.py [--calls N]
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import fire

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import Deployment
from poplarlug.soak.proxy import FaultProxy

CALLS = 400
WAN_SECONDS = 0.055
ENTRY = "quito-a-1"


def main(calls: int = CALLS) -> None:
    """Print the p50 and p99 latency of each kind of call in milliseconds."""
    with tempfile.TemporaryDirectory() as folder, FaultProxy() as proxy:
        deployment = Deployment(folder=Path(folder), link=proxy.link)
        try:
            start(deployment)
            proxy.set_delay(WAN_SECONDS, matching=crosses_zones)
            asyncio.run(measure(deployment, calls))
        finally:
            deployment.close()


def start(deployment: Deployment) -> None:
    deployment.start_control()
    deployment.start_entries()
    deployment.start_service("s1", "quito-a", "depot")
    deployment.wait_ready([vm.name for vm in deployment.topology.control])
    deployment.configure()
    deployment.wait_ready()


def crosses_zones(source: str, target: str) -> bool:
    if source.startswith("control") or target.startswith("control"):
        return False
    return source.rpartition("-")[0] != target.rpartition("-")[0]


async def measure(deployment: Deployment, calls: int) -> None:
    vm = deployment.topology.entry(ENTRY)
    assert vm is not None
    headers = {"Authorization": f"Bearer {deployment.key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for zone in ("quito-a", "cuenca-a"):
            await wait_until_booked(session, vm.http, zone)
        look_ups = [await look_up(session, vm.http) for _ in range(calls)]
        print_latencies("look-up, no claim", look_ups)
        for zone in ("quito-a", "cuenca-a"):
            times = [
                await book(session, vm.http, f"{zone}:{number}")
                for number in range(calls if zone == "quito-a" else calls // 4)
            ]
            print_latencies(f"booking, holders in {zone}", times)


async def wait_until_booked(
    session: aiohttp.ClientSession, http: str, zone: str
) -> None:
    for attempt in range(600):
        try:
            await book(session, http, f"{zone}:warm-{attempt}")
            return
        except aiohttp.ClientResponseError:
            await asyncio.sleep(0.1)
    raise SystemExit(f"no booking with holders in {zone}")


async def look_up(session: aiohttp.ClientSession, http: str) -> float:
    started = time.perf_counter()
    url = f"http://{http}/svc/depot/bins/b7"
    async with session.get(url, raise_for_status=True) as response:
        await response.read()
    return time.perf_counter() - started


async def book(session: aiohttp.ClientSession, http: str, key: str) -> float:
    started = time.perf_counter()
    url = f"http://{http}/svc/depot/bookings"
    headers = {"Idempotency-Key": key}
    async with session.post(
        url, json={"bin": "B7"}, headers=headers, raise_for_status=True
    ) as response:
        await response.read()
    return time.perf_counter() - started


def print_latencies(name: str, times: list[float]) -> None:
    ordered = sorted(times)
    p50 = ordered[len(ordered) // 2] * 1000
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))] * 1000
    print(f"{name}: {len(times)} calls, p50 {p50:.2f} ms, p99 {p99:.2f} ms")


if __name__ == "__main__":
    fire.Fire(main)
