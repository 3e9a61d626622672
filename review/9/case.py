"""A request crashes the workers that run it; they are back under their ids."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small import (  # noqa: E402
    OTHER_GROUP,
    READY_PORT,
    ZONES,
    Deployment,
    configuration,
)
from standins import Head, Worker, ask, write_head  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
HOME = "quito-a"
DEADLY = "/book/deadly"
WORKERS = 3
START_SECONDS = 25.0
POLL_SECONDS = 0.2
SETTLE_SECONDS = 8.0
RUN_SECONDS = 60.0
WORK_SECONDS = 0.0225
DOWN_SECONDS = 2.0
FIRST_BEAT_SECONDS = 1.2
"""When a worker that is back sends its first heartbeat: ``heartbeat_ms`` after its
start."""

DEADLY_SECONDS = 5.0
"""Interval at which the deadly request comes again."""

SOUND_SECONDS = 0.06
DEADLINE_SECONDS = 5.0
CONTACT_SECONDS = 5.0
ALLOWED = 3
"""Retries that may reach workers later than ``contact_ms`` after the third crash."""


class DeskWorker(Worker):
    """A worker that a request with a certain path crashes when it begins to run."""

    def __init__(self, *, case: "Case", **options: Any) -> None:
        super().__init__(**options)
        self._case = case

    async def _run(
        self, head: Head, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        self.runs += 1
        if f" {DEADLY} " in head.first:
            self._case.note_deadly(self, attempt)
            await asyncio.sleep(DEADLINE_SECONDS)
            return
        await asyncio.sleep(WORK_SECONDS)
        fields = {
            "Content-Length": "2",
            "X-Poplarlug-Attempt-Id": attempt,
            "X-Poplarlug-Response-Stamp": f"{self.id}.{self.runs}",
        }
        await write_head(writer, "200 OK", fields)
        writer.write(b"ok")
        await writer.drain()


class Case:
    """Core machines, two entries in one zone, and workers of a plain service there."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.core = [
            deployment.add(f"core-{zone}-1", "control", zone) for zone in sorted(ZONES)
        ]
        deployment.seeds = [node.control for node in self.core]
        self.entries = [
            deployment.add(f"edge-{HOME}-{number}", "entry", HOME) for number in (1, 2)
        ]
        self.workers: list[DeskWorker] = []
        self.deadly_at: list[float] = []
        self.answers: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._starts = 0

    async def start(self) -> bool:
        """Start all; return whether it serves."""
        for node in self.core:
            self.deployment.start(node, bootstrap=True)
        for entry in self.entries:
            self.deployment.start(entry)
        if not await self._until(self._put):
            return False
        for number in range(WORKERS):
            address = f"{self.deployment.address(OTHER_GROUP)}:8300"
            await self.add_worker(f"i-{number}", address)
        for entry in self.entries:
            ready = f"{entry.ip}:{READY_PORT}"
            if not await self._until(lambda ready=ready: self._is_ready(ready)):
                return False
        await asyncio.sleep(SETTLE_SECONDS)
        return True

    async def add_worker(
        self, worker_id: str, address: str, first_beat_seconds: float = 0.0
    ) -> None:
        near = sorted(self.core, key=lambda node: node.zone != HOME)
        worker = DeskWorker(
            case=self,
            worker_id=worker_id,
            address=address,
            service="desk",
            zone=HOME,
            version="v1",
            controls=[node.control for node in near],
            note=self.deployment.note,
            slots=6,
            first_beat_seconds=first_beat_seconds,
        )
        self.workers.append(worker)
        await worker.start()

    def note_deadly(self, worker: DeskWorker, attempt: str) -> None:
        """Note that a worker began to run the deadly request, which crashes it."""
        self.deadly_at.append(time.monotonic())
        self.deployment.note(f"{worker.id} begins to run {attempt}")
        task = asyncio.ensure_future(self._replace(worker))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, worker: DeskWorker) -> None:
        """Crash a worker, and start it again at its address."""
        await worker.crash()
        self.workers.remove(worker)
        await asyncio.sleep(DOWN_SECONDS)
        self._starts += 1
        worker_id = worker.id if HAS_TROUBLE else f"i-again-{self._starts}"
        await self.add_worker(worker_id, worker.address, FIRST_BEAT_SECONDS)

    async def send_sound(self) -> None:
        """Send sound requests at a steady rate, each with a path of its own."""
        asking: set[asyncio.Task[None]] = set()
        ends_at = time.monotonic() + RUN_SECONDS
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            kind = "look" if number % 2 else "book"
            task = asyncio.ensure_future(self._send(kind, number, f"/{kind}/{number}"))
            asking.add(task)
            task.add_done_callback(asking.discard)
            await asyncio.sleep(SOUND_SECONDS)
        await asyncio.gather(*asking)

    async def send_deadly(self) -> None:
        """Send the deadly request again and again, as its client does."""
        for number in range(int(RUN_SECONDS / DEADLY_SECONDS)):
            await self._send("deadly", number, DEADLY)
            await asyncio.sleep(DEADLY_SECONDS)

    async def _send(self, kind: str, number: int, path: str) -> None:
        entry = self.entries[number // 2 % len(self.entries)]
        headers = {
            "Host": HOST,
            "X-Poplarlug-Attempt-Id": f"{kind}-{number}",
            "X-Poplarlug-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        method, body = ("GET", b"") if kind == "look" else ("POST", b"a bin")
        status, _ = await ask(
            entry.front, method, path, headers, body, DEADLINE_SECONDS
        )
        self.answers[f"{kind} {status}"] += 1
        if kind == "deadly":
            self.deployment.note(f"client: {kind}-{number} at {entry.name}: {status}")

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            await worker.stop()

    async def _put(self) -> bool:
        for node in self.core:
            status, _ = await ask(node.control, "PUT", "/config", {}, configuration(3))
            if status == 200:
                self.deployment.note(f"PUT /config at {node.name}: 200")
                return True
        return False

    async def _is_ready(self, address: str) -> bool:
        status, _ = await ask(address, "GET", "/readyz")
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
        await asyncio.gather(case.send_sound(), case.send_deadly())
    finally:
        await case.stop()
    crashes = case.deadly_at
    deployment.note(f"answers: {dict(sorted(case.answers.items()))}")
    if len(crashes) < ALLOWED:
        deployment.note("could not run: the request crashed too few workers")
        return 2
    late = [at for at in crashes if at > crashes[2] + CONTACT_SECONDS]
    deployment.note(
        f"{len(crashes)} workers crashed; {len(late)} sends reached workers later than"
        f" {CONTACT_SECONDS} s after the third crash"
    )
    return int(len(late) > ALLOWED)


def main() -> int:
    deployment = Deployment(record=FOLDER / "record.txt")
    try:
        return asyncio.run(run(deployment))
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
