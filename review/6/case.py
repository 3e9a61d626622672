"""A core machine is replaced as planned; then another one loses its disk."""

import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small import ZONES, Answer, Deployment, Machine, configuration  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_SECONDS = 20.0
JOIN_SECONDS = 8.0
"""Twice ``catch_up_s``: what the successor has before its predecessor is removed."""

DOWN_SECONDS = 1.0
READ_SECONDS = 45.0
"""How long the operator asks for the configuration; more than ``recover_s`` plus
``contact_ms``, four times as long as the system may take."""

FIRST, SECOND = 3, 8


def put(deployment: Deployment, nodes: list[Machine], version: int) -> Machine | None:
    """Send a configuration to the nodes in turn until one acknowledges it."""
    body = configuration(version)
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        for node in nodes:
            answer = deployment.call(node.control, "PUT", "/config", body)
            deployment.note(
                f"PUT /config, version {version}, at {node.name}: {answer.status}"
            )
            if answer.status == 200:
                return node
        time.sleep(0.2)
    return None


def is_current(answer: Answer, version: int) -> bool:
    return answer.status == 200 and answer.body == configuration(version)


def read_until(
    deployment: Deployment, nodes: list[Machine], version: int, seconds: float
) -> bool:
    """Ask the nodes for the configuration until one answers with this version."""
    deadline = time.monotonic() + seconds
    noted_at = 0.0
    while time.monotonic() < deadline:
        for node in nodes:
            answer = deployment.call(node.control, "GET", "/config")
            if is_current(answer, version):
                deployment.note(f"GET /config at {node.name}: 200, version {version}")
                return True
            if time.monotonic() > noted_at + 2.0:
                deployment.note(
                    f"GET /config at {node.name}: {answer.status} {answer.body[:120]!r}"
                )
        if time.monotonic() > noted_at + 2.0:
            noted_at = time.monotonic()
        time.sleep(0.2)
    return False


def run(deployment: Deployment) -> int:
    core = [deployment.add(f"core-{zone}-1", "control", zone) for zone in sorted(ZONES)]
    deployment.seeds = [node.control for node in core]
    for node in core:
        deployment.start(node, bootstrap=True)
    if put(deployment, core, FIRST) is None:
        deployment.note("could not run: the first configuration was not acknowledged")
        return 2

    # The planned replacement: the new one first, then SIGTERM to the old one.
    removed, *kept = core
    successor = deployment.add(f"core-{removed.zone}-2", "control", removed.zone)
    deployment.start(successor)
    time.sleep(JOIN_SECONDS)
    if not read_until(deployment, [successor], FIRST, START_SECONDS):
        deployment.note("could not run: the successor does not answer")
        return 2
    deployment.stop(removed)
    deployment.note(f"{removed.name} is removed for good")

    nodes = [*kept, successor]
    deployment.seeds = [node.control for node in nodes]
    acknowledged_by = put(deployment, nodes, SECOND)
    if acknowledged_by is None:
        deployment.note("could not run: the second configuration was not acknowledged")
        return 2
    if HAS_TROUBLE:
        lost = acknowledged_by if acknowledged_by in kept else kept[0]
        deployment.kill(lost)
        deployment.lose_disk(lost)
        time.sleep(DOWN_SECONDS)
        deployment.start(lost)
    if read_until(deployment, nodes, SECOND, READ_SECONDS):
        deployment.note("held: the acknowledged configuration is read back")
        return 0
    deployment.note("broken: the acknowledged configuration does not come any more")
    return 1


def main() -> int:
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    deployment = Deployment(record=FOLDER / "record.txt")
    try:
        return run(deployment)
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
