"""A part of long prompts crashes each worker that begins to answer on it."""

import http.client
import os
import random
import re
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from model_workers import ENGINE, ModelWorkers  # noqa: E402
from small_deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    Record,
    request_headers,
    route,
    wait_until,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = 90
"""Parts of each prompt, as of a conversation of so many turns."""

DEADLY_PLACE = int(os.environ.get("DEADLY_PLACE", "70"))
"""Which of them crashes workers, from 1 on."""

DEADLY = "dead0001"
SECONDS = 45.0
DEADLY_SECONDS = 2.5
"""Time between two requests with the deadly part; no two of them are alike."""

SOUND_PER_SECOND = 8
DOWN_SECONDS = 2.0
CRASHES = 5
ALLOWED = 3
EVENTS = 20
WORKER_ZONES = ("quito-a", "quito-a", "quito-a", "cuenca-a", "cuenca-a")


def headers_with(parts: list[str]) -> dict[str, str]:
    listed = ",".join(f"{part}:20" for part in parts)
    return request_headers(15_000) | {
        "X-Poplarlug-Model": "m",
        "X-Poplarlug-Token-Count": f"{20 * len(parts)},{5 * EVENTS}",
        "X-Poplarlug-Prompt-Prefix": listed,
    }


class Clients:
    """Send sound requests and those with the deadly part, which share their beginning."""

    def __init__(self, *, addresses: list[tuple[str, int]]) -> None:
        self._addresses = addresses
        self._rng = random.Random(1)
        self._lock = threading.Lock()
        self.deadly: set[str] = set()
        self.outcomes: dict[str, str] = {}

    def send(self, *, is_deadly: bool) -> threading.Thread:
        common = [f"c0{place:06x}" for place in range(1, 41)]
        own = [f"{self._rng.getrandbits(32):08x}" for _ in range(PARTS - len(common))]
        parts = common + own
        if is_deadly:
            parts[DEADLY_PLACE - 1] = DEADLY
        headers = headers_with(parts)
        if is_deadly:
            self.deadly.add(headers["X-Poplarlug-Attempt-Id"])
        address = self._rng.choice(self._addresses)
        thread = threading.Thread(
            target=self._read, args=(address, headers), daemon=True
        )
        thread.start()
        return thread

    def _read(self, address: tuple[str, int], headers: dict[str, str]) -> None:
        outcome = "no answer"
        connection = http.client.HTTPConnection(*address, timeout=16)
        try:
            connection.request("POST", "/chat/1", os.urandom(16), headers)
            answer = connection.getresponse()
            outcome = f"{answer.status}, broken off"
            answer.read()
            outcome = str(answer.status)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with self._lock:
            self.outcomes[headers["X-Poplarlug-Attempt-Id"]] = outcome


class Platform(threading.Thread):
    """Starts workers again some time after they have crashed, with new ids."""

    def __init__(self, *, workers: ModelWorkers, zones: dict[str, str]) -> None:
        super().__init__(daemon=True)
        self._workers = workers
        self._zones = zones
        self.is_over = threading.Event()

    def run(self) -> None:
        ended_at: dict[str, float] = {}
        while not self.is_over.wait(0.1):
            for worker, process in list(self._workers.processes.items()):
                if process.poll() is None or worker not in self._zones:
                    continue
                since = ended_at.setdefault(worker, time.monotonic())
                if time.monotonic() - since >= DOWN_SECONDS:
                    zone = self._zones.pop(worker)
                    successor = f"{worker}x"
                    self._zones[successor] = zone
                    self._workers.start(successor, zone, deadly=DEADLY)


def late_arrivals(deadly: set[str]) -> tuple[int, int, int]:
    """Return crashes, deadly requests that reached workers, and those too late."""
    lines = (FOLDER / "record.txt").read_text()
    crashes = [
        float(at) for at in re.findall(r"^(\d+\.\d+) \S+ \S+: crashes as", lines, re.M)
    ]
    arrivals = [
        float(at)
        for at, request in re.findall(r"^(\d+\.\d+) \S+ \S+: runs (\S+)", lines, re.M)
        if request in deadly
    ]
    if len(crashes) < CRASHES:
        return len(crashes), len(arrivals), 0
    from_then = sorted(crashes)[CRASHES - 1] + BOUNDS["contact_ms"] / 1000
    return len(crashes), len(arrivals), sum(at > from_then for at in arrivals)


def play(deployment: Deployment, workers: ModelWorkers, record: Record) -> int:
    kinds = {"sticky": True, "target_latency_ms": 800, "gap_target_ms": 400}
    deployment.start_all([route("chat", "streaming", "pool", **kinds)])
    zones = {f"i-{n}": zone for n, zone in enumerate(WORKER_ZONES, 1)}
    for worker, zone in zones.items():
        workers.start(worker, zone, deadly=DEADLY)
    names = deployment.entries[:2]
    wait_until(
        lambda: all("all entries are known" in deployment.log(n) for n in names),
        "the entries don't know all entries",
    )
    platform = Platform(workers=workers, zones=zones)
    platform.start()
    clients = Clients(addresses=[deployment.entry_address(name) for name in names])
    threads = []
    began = time.monotonic()
    deadly_due = began + 2.0
    for number in range(int(SECONDS * SOUND_PER_SECOND)):
        due = began + number / SOUND_PER_SECOND
        time.sleep(max(0.0, due - time.monotonic()))
        threads.append(clients.send(is_deadly=False))
        if TROUBLE and time.monotonic() >= deadly_due:
            deadly_due += DEADLY_SECONDS
            threads.append(clients.send(is_deadly=True))
    for thread in threads:
        thread.join(17)
    platform.is_over.set()
    platform.join()
    counts: dict[str, int] = {}
    for request, outcome in clients.outcomes.items():
        kind = "deadly" if request in clients.deadly else "sound"
        record.note(f"client: {kind} {request} got {outcome}")
        counts[f"{kind} {outcome}"] = counts.get(f"{kind} {outcome}", 0) + 1
    record.note(f"outcomes: {counts}")
    if not TROUBLE and counts != {"sound 200": len(threads)}:
        raise RuntimeError("without trouble not all requests are served")
    crashes, arrived, late = late_arrivals(clients.deadly)
    record.note(
        f"BUDGET: {crashes} crashes; {len(clients.deadly)} requests with the part sent,"
        f" {arrived} reached workers, {late} of them later than contact_ms after the"
        f" fifth crash; {ALLOWED} may"
    )
    return late


def main() -> int:
    record = Record(folder=FOLDER)
    zones = ("quito-a", "quito-a", "cuenca-a", "guayaquil-a")
    deployment = Deployment(record=record, entry_zones=zones)
    deployment.service_fields = {"engine": ENGINE, "cold_start_s": 0.0}
    workers = ModelWorkers(
        deployment=deployment,
        record=record,
        folder=FOLDER,
        events=EVENTS,
        event_s=0.05,
    )
    try:
        return 1 if play(deployment, workers, record) > ALLOWED else 0
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        workers.close()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
