"""
Measure the memory and disk of control replicas over many large configurations.

Usage: python benchmarks/control_growth.py

Real processes on loopback: three control replicas and one entry. All replicas are
killed and started again every ``CHANGES_PER_RUN`` changes. Memory is the highest value
since the start of the process, without the files that it has mapped.
"""

import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

sys.path.insert(0, str(Path(__file__).parent.parent))

from poplarlug.soak.deployment import SeededDeployment
from tests.platform_adapter.test_whole_path import configuration

MORE_ROUTES = 1400
CHANGES = 800
CHANGES_PER_RUN = 200
CHANGES_PER_ROW = 50


def measure_memory(deployment: SeededDeployment, name: str) -> float:
    """Return the most memory that a process has used, in MB."""
    lines = Path(f"/proc/{deployment.pid(name)}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    peak, mapped = (int(values[key].split()[0]) for key in ("VmHWM", "RssFile"))
    return (peak - mapped) / 1024


def measure_disk(deployment: SeededDeployment, name: str) -> float:
    """Return the size of a replica's files, in MB."""
    files = (deployment.folder / name).rglob("*")
    return sum(file.stat().st_size for file in files if file.is_file()) / 1e6


def print_row(deployment: SeededDeployment, label: str, seconds: float) -> None:
    names = [*deployment.control.values()]
    memory = max(measure_memory(deployment, name) for name in names)
    disk = max(measure_disk(deployment, name) for name in names)
    print(
        f"| {label} | {memory:.0f} MB | {disk:.1f} MB | {seconds:.1f} s |", flush=True
    )


def main() -> None:
    with TemporaryDirectory() as folder:
        deployment = SeededDeployment(folder=Path(folder), entry_zones=("quito-a",))
        try:
            deployment.start_all()
            print("| changes | memory, most | disk, most | time |")
            print("| --- | --- | --- | --- |")
            run(deployment)
        finally:
            deployment.close()


def run(deployment: SeededDeployment) -> None:
    started = time.monotonic()
    more = {f"more-{number}": {} for number in range(MORE_ROUTES)}
    for version in range(1, CHANGES + 1):
        look = {"timeout_ms": 2500 + version % 100}
        body = configuration(version, look=look, **more)
        answer = deployment.operate("PUT", "/config", body)
        assert answer.status == 200, answer
        if version % CHANGES_PER_ROW == 0:
            print_row(deployment, str(version), time.monotonic() - started)
            started = time.monotonic()
        if version % CHANGES_PER_RUN == 0:
            restart(deployment, version)
            started = time.monotonic()


def restart(deployment: SeededDeployment, version: int) -> None:
    """Kill all replicas and start them; measure until the configuration is read."""
    names = [*deployment.control.values()]
    for name in names:
        deployment.kill(name)
    started = time.monotonic()
    for name in names:
        deployment.start(name)
    answer = deployment.operate("GET", "/config")
    assert f'"version": {version},'.encode() in answer.body, answer.body[:80]
    seconds = time.monotonic() - started
    print_row(deployment, f"{version}, all restarted", seconds)


if __name__ == "__main__":
    main()
