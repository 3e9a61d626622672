"""Control replicas keep every configuration in memory and on disk, and outgrow both."""

import json
import threading
import time
from pathlib import Path

from review.harness import (
    CONTROL_PORT,
    CannotRunError,
    Deployment,
    call,
    configuration,
    run_case,
)

MORE_ROUTES = 1400
CHANGES = 250
MEMORY_MB = 296
DISK_MB = 128
RESTART_SECONDS = 1.0
BACK_AFTER_SECONDS = 0.5
"""From the kill of all control replicas to their restart."""

READ_SECONDS = 15.0
"""How long the operator asks for the configuration at the end."""

MAX_CHANGES_SECONDS = 80.0
CHANGE_SECONDS = 20.0
"""How long the operator sends a change that isn't acknowledged."""


class Platform(threading.Thread):
    """Kill a control replica that uses more than its memory, and start it again."""

    def __init__(self, record, deployment):
        super().__init__(daemon=True)
        self.ends = {name: 0 for name in deployment.control.values()}
        self.most_mb = dict(self.ends)
        self._record = record
        self._deployment = deployment
        self._start_at = {}
        self._lock = threading.RLock()
        self._stopped = threading.Event()

    def run(self):
        while not self._stopped.wait(0.05):
            for name in self.ends:
                with self._lock:
                    self._check(name)

    def _check(self, name):
        deployment = self._deployment
        if name in self._start_at:
            if time.monotonic() >= self._start_at[name]:
                del self._start_at[name]
                deployment.start(name)
            return
        used = most_memory_mb(deployment.pid(name))
        self.most_mb[name] = max(self.most_mb[name], used)
        if used <= MEMORY_MB:
            return
        self._record.note(f"{name} uses {used} MB; the platform kills it")
        self.ends[name] += 1
        self.kill(name, RESTART_SECONDS)

    def kill(self, name, back_after):
        """Kill a process and start it again after some time."""
        with self._lock:
            self._deployment.kill(name)
            self._start_at[name] = time.monotonic() + back_after

    def stop(self):
        self._stopped.set()
        self.join()


def most_memory_mb(pid):
    """Return the most memory that a process has used, less the files it has mapped."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    values = dict(line.split(":", 1) for line in status.splitlines())
    if "VmHWM" not in values:
        return 0
    peak, mapped = (int(values[key].split()[0]) for key in ("VmHWM", "RssFile"))
    return (peak - mapped) // 1024


def document(version, more):
    """Return a configuration; each version has another timeout on one route."""
    routes = {"look": {"timeout_ms": 2500 + version % 100}}
    for number in range(more):
        routes[f"more-{number}"] = {}
    return configuration(version, ["desk"], **routes)


def case(record, folder, trouble):
    deployment = Deployment(folder, record, ("quito-a",))
    platform = Platform(record, deployment)
    try:
        deployment.start_all()
        platform.start()
        deployment.operate("PUT", "/config", document(1, 0))
        deployment.wait_ready()
        acknowledged = 1
        for version in range(2, CHANGES + 2):
            body = document(version, MORE_ROUTES)
            if time.monotonic() - record.started > MAX_CHANGES_SECONDS:
                raise CannotRunError("the changes take too long on this machine")
            if not send_change(record, deployment, body):
                record.note(f"change {version} isn't acknowledged")
                break
            acknowledged = version
            if version % 50 == 0:
                note_sizes(record, deployment, platform, version, len(body))
        if trouble:
            kill_all(record, deployment, platform)
        return read_back(record, deployment, platform, acknowledged)
    finally:
        if platform.is_alive():
            platform.stop()
        deployment.close()


def send_change(record, deployment, body):
    """Send a change to one replica after the other; return if it is acknowledged."""
    deadline = time.monotonic() + CHANGE_SECONDS
    while time.monotonic() < deadline:
        for name in deployment.control.values():
            address = deployment.control_address(name)
            # The operator waits longer than a second for large bodies.
            answer = call(address, "PUT", "/config", body, seconds=2.0)
            if answer.status == 200:
                return True
            record.note(f"operator gets {answer.status or 'no answer'} from {name}")
            time.sleep(0.2)
    return False


def note_sizes(record, deployment, platform, version, body_bytes):
    for name in deployment.control.values():
        folder = Path(deployment.folder) / f"{name}-data"
        disk = sum(one.stat().st_size for one in folder.iterdir())
        record.note(
            f"after change {version} of {body_bytes} B: {name} has "
            f"{disk / 1e6:.0f} MB on its disk of {DISK_MB} MB, and used up to "
            f"{platform.most_mb[name]} MB of {MEMORY_MB} MB"
        )


def kill_all(record, deployment, platform):
    """Kill all control replicas at the same moment, and start them within a second."""
    record.note("all control replicas are killed at once")
    for name in deployment.control.values():
        platform.kill(name, BACK_AFTER_SECONDS)


def read_back(record, deployment, platform, acknowledged):
    deadline = time.monotonic() + READ_SECONDS
    version = None
    while time.monotonic() < deadline and version != acknowledged:
        for name in deployment.control.values():
            address = f"{deployment.ip(name)}:{CONTROL_PORT}"
            answer = call(address, "GET", "/config", seconds=1.0)
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
                record.note(f"{name} reads back version {version}")
        time.sleep(0.3)
    ends = sum(platform.ends.values())
    print(
        f"CONFIG: read back {version}, acknowledged {acknowledged}; replicas ended "
        f"{ends} times for their memory"
    )
    record.note(f"acknowledged {acknowledged}, read back {version}, {ends} ends")
    return version is not None and version >= acknowledged


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
