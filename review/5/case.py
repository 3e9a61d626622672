"""Streams can't be taken up again after all control replicas were restarted at once."""

import http.client
import signal
import threading
import time
import uuid
from pathlib import Path

from review.harness import (
    BOUNDS,
    DEADLINE,
    ENTRY_PORT,
    HOST,
    ID,
    Deployment,
    configuration,
    run_case,
)
from review.worker import Worker

STREAMS = 30
NEW_STREAMS = 20
EVENTS = 120
EVENT_SECONDS = 0.1
DEADLINE_SECONDS = 15.0
RETRIES = 3
BACK_AFTER_SECONDS = 0.5
"""From the kill of the control replicas to their restart."""

FEWEST_TAKEN_UP = 12
LEAST_SHARE = 0.5
"""Of the share of new streams that begin."""


class Stream(threading.Thread):
    """A client that takes its stream up again where its connection breaks."""

    def __init__(self, record, ips, retries=RETRIES):
        super().__init__(daemon=True)
        self.ids = []
        self.events = []
        self.taken_up = False
        self.goes_on = False
        self.statuses = []
        self._record = record
        self._ips = ips
        self._retries = retries
        self._deadline = time.monotonic() + DEADLINE_SECONDS

    def run(self):
        for number in range(1 + self._retries):
            self._attempt(self._ips[min(number, len(self._ips) - 1)])
            left = self._deadline - time.monotonic()
            if len(self.events) == EVENTS or left < 1.0:
                break
            time.sleep(0.3)
        self._record.note(
            f"client {self.ids[0]}: {len(self.events)} events, tries {self.statuses}"
        )

    def _attempt(self, ip):
        self.ids.append(uuid.uuid4().hex)
        left = self._deadline - time.monotonic()
        headers = {"Host": HOST, ID: self.ids[-1], DEADLINE: str(int(left * 1000))}
        before = len(self.events)
        if self.events:
            self.taken_up = True
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.ids[0]
        connection = http.client.HTTPConnection(ip, ENTRY_PORT, timeout=max(0.1, left))
        try:
            connection.request("POST", "/chat/7", b"hello", headers)
            answer = connection.getresponse()
            self.statuses.append(answer.status)
            while answer.status == 200 and (line := answer.readline()):
                if line.startswith(b"data: "):
                    version, number = line.decode().split()[1:]
                    self.events.append((int(number), version))
        except (OSError, http.client.HTTPException) as error:
            self.statuses.append(type(error).__name__)
        finally:
            connection.close()
        if before and len(self.events) > before:
            self.goes_on = True


def case(record, folder, trouble):
    deployment = Deployment(folder, record, ("quito-a", "quito-a", "quito-a"))
    workers = []
    try:
        deployment.start_all()
        chat = {
            "route_kind": "streaming",
            "resumable": True,
            "max_attempts": 2,
            "timeout_ms": 15000,
            "target_latency_ms": 800,
            "gap_target_ms": 400,
            "priority": 0,
        }
        body = configuration(1, ["desk"], look={}, chat=chat)
        deployment.operate("PUT", "/config", body)
        deployment.wait_ready()
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
            worker = Worker(
                record,
                deployment,
                f"worker-{name}",
                "quito-a",
                version=version,
                slots=128,
                events=EVENTS,
                event_seconds=EVENT_SECONDS,
            )
            workers.append(worker)
            time.sleep(0.5)
        deployment.wait_served("/look/1")
        time.sleep(10.0)
        return play(record, deployment, trouble)
    finally:
        for worker in workers:
            worker.close()
        deployment.close()


def play(record, deployment, trouble):
    lost, other, _ = deployment.entries
    ips = [deployment.ip(lost), deployment.ip(other)]
    streams = [Stream(record, ips) for _ in range(STREAMS)]
    for one in streams:
        one.start()
    time.sleep(1.0)
    if trouble:
        replicas = list(deployment.control.values())
        for name in replicas:
            deployment.kill(name)
        time.sleep(BACK_AFTER_SECONDS)
        for name in replicas:
            deployment.start(name)
    # The core is stable and machines are in touch ``contact_ms`` after its last event.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    deployment.signal(lost, signal.SIGKILL)
    new = [Stream(record, ips[1:], retries=0) for _ in range(NEW_STREAMS)]
    for one in new:
        one.start()
    for one in streams:
        one.join()
    begun = sum(bool(one.events) for one in new) / NEW_STREAMS
    taken_up = [one for one in streams if one.taken_up]
    go_on = sum(one.goes_on for one in taken_up)
    text = f"{go_on} of {len(taken_up)} streams go on; {begun:.0%} of new ones begin"
    record.note(text)
    print(f"LOST: {text}")
    if len(taken_up) < FEWEST_TAKEN_UP:
        return True
    return go_on / len(taken_up) >= LEAST_SHARE * begun


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
