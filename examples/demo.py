"""Runs a small deployment on loopback and sends requests through it."""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import Deployment

ENGINES = [("e1", "quito-a"), ("e2", "quito-a"), ("e3", "cuenca-a")]
SERVICES = [("s1", "quito-a"), ("s2", "cuenca-a"), ("s3", "guayaquil-a")]

ZONES = ("quito-a", "cuenca-a", "guayaquil-a")
MAX_TRIES = 300
PAUSE_SECONDS = 0.1


def main() -> None:
    """Start the processes, print the responses that callers get and stop them."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder=Path(folder))
        try:
            run(deployment)
        finally:
            deployment.close()


def run(deployment: Deployment) -> None:
    print("Starting 3 control replicas, 9 entries, 3 engines, 3 services ...")
    deployment.start_control()
    deployment.start_entries()
    for name, zone in ENGINES:
        deployment.start_engine(name, zone, "corn-7b")
    for name, zone in SERVICES:
        deployment.start_service(name, zone, "depot")
    deployment.wait_ready([vm.name for vm in deployment.topology.control])
    print("Creating regions, ranks, models, a service and an account ...")
    deployment.configure()
    deployment.wait_ready()
    for row in deployment.operate("account", "list"):
        print(f"  account {row['name']}: regions {', '.join(row['regions'])}")
    asyncio.run(send_all_requests(deployment))


async def send_all_requests(deployment: Deployment) -> None:
    headers = {"Authorization": f"Bearer {deployment.key}", "X-Rank": "urgent"}
    seed = deployment.topology.entries[0].http
    async with aiohttp.ClientSession(headers=headers) as session:
        entries_by_zone = await find_entries(session, seed)
        for entry in entries_by_zone.values():
            for stream in (False, True):
                await request_completion(session, entry, stream)
            await book(session, entry)
        await show_errors(session, entry)


async def find_entries(session: aiohttp.ClientSession, seed: str) -> dict[str, dict]:
    """Wait until the directory lists all zones; return the best entry of each."""
    for _ in range(MAX_TRIES):
        async with session.get(f"http://{seed}/v1/directory") as response:
            entries = (await response.json()).get("entries", [])
        entries_by_zone = {entry["zone"]: entry for entry in reversed(entries)}
        if len(entries_by_zone) == len(ZONES):
            print(f"Directory of {seed}: {len(entries)} entries")
            return dict(sorted(entries_by_zone.items()))
        await asyncio.sleep(PAUSE_SECONDS)
    raise SystemExit(f"the directory of {seed} lists {sorted(entries_by_zone)} only")


async def request_completion(
    session: aiohttp.ClientSession, entry: dict, stream: bool
) -> None:
    body = {
        "model": "corn-7b",
        "messages": [{"role": "user", "content": f"peels at {entry['zone']}?"}],
        "max_tokens": 4,
        "stream": stream,
    }
    url = f"http://{entry['address']}/v1/chat/completions"
    for _ in range(MAX_TRIES):
        async with session.post(url, json=body) as response:
            text = await response.text()
            if response.status == 200:
                zone = response.headers["X-Served-Zone"]
                kind = "streamed" if stream else "whole"
                print(f"{entry['name']} {kind} answer from zone {zone}:")
                print(f"  {' '.join(text.split())[:150]}")
                return
        await asyncio.sleep(PAUSE_SECONDS)
    raise SystemExit(f"no answer at {entry['name']}: {text}")


async def book(session: aiohttp.ClientSession, entry: dict) -> None:
    url = f"http://{entry['address']}/svc/depot/bookings"
    headers = {"Idempotency-Key": f"pickup-{entry['zone']}"}
    for _ in range(MAX_TRIES):
        async with session.post(url, headers=headers, json={"bin": "B7"}) as response:
            text = await response.text()
            if response.status == 200:
                print(f"{entry['name']} booking: {text}")
                return
        await asyncio.sleep(PAUSE_SECONDS)
    raise SystemExit(f"no booking at {entry['name']}: {text}")


async def show_errors(session: aiohttp.ClientSession, entry: dict) -> None:
    url = f"http://{entry['address']}/v1/chat/completions"
    bad_key = {"Authorization": "Bearer wrong"}
    cases = [
        ("unknown key", {"model": "corn-7b"}, bad_key),
        ("model not allowed", {"model": "secret-7b"}, {}),
        ("unknown model", {"model": "none"}, {}),
        ("malformed body", {"stream": 1}, {}),
    ]
    for name, body, headers in cases:
        async with session.post(url, json=body, headers=headers) as response:
            print(f"{name}: {response.status} {await response.text()}")


if __name__ == "__main__":
    main()
