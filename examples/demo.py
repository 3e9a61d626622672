"""Runs a whole small deployment on loopback and sends requests through it."""

import asyncio
import sys
import tempfile
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).parent.parent))

from examples.deployment import Deployment

ENGINES = [("e1", "quito-a"), ("e2", "quito-a"), ("e3", "cuenca-a")]
SERVICES = [("s1", "quito-a"), ("s2", "cuenca-a"), ("s3", "guayaquil-a")]


def main() -> None:
    """Start the processes, show what callers get, and end them."""
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
    asyncio.run(call(deployment))


async def call(deployment: Deployment) -> None:
    headers = {"Authorization": f"Bearer {deployment.key}", "X-Rank": "urgent"}
    seed = deployment.topology.entries[0].http
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(f"http://{seed}/v1/directory") as response:
            directory = await response.json()
        print(f"Directory of {seed}: {len(directory['entries'])} entries")
        for zone in ("quito-a", "cuenca-a", "guayaquil-a"):
            entry = next(e for e in directory["entries"] if e["zone"] == zone)
            for stream in (False, True):
                await ask(session, entry, stream)
            await book(session, entry)
        await show_errors(session, directory["entries"][0])


async def ask(session: aiohttp.ClientSession, entry: dict, stream: bool) -> None:
    body = {
        "model": "corn-7b",
        "messages": [{"role": "user", "content": f"peels at {entry['zone']}?"}],
        "max_tokens": 4,
        "stream": stream,
    }
    url = f"http://{entry['address']}/v1/chat/completions"
    for _ in range(100):
        async with session.post(url, json=body) as response:
            text = await response.text()
            if response.status == 200:
                zone = response.headers["X-Served-Zone"]
                kind = "streamed" if stream else "whole"
                print(f"{entry['name']} {kind} answer from zone {zone}:")
                print(f"  {' '.join(text.split())[:150]}")
                return
        await asyncio.sleep(0.1)
    raise SystemExit(f"no answer at {entry['name']}: {text}")


async def book(session: aiohttp.ClientSession, entry: dict) -> None:
    url = f"http://{entry['address']}/svc/depot/bookings"
    headers = {"Idempotency-Key": f"pickup-{entry['zone']}"}
    async with session.post(url, headers=headers, json={"bin": "B7"}) as response:
        print(f"{entry['name']} booking: {response.status} {await response.text()}")


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
