"""An entry without a path to the core hands streams on to a newer software version."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small import (  # noqa: E402
    CORE_GROUP,
    OTHER_GROUP,
    PORT_RANGE,
    PROXY_GROUP,
    READY_PORT,
    ZONES,
    Deployment,
    Machine,
)
from standins import CoreProxy, Stream, Worker, ask  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
HOME = "quito-a"
AWAY = "guayaquil-a"
START_SECONDS = 25.0
POLL_SECONDS = 0.2
SETTLE_SECONDS = 8.0
"""More than ``contact_ms``, and what replicas need to know all entries and workers."""

STREAMS = 24
DEADLINE_SECONDS = 15.0
CUT_SECONDS = 5.5
"""The longest cut of single machines that the sheet's site file lists."""

DOWN_SECONDS = 2.0
"""Less than the site's day with a ``node_kill`` of entries lists."""

ALLOWED = 2
"""Streams that may hold events of two versions."""


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
    """Core machines, two entries in each of three zones, and workers in one of them."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.core = [
            deployment.add(f"core-{zone}-1", "control", zone) for zone in sorted(ZONES)
        ]
        deployment.seeds = [node.control for node in self.core]
        zones = [AWAY, *sorted(ZONES), *(zone for zone in ZONES if zone != AWAY)]
        self.away, *self.others = (
            deployment.add(f"edge-{zone}-{number}", "entry", zone)
            for number, zone in enumerate(zones, 1)
        )
        self.proxies = [self._proxy(node) for node in self.core]
        self.workers: list[Worker] = []

    def _proxy(self, node: Machine) -> CoreProxy:
        """Return a proxy before a core machine, as the cut entry's way to it."""
        deployment = self.deployment
        ip = deployment.address(PROXY_GROUP)
        self.away.seeds = [*(self.away.seeds or []), f"{ip}:8146"]
        assert ip.rpartition(".")[2] == node.ip.rpartition(".")[2]
        return CoreProxy(
            listen=f"{ip}:{PORT_RANGE[0]}",
            target=f"{node.ip}:{PORT_RANGE[0]}",
            core_network=deployment.network(CORE_GROUP),
            proxy_network=deployment.network(PROXY_GROUP),
        )

    async def start(self) -> bool:
        """Start all; return whether it serves."""
        deployment = self.deployment
        for proxy in self.proxies:
            await proxy.start()
        for node in self.core:
            deployment.start(node, bootstrap=True)
        for entry in (self.away, *self.others):
            deployment.start(entry)
        if not await self._until(self._put):
            return False
        await self.add_worker("i-first-1", "v1")
        await self.add_worker("i-first-2", "v1")
        for entry in (self.away, *self.others):
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
        )
        self.workers.append(worker)
        await worker.start()

    def stream(self, number: int) -> Stream:
        """Return a stream that begins at the entry far from home."""
        return Stream(
            name=f"stream-{number:02}",
            host=HOST,
            path=f"/chat/{number}",
            headers={
                "X-Poplarlug-Model": "m",
                "X-Poplarlug-Token-Count": "200,400",
                "X-Poplarlug-Prompt-Prefix": f"{number + 16:08x}:100,{number + 256:08x}:100",
            },
            body=b"what goes in the bin?",
            entries=[self.away.front, *(entry.front for entry in self.others[:2])],
            deadline_seconds=DEADLINE_SECONDS,
            note=self.deployment.note,
        )

    async def stop(self) -> None:
        for worker in self.workers:
            await worker.stop()
        for proxy in self.proxies:
            await proxy.stop()

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
        if HAS_TROUBLE:
            deployment.note(
                f"{case.away.name} and the core are cut off from each other"
            )
            for proxy in case.proxies:
                proxy.cut()
            asyncio.get_running_loop().call_later(CUT_SECONDS, join, case)
        await asyncio.sleep(0.3)
        # As planned, workers of a newer version join those that serve.
        for number in (1, 2):
            await case.add_worker(f"i-newer-{number}", "v2")
        await asyncio.sleep(1.2)
        streams = [case.stream(number) for number in range(STREAMS)]
        running = []
        for stream in streams:
            running.append(asyncio.ensure_future(stream.run()))
            await asyncio.sleep(0.06)
        await asyncio.sleep(1.0)
        deployment.kill(case.away)
        await asyncio.sleep(DOWN_SECONDS)
        deployment.start(case.away)
        await asyncio.gather(*running)
        return judge(deployment, streams)
    finally:
        await case.stop()


def join(case: Case) -> None:
    case.deployment.note("the cut heals")
    for proxy in case.proxies:
        proxy.join()


def judge(deployment: Deployment, streams: list[Stream]) -> int:
    whole = [stream for stream in streams if stream.is_whole]
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    for stream in mixed:
        deployment.note(f"{stream.name} holds events of {sorted(stream.versions)}")
    deployment.note(
        f"{len(streams)} streams, {len(whole)} whole, {len(mixed)} of two versions"
    )
    newer = sum("v2" in stream.versions for stream in streams)
    if newer <= ALLOWED:
        deployment.note(f"could not run: {newer} streams reached the newer version")
        return 2
    return int(len(mixed) > ALLOWED)


def main() -> int:
    deployment = Deployment(record=FOLDER / "record.txt")
    try:
        return asyncio.run(run(deployment))
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
