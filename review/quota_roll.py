"""A trial, no case: two core machines are stopped in turn while a tenant is over its quota.

Exits with 1 if QUOTA was broken, 0 if it held, 2 if the trial couldn't run. With
``TROUBLE=0`` nothing is stopped. It writes to ``quota_roll.d/record.txt`` beside it.
"""

import http.client
import json
import os
import re
import signal
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent))

from model_workers import ENGINE, ModelWorkers
from small_deployment import Deployment, Record, request_headers, route

FOLDER = Path(__file__).resolve().with_suffix(".d")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGIONS_BY_ZONE = {
    "bne-a": "bne",
    "bne-b": "bne",
    "tsv-a": "tsv",
    "tsv-b": "tsv",
    "lre-a": "lre",
    "lre-b": "lre",
}
WINDOW_SECONDS = 8
OVERAGE = 0.1
SLACK_TOKENS = 110_000
BOUNDS = {
    "contact_ms": 6000,
    "ack_ms": 8000,
    "catch_up_s": 6,
    "drain_ms": 4000,
    "config_apply_ms": 4000,
    "max_stretch_ms": 10000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "quota_window_s": WINDOW_SECONDS,
    "quota_overage": OVERAGE,
    "quota_slack": SLACK_TOKENS,
    "recover_s": 15,
}
KEY = "jbvk9m68k7b2ex5wa5xw"
RATE_TOKENS = BURST_TOKENS = 29_000
TENANT = {
    "name": "huka270",
    "api_keys": [KEY],
    "priority": 1,
    "unit": "token",
    "plain_tokens": 200,
    "rate_per_s": RATE_TOKENS,
    "burst": BURST_TOKENS,
    "home_regions": [],
}
PROMPT_TOKENS = 2900
REQUEST_TOKENS = 3000
CLIENTS_PER_ZONE = 16
PAUSE_SECONDS = 0.8
"""All clients together send some 40 requests a second, 120,000 tokens."""

SETTLE_SECONDS = 14.0
"""Longer than a new giver of credit waits for what it can't know."""

BEFORE_SECONDS = 2.5
GAP_SECONDS = 1.3
DOWN_SECONDS = 2.0
AFTER_SECONDS = 6.0


class Sent(NamedTuple):
    at: float
    status: int


class Client(threading.Thread):
    """Send a new request of the tenant after each pause."""

    def __init__(self, *, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self._address = address
        self.is_over = threading.Event()
        self.sent_by_id: dict[str, Sent] = {}

    def run(self) -> None:
        while not self.is_over.wait(PAUSE_SECONDS):
            self._send()

    def _send(self) -> None:
        headers = request_headers(4000) | {
            "Authorization": f"Token {KEY}",
            "X-Poplarlug-Model": "m",
            "X-Poplarlug-Token-Count": f"{PROMPT_TOKENS},{REQUEST_TOKENS - PROMPT_TOKENS}",
            "X-Poplarlug-Prompt-Prefix": f"{id(self) % 2**32:x}:{PROMPT_TOKENS}",
        }
        at = time.monotonic()
        status = 0
        connection = http.client.HTTPConnection(*self._address, timeout=5)
        try:
            connection.request("POST", "/chat/1", b"hello", headers)
            answer = connection.getresponse()
            status = answer.status
            answer.read()
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.sent_by_id[headers["X-Poplarlug-Attempt-Id"]] = Sent(at, status)


def leader_of(deployment: Deployment) -> str:
    """Return the core machine that was elected last, by its log."""
    elected = [
        (json.loads(line)["timestamp"], name)
        for name in deployment.control.values()
        for line in deployment.log(name).splitlines()
        if "elected leader" in line
    ]
    return max(elected)[1]


def stop_and_start(deployment: Deployment, name: str) -> None:
    deployment.signal(name, signal.SIGTERM)
    status = deployment.processes[name].wait(15)
    deployment.record.note(f"{name} has ended with {status}")
    time.sleep(DOWN_SECONDS)
    deployment.start(name)


def arrivals(record: Path) -> dict[str, float]:
    """Return when each request began to run, by its id."""
    lines = re.findall(r"^([\d.]+) \S+ \S+: runs (\w+)", record.read_text(), re.M)
    return {number: float(at) for at, number in lines}


def most_in_window(spans: list[tuple[float, float]]) -> int:
    """Return the most tokens that were sent and arrived in one window."""
    counts = [
        sum(start <= sent and at <= start + WINDOW_SECONDS for sent, at in spans)
        for start, _ in spans
    ]
    return REQUEST_TOKENS * max(counts, default=0)


def play(deployment: Deployment, workers: ModelWorkers, record: Record) -> bool:
    kinds = {
        "timeout_ms": 4000,
        "target_latency_ms": 835,
        "sticky": True,
        "gap_target_ms": 600,
        "anonymous": False,
    }
    routes = [route("chat", "streaming", "pool", **kinds)]
    deployment.start_all(routes, tenants=[TENANT])
    for number, zone in enumerate(REGIONS_BY_ZONE, 1):
        workers.start(f"i-{number}", zone)
    time.sleep(SETTLE_SECONDS)
    leader = leader_of(deployment)
    zone = deployment.zones[leader]
    region = REGIONS_BY_ZONE[zone]
    neighbour = next(z for z, r in REGIONS_BY_ZONE.items() if r == region and z != zone)
    clients = [
        Client(address=deployment.entry_address(name))
        for name in deployment.entries
        if REGIONS_BY_ZONE[deployment.zones[name]] == region
        for _ in range(CLIENTS_PER_ZONE)
    ]
    for client in clients:
        client.start()
        time.sleep(PAUSE_SECONDS / len(clients))
    time.sleep(BEFORE_SECONDS)
    stops = []
    if TROUBLE:
        for name in (deployment.control[neighbour], leader):
            stop = threading.Thread(target=stop_and_start, args=(deployment, name))
            stop.start()
            stops.append(stop)
            time.sleep(GAP_SECONDS)
    time.sleep(AFTER_SECONDS)
    for client in clients:
        client.is_over.set()
    for thread in (*clients, *stops):
        thread.join()
    sent_by_id = {
        i: sent for client in clients for i, sent in client.sent_by_id.items()
    }
    ran = arrivals(FOLDER / "record.txt")
    spans = sorted((sent_by_id[i].at, at) for i, at in ran.items() if i in sent_by_id)
    quota = RATE_TOKENS * WINDOW_SECONDS + BURST_TOKENS
    allowed = quota * (1 + OVERAGE) + SLACK_TOKENS
    most = most_in_window(spans)
    record.note(f"requests sent: {len(sent_by_id)}, run: {len(ran)}")
    record.note(
        f"QUOTA: {most} tokens in {WINDOW_SECONDS} s, {allowed:.0f} are allowed"
    )
    return most > allowed


def main() -> int:
    FOLDER.mkdir(exist_ok=True)
    record = Record(folder=FOLDER)
    deployment = Deployment(
        record=record,
        entry_zones=tuple(REGIONS_BY_ZONE),
        regions_by_zone=REGIONS_BY_ZONE,
        bounds=BOUNDS,
    )
    workers = ModelWorkers(
        deployment=deployment, record=record, folder=FOLDER, events=2, event_s=0.03
    )
    deployment.service_fields = {"engine": ENGINE, "cold_start_s": 0.0}
    try:
        return 1 if play(deployment, workers, record) else 0
    except Exception as error:
        record.note(f"the trial could not run: {error!r}")
        return 2
    finally:
        workers.close()
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
