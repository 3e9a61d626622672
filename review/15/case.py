"""Clients take streams up elsewhere after losses of the core that overlap."""

import http.client
import os
import re
import shutil
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from model_workers import ENGINE, ModelWorkers  # noqa: E402
from small_deployment import (  # noqa: E402
    Deployment,
    Record,
    request_headers,
    route,
    wait_until,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 24
EVENTS = 48
EVENT_SECONDS = 0.2
DEADLINE_SECONDS = 15.0
MAX_TRIES = 4
PATIENCE_SECONDS = 3.2
"""How long a client waits for the next event of a stream: eight of its pauses."""

RETRY_SECONDS = 1.0
KILLED_SECONDS = 2.5
WIPED_SECONDS = 1.5
LOST_SECONDS = 6.0
"""How long the killed, the wiped and the lost machines are down."""

MAX_JOINED = 2
"""The rule is broken by more streams than this."""

ENTRY_ZONES = ("cuenca-a", *3 * ("quito-a",), *3 * ("guayaquil-a",))
WORKER_VERSIONS = (
    ("quito-a", "v1"),
    ("quito-a", "v2"),
    ("guayaquil-a", "v1"),
    ("guayaquil-a", "v2"),
)
"""Zone and version of each worker; none is in the region that is lost."""


class Stream(threading.Thread):
    """A client that takes its stream up elsewhere."""

    def __init__(self, *, addresses: list[tuple[str, int]]) -> None:
        super().__init__(daemon=True)
        self._addresses = addresses
        self._until = time.monotonic() + DEADLINE_SECONDS
        self._held = b""
        self.ids: list[str] = []
        self.events: list[tuple[int, str]] = []
        self.outcomes: list[str] = []

    def run(self) -> None:
        for address in self._addresses:
            if self._read_from(address):
                return
            if len(self.outcomes) == 1:
                # A machine without power sends nothing, not even a reset.
                time.sleep(PATIENCE_SECONDS)
            else:
                time.sleep(RETRY_SECONDS)

    def _headers(self) -> dict[str, str]:
        left = max(0.1, self._until - time.monotonic())
        headers = request_headers(round(1000 * left)) | {
            "X-Poplarlug-Model": "m",
            "X-Poplarlug-Token-Count": f"300,{5 * EVENTS + 50}",
            "X-Poplarlug-Prompt-Prefix": f"{id(self) % 2**32:x}:300",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.ids[0]
        self.ids.append(headers["X-Poplarlug-Attempt-Id"])
        return headers

    def _read_from(self, address: tuple[str, int]) -> bool:
        """Return whether an attempt has got the end of the stream."""
        self._held = b""
        connection = http.client.HTTPConnection(*address, timeout=DEADLINE_SECONDS)
        try:
            connection.request("POST", "/chat/1", b"hello", self._headers())
            answer = connection.getresponse()
            self.outcomes.append(str(answer.status))
            if answer.status != 200:
                return False
            while part := answer.read1(65536):
                self._take(part)
            self.outcomes[-1] += " whole"
            return True
        except (OSError, http.client.HTTPException) as error:
            self.outcomes.append(f"broken off ({type(error).__name__})")
            return False
        finally:
            connection.close()

    def _take(self, part: bytes) -> None:
        *whole, self._held = (self._held + part).split(b"\n\n")
        for event in whole:
            found = re.fullmatch(rb"id: (\d+)\ndata: (\S+)", event)
            self.events.append((int(found[1]), found[2].decode()))

    @property
    def versions(self) -> list[str]:
        return sorted({version for _, version in self.events})


class Core:
    """The three core machines: one behind, one that is wiped, one that is lost."""

    def __init__(self, *, deployment: Deployment) -> None:
        self._deployment = deployment
        self.behind = deployment.control["guayaquil-a"]
        self.wiped = deployment.control["quito-a"]
        self.lost = deployment.control["cuenca-a"]

    def kill(self, *names: str) -> None:
        for name in names:
            self._deployment.signal(name, signal.SIGKILL)
        for name in names:
            self._deployment.processes[name].wait()

    def wipe(self) -> None:
        shutil.rmtree(self._deployment.folder / f"{self.wiped}-data")
        self._deployment.record.note(f"{self.wiped} has lost its disk")


def start(deployment: Deployment, workers: ModelWorkers) -> list[dict[str, Any]]:
    """Start everything with workers of two versions; return the routes."""
    kinds = {
        "timeout_ms": 1000 * DEADLINE_SECONDS,
        "sticky": True,
        "resumable": True,
        "max_attempts": 2,
        "target_latency_ms": 800,
        "gap_target_ms": 400,
    }
    routes = [route("chat", "streaming", "pool", **kinds)]
    deployment.start_all(routes)
    for number, (zone, version) in enumerate(WORKER_VERSIONS, 1):
        workers.start(f"i-{number}", zone, version=version)
        # The first worker of v1 was there before those of v2.
        time.sleep(1.0 if number == 1 else 0.2)
    wait_until(
        lambda: all(
            "all entries are known" in deployment.log(name)
            and '"v2"' in deployment.log(name)
            for name in deployment.entries
        ),
        "the entries don't know all entries and both versions",
    )
    time.sleep(2.0)
    return routes


def wait_until_at(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def play(deployment: Deployment, workers: ModelWorkers, record: Record) -> int:
    routes = start(deployment, workers)
    core = Core(deployment=deployment)
    entry, *others = deployment.entries
    addresses = [deployment.entry_address(name) for name in others]
    if TROUBLE:
        core.kill(core.behind)
    killed_at = time.monotonic()
    streams = []
    for number in range(STREAMS):
        elsewhere = [addresses[(number + n) % len(addresses)] for n in range(MAX_TRIES)]
        streams.append(Stream(addresses=[deployment.entry_address(entry), *elsewhere]))
        streams[-1].start()
        time.sleep(0.03)
    wait_until(lambda: all(s.events for s in streams), "not all streams begin", 10)
    began_at = [stream.versions[0] for stream in streams]
    record.note(
        f"streams begun, by version: v1 {began_at.count('v1')}, v2 {began_at.count('v2')}"
    )
    if began_at.count("v2") <= MAX_JOINED:
        raise RuntimeError("too few streams begin at v2")
    deployment.configure(2, routes)
    if TROUBLE:
        core.kill(core.wiped, core.lost, entry)
        lost_at = time.monotonic()
        core.wipe()
        wait_until_at(lost_at + WIPED_SECONDS)
        deployment.start(core.wiped)
        wait_until_at(killed_at + KILLED_SECONDS)
        deployment.start(core.behind)
        wait_until_at(lost_at + LOST_SECONDS)
        deployment.start(core.lost)
        deployment.start(entry)
    for stream in streams:
        stream.join(30)
    joined = 0
    for stream in streams:
        numbers = [number for number, _ in stream.events]
        in_order = numbers == list(range(1, len(numbers) + 1))
        record.note(
            f"client: {', '.join(stream.ids)} got {', '.join(stream.outcomes)}:"
            f" {len(numbers)} events, in order: {in_order}, of {stream.versions}"
        )
        joined += len(stream.versions) > 1
        if not TROUBLE and not (len(numbers) == EVENTS and in_order):
            raise RuntimeError("without trouble a stream isn't whole")
    record.note(f"ORDER: {joined} streams hold events of two versions")
    return joined


def main() -> int:
    record = Record(folder=FOLDER)
    deployment = Deployment(record=record, entry_zones=ENTRY_ZONES)
    workers = ModelWorkers(
        deployment=deployment,
        record=record,
        folder=FOLDER,
        events=EVENTS,
        event_s=EVENT_SECONDS,
    )
    deployment.service_fields = {"engine": ENGINE, "cold_start_s": 0.0}
    try:
        return 1 if play(deployment, workers, record) > MAX_JOINED else 0
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        workers.close()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
