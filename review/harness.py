"""Starts a small deployment of the deploy file's programs on loopback addresses."""

import http.client
import json
import logging
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "app.example"
REGIONS_BY_ZONE = {
    "quito-a": "sierra-norte",
    "cuenca-a": "austro",
    "guayaquil-a": "costa",
}
BOUNDS = {
    "drain_ms": 3000,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "config_apply_ms": 3000,
    "evacuate_ms": 5000,
    "rollback_slack_ms": 250,
    "loss_slack_ms": 200,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_extra": 58,
    "budget_window_s": 10,
    "cold_overage": 1.5,
    "cold_slack": 3,
    "recover_s": 12,
}
HEARTBEAT_MS = 1200
CONTROL_PORT = 8146
ENTRY_PORT = 8144
READINESS_PORT = 8140
DIRECTORY_PORT = 8143
PORT_RANGE = (7660, 7675)
OPERATOR_TIMEOUT_SECONDS = 1.0
START_SECONDS = 25.0

ID = "X-Poplarlug-Attempt-Id"
DEADLINE = "X-Poplarlug-Deadline-Ms"
STAMP = "X-Poplarlug-Response-Stamp"


class CannotRunError(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Answer:
    """Response to one call; status 0 if there was none."""

    def __init__(self, status, body=b"", headers=None):
        self.status = status
        self.body = body
        self.headers = headers or {}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def note(self, text):
        with self._lock:
            elapsed = time.monotonic() - self.started
            self._file.write(f"{elapsed:8.3f} s  {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


def call(address, method, path, body=None, headers=None, seconds=10.0):
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body, dict(headers or {}))
        answer = connection.getresponse()
        return Answer(answer.status, answer.read(), dict(answer.getheaders()))
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


def request_headers(deadline_ms=4000):
    """Return the headers of a new request of a client."""
    return {"Host": HOST, ID: uuid.uuid4().hex, DEADLINE: str(deadline_ms)}


def wait_until(check, what, seconds=START_SECONDS):
    """Poll ``check`` until it is true, or raise :class:`CannotRunError`."""
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() > deadline:
            raise CannotRunError(what)
        time.sleep(0.05)


def configuration(version, services, **routes):
    """Return a configuration; a route is given by its name and its fields."""
    listed = []
    for name, fields in routes.items():
        route = {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "route_kind": "safe",
            "timeout_ms": 2500,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "desk",
            "max_attempts": 2,
            "sticky": False,
            "resumable": False,
            "home_regions": [],
        }
        listed.append(route | fields)
    document = {
        "version": version,
        "routes": listed,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()


class Deployment:
    """
    One control replica a zone, and an entry for each item of ``entry_zones``.

    The platform's part is played here: settings files are made from the templates of
    the deploy file, and processes are started with its commands.
    """

    def __init__(self, folder, record, entry_zones):
        self.folder = Path(folder)
        self.record = record
        self._prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._numbers = {}
        self._processes = {}
        self.control = {zone: f"control-{zone}" for zone in REGIONS_BY_ZONE}
        self.entries = [f"entry-{n}-{zone}" for n, zone in enumerate(entry_zones)]
        self._zones = {name: zone for zone, name in self.control.items()}
        self._zones |= dict(zip(self.entries, entry_zones, strict=True))
        for name in self._zones:
            self.ip(name)

    def ip(self, name):
        number = self._numbers.setdefault(name, len(self._numbers) + 1)
        return f"{self._prefix}.{number}"

    def zone(self, name):
        return self._zones[name]

    def control_address(self, name):
        return f"{self.ip(name)}:{CONTROL_PORT}"

    def entry_address(self, name):
        return f"{self.ip(name)}:{ENTRY_PORT}"

    def start(self, name, bootstrap=False):
        """Start a process as the platform does."""
        is_entry = name in self.entries
        role = "entry" if is_entry else "control"
        template = (ROOT / "deploy" / f"{role}.jsonc").read_text()
        file = self.folder / f"{name}.jsonc"
        file.write_text(fill_in(template, self._fields(name, is_entry, bootstrap)))
        command = ["python3", "-S", "-m", f"poplarlug.platform.{role}"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "POPLARLUG_SETTINGS": str(file),
                },
                stdout=log,
                stderr=log,
            )
        self.record.note(f"started {name} at {self.ip(name)}")

    def start_all(self):
        for name in self.control.values():
            self.start(name, bootstrap=True)
        for name in self.entries:
            self.start(name)

    def signal(self, name, number):
        """Send a signal to a process that this deployment started."""
        self.record.note(f"{signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self._processes.pop(name).wait(20)

    def pid(self, name):
        return self._processes[name].pid

    def close(self):
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait(20)

    def operate(self, method, path, body=None, first=(), seconds=START_SECONDS):
        """
        Send an order as the operator does; return when it is acknowledged.

        It goes to one replica after the other, ``first`` to those named, and on to the
        next after a failure, a 5xx or a second without a response.
        """
        others = [name for name in self.control.values() if name not in first]
        random.shuffle(others)
        names = [*first, *others]
        deadline = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < deadline:
            for name in names:
                self.record.note(f"operator sends {method} {path} to {name}")
                answer = call(
                    self.control_address(name),
                    method,
                    path,
                    body,
                    seconds=OPERATOR_TIMEOUT_SECONDS,
                )
                status = answer.status or "no answer"
                self.record.note(f"operator gets {status} from {name}")
                if 200 <= answer.status < 500:
                    return answer
                time.sleep(pause)
                pause = min(0.5, 2 * pause)
        raise CannotRunError(f"{method} {path} got no acknowledgement")

    def wait_ready(self):
        for name in self.entries:
            address = f"{self.ip(name)}:{READINESS_PORT}"
            wait_until(
                lambda address=address: (
                    call(address, "GET", "/readyz", seconds=2.0).status == 200
                ),
                f"{name} is not ready",
            )

    def wait_served(self, path, status=200):
        """Wait until each entry answers ``path`` with a status."""
        for name in self.entries:
            address = self.entry_address(name)
            wait_until(
                lambda address=address: (
                    call(address, "GET", path, None, request_headers()).status == status
                ),
                f"{name} does not serve {path}",
            )

    def _fields(self, name, is_entry, bootstrap):
        ip = self.ip(name)
        zone = self.zone(name)
        listen = {"control": f"{ip}:{CONTROL_PORT}"}
        if is_entry:
            listen = {
                "frontend": f"{ip}:{ENTRY_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
                "directory": f"{ip}:{DIRECTORY_PORT}",
            }
        return {
            "node_name": name,
            "zone": zone,
            "region": REGIONS_BY_ZONE[zone],
            "zones": REGIONS_BY_ZONE,
            "ip": ip,
            "listen": listen,
            "port_range": PORT_RANGE,
            "seeds": [self.control_address(one) for one in self.control.values()],
            "bootstrap": bootstrap,
            "data_dir": None if is_entry else str(self.folder / f"{name}-data"),
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
        }


def fill_in(template, fields):
    """Replace the placeholders ``{{a.b}}`` and ``{{a.b|json}}`` of a template."""

    def replace(match):
        value = fields
        for key in match.group(1).split("."):
            value = value[int(key)] if key.isdecimal() else value[key]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", replace, template)


def run_case(folder, case):
    """
    Run ``case(record, temporary folder, trouble)`` and exit with the issue's status.

    The case returns whether the rule held.
    """
    # Workers log each connection that is broken off in the middle of an answer.
    logging.disable(logging.CRITICAL)
    # Also ends the processes of the case if the script itself is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.note(f"TROUBLE={int(trouble)}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = case(record, temporary, trouble)
    except Exception as error:
        # Whatever stops a case, such as a port in use, says nothing about the rule.
        record.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        record.note("end")
    record.close()
    sys.exit(0 if held else 1)
