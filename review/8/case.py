"""All core machines and an entry are killed at once; clients take their streams up."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small import (  # noqa: E402
    OTHER_GROUP,
    READY_PORT,
    ZONES,
    Deployment,
    Machine,
)
from standins import Stream, Worker, ask  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
HOME = "quito-a"
START_SECONDS = 25.0
POLL_SECONDS = 0.2
SETTLE_SECONDS = 8.0
"""More than ``contact_ms``, and what replicas need to know all entries and workers."""

STREAMS = 24
NEW_STREAMS = 20
EVENTS = 120
DEADLINE_SECONDS = 15.0
DOWN_SECONDS = 0.5
"""How long the core is down: it is "back within a second"."""

CONTACT_SECONDS = 5.0
PAUSES = [0.0, 0.05, 2.5, 4.5]
"""How long a client waits before each try: three more within its deadline."""

MIN_TAKEN_UP = 12


def configuration() -> bytes:
    """Return the configuration: streams that may be resumed, at home in one region."""
    route = {
        "name": "chat",
        "host": HOST,
        "path_prefix": "/chat/",
        "route_kind": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 800,
        "priority": 0,
        "service": "pool",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 400,
        "home_regions": [ZONES[HOME]],
    }
    engine = {
        "slots": 128,
        "kv_capacity_tokens": 209554,
        "kv_bytes": 262144,
        "link_mbps": 740000.0,
        "moves": True,
        "backups": True,
        "stride": 5,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    service = {
        "name": "pool",
        "health_path": "/healthz",
        "max_connections": 630,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "warmup_per_s": 0.0,
        "engine": engine,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    document: dict[str, Any] = {
        "version": 3,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }
    return json.dumps(document).encode()


class Case:
    """Core machines, five entries in three zones, and workers of two versions."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.core = [
            deployment.add(f"core-{zone}-1", "control", zone) for zone in sorted(ZONES)
        ]
        deployment.seeds = [node.control for node in self.core]
        zones = [HOME, HOME, *sorted(ZONES)]
        self.entries = [
            deployment.add(f"edge-{zone}-{number}", "entry", zone)
            for number, zone in enumerate(zones, 1)
        ]
        self.workers: list[Worker] = []

    async def start(self) -> bool:
        """Start all; return whether it serves."""
        deployment = self.deployment
        for node in self.core:
            deployment.start(node, bootstrap=True)
        for entry in self.entries:
            deployment.start(entry)
        if not await self._until(self._put):
            return False
        for version in ("v1", "v2"):
            for number in (1, 2):
                await self.add_worker(f"i-{version}-{number}", version)
        for entry in self.entries:
            if not await self._until(lambda entry=entry: self._is_ready(entry)):
                return False
        await asyncio.sleep(SETTLE_SECONDS)
        return True

    async def add_worker(self, worker_id: str, version: str) -> None:
        """Start a worker in the home region."""
        near = sorted(self.core, key=lambda node: node.zone != HOME)
        worker = Worker(
            worker_id=worker_id,
            address=f"{self.deployment.address(OTHER_GROUP)}:8300",
            service="pool",
            zone=HOME,
            version=version,
            controls=[node.control for node in near],
            note=self.deployment.note,
            events=EVENTS,
        )
        self.workers.append(worker)
        await worker.start()

    def stream(self, number: int, entries: list[Machine]) -> Stream:
        """Return a stream with a prompt of its own."""
        return Stream(
            name=f"stream-{number:02}",
            host=HOST,
            path=f"/chat/{number}",
            headers={
                "X-Poplarlug-Model": "m",
                "X-Poplarlug-Token-Count": "200,600",
                "X-Poplarlug-Prompt-Prefix": f"{number + 16:08x}:100,{number + 256:08x}:100",
            },
            body=b"what goes in the bin?",
            entries=[entry.front for entry in entries],
            deadline_seconds=DEADLINE_SECONDS,
            note=self.deployment.note,
            pauses=PAUSES,
        )

    async def stop(self) -> None:
        for worker in self.workers:
            await worker.stop()

    async def _put(self) -> bool:
        for node in self.core:
            status, _ = await ask(node.control, "PUT", "/config", {}, configuration())
            if status == 200:
                self.deployment.note(f"PUT /config at {node.name}: 200")
                return True
        return False

    async def _is_ready(self, entry: Machine) -> bool:
        status, _ = await ask(f"{entry.ip}:{READY_PORT}", "GET", "/readyz")
        return status == 200

    async def _until(self, check: Any) -> bool:
        for _ in range(int(START_SECONDS / POLL_SECONDS)):
            if await check():
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False


async def run(deployment: Deployment) -> int:
    case = Case(deployment)
    try:
        if not await case.start():
            deployment.note("could not run: the deployment does not get ready")
            return 2
        lost, other = case.entries[:2]
        # Each try after the first one is at the other entry of the zone.
        streams = [
            case.stream(number, [lost, *[other] * (len(PAUSES) - 1)])
            for number in range(STREAMS)
        ]
        running = [asyncio.ensure_future(stream.run()) for stream in streams]
        await asyncio.sleep(2.0)
        killed = [lost, *case.core] if HAS_TROUBLE else [lost]
        for machine in killed:
            deployment.kill(machine)
        stable_at = time.monotonic()
        await asyncio.sleep(DOWN_SECONDS)
        for machine in killed:
            deployment.start(machine)
        if HAS_TROUBLE:
            stable_at = time.monotonic() + CONTACT_SECONDS
        await asyncio.sleep(max(0.0, stable_at - time.monotonic()) + 1.0)
        new = [case.stream(STREAMS + number, [other]) for number in range(NEW_STREAMS)]
        await asyncio.gather(*running, *(stream.run() for stream in new))
        return judge(deployment, streams, new, stable_at)
    finally:
        await case.stop()


def judge(
    deployment: Deployment, streams: list[Stream], new: list[Stream], stable_at: float
) -> int:
    """Judge the tries at the other entry since it and the core are in touch."""
    tries = [[one for one in s.tries[1:] if one.at >= stable_at] for s in streams]
    taken_up = [of_stream for of_stream in tries if of_stream]
    gone_on = [t for t in taken_up if any(one.events for one in t)]
    begun = [stream for stream in new if stream.events]
    deployment.note(
        f"{len(taken_up)} streams taken up in touch, {len(gone_on)} gone on;"
        f" {len(new)} new ones, {len(begun)} begun"
    )
    if len(taken_up) < MIN_TAKEN_UP or not begun:
        deployment.note("could not run: too few streams")
        return 2
    is_broken = len(gone_on) / len(taken_up) < 0.5 * len(begun) / len(new)
    return int(is_broken)


def main() -> int:
    deployment = Deployment(record=FOLDER / "record.txt")
    try:
        return asyncio.run(run(deployment))
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
