"""An operator's order that a frozen control replica reads late undoes a newer one."""

import signal
import threading
import time
from pathlib import Path

from review.harness import (
    BOUNDS,
    Deployment,
    call,
    configuration,
    request_headers,
    run_case,
)
from review.worker import Worker

ZONE = "quito-a"
FREEZE_SECONDS = 7.0
NEXT_EVACUATION_SECONDS = 2.0
"""From the acknowledged withdrawal to the zone's next evacuation."""

WATCH_SECONDS = 9.0
"""From the moment at which the frozen replica wakes up; the first 5 s aren't judged."""

REQUESTS_PER_SECOND = 20.0


class Clients(threading.Thread):
    """Send safe requests to the entries in turn, each on a new connection."""

    def __init__(self, record, deployment):
        super().__init__(daemon=True)
        self._record = record
        self._deployment = deployment
        self._stopped = threading.Event()

    def run(self):
        number = 0
        while not self._stopped.wait(1 / REQUESTS_PER_SECOND):
            entry = self._deployment.entries[number % len(self._deployment.entries)]
            number += 1
            headers = request_headers()
            address = self._deployment.entry_address(entry)
            answer = call(address, "GET", "/look/7", None, headers)
            request_id = headers["X-Poplarlug-Attempt-Id"]
            self._record.note(f"client: {request_id} at {entry}: {answer.status}")

    def stop(self):
        self._stopped.set()
        self.join()


def case(record, folder, trouble):
    deployment = Deployment(folder, record, ("quito-a", "cuenca-a"))
    workers = []
    clients = Clients(record, deployment)
    try:
        deployment.start_all()
        body = configuration(1, ["desk"], look={})
        deployment.operate("PUT", "/config", body)
        deployment.wait_ready()
        workers = [
            Worker(record, deployment, "worker-quito", ZONE),
            Worker(record, deployment, "worker-cuenca", "cuenca-a"),
        ]
        deployment.wait_served("/look/1")
        clients.start()
        time.sleep(8.0)
        return play(record, deployment, workers[0], trouble)
    finally:
        if clients.is_alive():
            clients.stop()
        for worker in workers:
            worker.close()
        deployment.close()


def play(record, deployment, worker, trouble):
    """Freeze each replica once, one after the other, around the same orders."""
    deployment.operate("POST", f"/evacuations/{ZONE}")
    time.sleep(3.0)
    late = 0
    for frozen in deployment.control.values():
        judged_from, judged_until = play_round(record, deployment, frozen, trouble)
        found = sum(judged_from < run[0] < judged_until for run in worker.ran)
        record.note(f"{found} requests ran in {ZONE} though it is evacuated")
        late += found
    print(f"EVAC: {late} requests reached the evacuated zone")
    return not late


def play_round(record, deployment, frozen, trouble):
    """
    Withdraw the evacuation and order it again, with one replica frozen.

    Returns the span in which no request may reach the zone.
    """
    path = f"/evacuations/{ZONE}"
    if trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    frozen_at = time.monotonic()
    deployment.operate("DELETE", path, first=[frozen])
    time.sleep(NEXT_EVACUATION_SECONDS)
    others = [name for name in deployment.control.values() if name != frozen]
    deployment.operate("POST", path, first=others)
    acknowledged_at = time.monotonic()
    time.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
    if trouble:
        deployment.signal(frozen, signal.SIGCONT)
    woken_at = time.monotonic()
    time.sleep(WATCH_SECONDS)
    # Machines are in touch again ``contact_ms`` after the last event at the core.
    judged_from = max(
        acknowledged_at + BOUNDS["evacuate_ms"] / 1000,
        woken_at + BOUNDS["contact_ms"] / 1000,
    )
    return judged_from, time.monotonic()


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
