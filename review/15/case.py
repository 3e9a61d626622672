"""A model worker comes back cold under its id, and its first heartbeat arrives late."""

import http.client
import os
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
DOWN_SECONDS = 2.0
LATE_SECONDS = 3.0
COLD_SECONDS = 3.0
WARMUP_PER_SECOND = 2.8
BOUND = WARMUP_PER_SECOND * BOUNDS["cold_overage"] + BOUNDS["cold_slack"]
CRASH_AT = 22
"""Requests in a second, some three times the bound, at which a cold worker crashes."""

REQUESTS_PER_SECOND = 30
SECONDS = 14.0
EVENTS = 10
WORKER_ZONES = ("quito-a", "quito-a", "cuenca-a", "cuenca-a", "guayaquil-a")


class Client:
    """Sends requests at a steady rate, each on a connection of its own."""

    def __init__(self, *, address: tuple[str, int]) -> None:
        self._address = address
        self._lock = threading.Lock()
        self.sent_at: dict[str, float] = {}
        self.outcomes: dict[str, str] = {}

    def run(self) -> None:
        began = time.monotonic()
        threads = []
        for number in range(int(SECONDS * REQUESTS_PER_SECOND)):
            due = began + number / REQUESTS_PER_SECOND
            time.sleep(max(0.0, due - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(number,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(20)

    def _send(self, number: int) -> None:
        headers = request_headers(15_000) | {
            "X-Poplarlug-Model": "m",
            "X-Poplarlug-Token-Count": f"300,{5 * EVENTS}",
            "X-Poplarlug-Prompt-Prefix": f"{0xA0000000 + number:x}:300",
        }
        request = headers["X-Poplarlug-Attempt-Id"]
        with self._lock:
            self.sent_at[request] = time.monotonic()
        outcome = "no answer"
        connection = http.client.HTTPConnection(*self._address, timeout=16)
        try:
            connection.request("POST", "/chat/1", b"hello", headers)
            answer = connection.getresponse()
            outcome = f"{answer.status}, broken off"
            answer.read()
            outcome = str(answer.status)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with self._lock:
            self.outcomes[request] = outcome


def busiest_second(sent_at: dict[str, float]) -> int:
    """Return the most requests that a cold worker got and that were sent in a second."""
    pattern = r"^(\d+\.\d+) (\S+) \S+: runs (\S+) .*, cold"
    lines = (FOLDER / "record.txt").read_text()
    arrivals = [
        (float(at), sent_at.get(request, 0.0))
        for at, _, request in re.findall(pattern, lines, re.M)
    ]
    return max(
        (
            sum(
                start <= sent and start <= arrived <= start + 1.0
                for arrived, sent in arrivals
            )
            for start in [sent for _, sent in arrivals]
        ),
        default=0,
    )


def play(deployment: Deployment, workers: ModelWorkers, record: Record) -> int:
    deployment.start_all(
        [
            route(
                "chat",
                "streaming",
                "pool",
                sticky=True,
                target_latency_ms=800,
                gap_target_ms=400,
                home_regions=["costa"],
            )
        ]
    )
    for number, zone in enumerate(WORKER_ZONES, 1):
        workers.start(f"i-{number}", zone)
    name = deployment.entries[2]
    wait_until(
        lambda: "all entries are known" in deployment.log(name),
        "the entry doesn't know all entries",
    )
    client = Client(address=deployment.entry_address(name))
    sending = threading.Thread(target=client.run)
    sending.start()
    time.sleep(2.0)
    if TROUBLE:
        workers.crash("i-5")
        time.sleep(DOWN_SECONDS)
        workers.start(
            "i-5",
            "guayaquil-a",
            cold_s=COLD_SECONDS,
            late_s=LATE_SECONDS,
            crash_at=CRASH_AT,
        )
    sending.join()
    for request, outcome in client.outcomes.items():
        record.note(f"client: {request} got {outcome}")
    counts: dict[str, int] = {}
    for outcome in client.outcomes.values():
        counts[outcome] = counts.get(outcome, 0) + 1
    record.note(f"outcomes: {counts}")
    if not TROUBLE and counts.get("200", 0) < len(client.outcomes):
        raise RuntimeError("without trouble not all requests are served")
    busiest = busiest_second(client.sent_at)
    record.note(f"FAILBACK: at most {busiest} in a second, the bound is {BOUND:.1f}")
    return busiest


def main() -> int:
    record = Record(folder=FOLDER)
    deployment = Deployment(record=record)
    deployment.service_fields = {
        "engine": ENGINE,
        "cold_start_s": COLD_SECONDS,
        "warmup_per_s": WARMUP_PER_SECOND,
    }
    workers = ModelWorkers(
        deployment=deployment,
        record=record,
        folder=FOLDER,
        events=EVENTS,
        event_s=0.05,
    )
    try:
        return 1 if play(deployment, workers, record) > BOUND else 0
    except RuntimeError as error:
        record.note(f"the case could not run: {error}")
        return 2
    finally:
        workers.close()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
