"""A small deployment on loopback for the scripts of review 3, with stand-ins around it.

It starts the programs with the commands of the deploy file, and fills their settings
from its templates as the platform does. Only the standard library is used.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ZONES = {"quito-a": "sierra-norte", "cuenca-a": "austro", "guayaquil-a": "costa"}
HOST = "app.example"
BEAT_SECONDS = 1.2
START_SECONDS = 40.0
PORTS = (7660, 7661, 8101, 8140, 8143, 8144, 8146, 9464)
MAX_HOSTS = 60
"""More addresses than a case takes."""

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 8000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 58,
    "cold_overage": 1.5,
    "cold_slack": 3,
    "evacuate_ms": 5000,
    "recover_s": 12,
    "pass_ms": 600,
    "reuse_window_s": 10,
    "ttl_max_s": 5,
}
LIMITS = {
    "edge": {
        "cpu_share": 0.537,
        "cores": 2,
        "memory_mb": 300,
        "max_fds": 4100,
        "link_mbps": 1000.0,
        "disk_mb": 0,
    },
    "core": {
        "cpu_share": 0.645,
        "cores": 2,
        "memory_mb": 296,
        "max_fds": 4096,
        "link_mbps": 1000.0,
        "disk_mb": 128,
    },
}


def fill(text: str, fields: Mapping[str, Any]) -> str:
    """Fill the placeholders of a template or of a word in the deploy file."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for key in match[1].split("."):
            found = found[int(key)] if isinstance(found, list) else found.get(key)
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([a-z0-9_.]+)(\|json)?\}\}", value, text)


def wait_until(check: Any, what: str, seconds: float = START_SECONDS) -> None:
    """Poll ``check`` until it is true; raise ``RuntimeError`` after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() > deadline:
            raise RuntimeError(what)
        time.sleep(0.05)


class Record:
    """Write lines with the time since the start to ``record.txt`` of a case."""

    def __init__(self, *, folder: Path) -> None:
        self._began = time.monotonic()
        self._lock = threading.Lock()
        path = folder / "record.txt"
        path.unlink(missing_ok=True)
        # Workers write to the same file.
        self._file = path.open("a")

    def note(self, line: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} s  {line}\n")
            self._file.flush()


class Deployment:
    """One control replica in each zone, and entries in the given zones."""

    def __init__(
        self,
        *,
        record: Record,
        entry_zones: tuple[str, ...] = ("quito-a", "cuenca-a", "guayaquil-a"),
        bounds: Mapping[str, Any] | None = None,
        limits: Mapping[str, Any] | None = None,
        regions_by_zone: Mapping[str, str] = ZONES,
    ) -> None:
        self.record = record
        self.regions_by_zone = dict(regions_by_zone)
        self.folder = Path(tempfile.mkdtemp())
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._limits = {**LIMITS, **(limits or {})}
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        # So that the processes are ended if this one is told to stop.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self._prefix = _free_prefix()
        self._last_host = 0
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.service_fields: dict[str, Any] = {}
        self._started: set[str] = set()
        self.zones: dict[str, str] = {}
        self.ips: dict[str, str] = {}
        self.control = {zone: f"core-{zone}" for zone in self.regions_by_zone}
        self.entries = [f"edge-{zone}-{i}" for i, zone in enumerate(entry_zones)]
        for zone, name in self.control.items():
            self.zones[name] = zone
        for zone, name in zip(entry_zones, self.entries, strict=True):
            self.zones[name] = zone
        for name in self.zones:
            self.ips[name] = self.new_ip()

    def new_ip(self) -> str:
        self._last_host += 1
        return f"{self._prefix}.{self._last_host}"

    def control_address(self, zone: str) -> tuple[str, int]:
        return self.ips[self.control[zone]], 8146

    def entry_address(self, name: str) -> tuple[str, int]:
        return self.ips[name], 8144

    def start(self, name: str) -> None:
        """Start a program as its deploy file says, for the first time or again."""
        is_core = name.startswith("core-")
        role = self._roles["control" if is_core else "entry"]
        kind = "core" if is_core else "edge"
        ip, zone = self.ips[name], self.zones[name]
        data = self.folder / f"{name}-data"
        if is_core:
            data.mkdir(exist_ok=True)
        fields: dict[str, Any] = {
            "node_name": name,
            "role": "control" if is_core else "entry",
            "machine_class": kind,
            "ip": ip,
            "zone": zone,
            "region": self.regions_by_zone[zone],
            "zones": self.regions_by_zone,
            "listen": {
                "frontend": f"{ip}:8144",
                "readiness": f"{ip}:8140",
                "directory": f"{ip}:8143",
                "control": f"{ip}:8146",
            },
            "port_range": [7660, 7675],
            "seeds": [f"{self.ips[one]}:8146" for one in self.control.values()],
            "bootstrap": name not in self._started,
            "limits": self._limits[kind],
            "data_dir": str(data) if is_core else None,
            "heartbeat_ms": int(BEAT_SECONDS * 1000),
            "bounds": self._bounds,
        }
        settings = self.folder / f"{name}.jsonc"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "POPLARLUG_SETTINGS": str(settings),
        }
        for key, text in role.get("env", {}).items():
            environment[key] = fill(text, fields)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._started.add(name)
        self.record.note(f"started {name}")

    def start_all(self, routes: list[dict[str, Any]], **more: Any) -> None:
        """Start everything, set the first configuration and wait until all are ready."""
        for name in self.zones:
            self.start(name)
        self.configure(1, routes, **more)
        for name in self.entries:
            wait_until(lambda n=name: self.is_ready(n), f"{name} doesn't get ready")

    def configure(
        self, version: int, routes: list[dict[str, Any]], **more: Any
    ) -> None:
        names = {one["service"] for one in routes}
        services = [
            {"name": name, "health_path": "/healthz", **self.service_fields}
            for name in sorted(names)
        ]
        document = {"version": version, "routes": routes, "services": services, **more}
        self.operate("PUT", "/config", json.dumps(document).encode())

    def operate(
        self, method: str, path: str, body: bytes | None = None, zone: str = ""
    ) -> int:
        """Send an order to control replicas in turn until one acknowledges it."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            for one in [zone] if zone else list(self.regions_by_zone):
                status, _, _ = call(self.control_address(one), method, path, body, {})
                if 200 <= status < 300:
                    self.record.note(f"operator: {method} {path} got {status}")
                    return status
            time.sleep(0.2)
        raise RuntimeError(f"no control replica acknowledges {method} {path}")

    def is_ready(self, name: str) -> bool:
        return call((self.ips[name], 8140), "GET", "/readyz", None, {}, 1.0)[0] == 200

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def signal(self, name: str, number: int) -> None:
        self.record.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def peak_mb(self, name: str) -> float:
        """Return the largest resident memory that a process has had, in MB."""
        status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024

    def resident_mb(self, name: str) -> float:
        status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024

    def close(self) -> None:
        """End all processes that were started."""
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(20)
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_prefix() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    rng = random.SystemRandom()
    while True:
        prefix = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"
        try:
            for host in range(1, MAX_HOSTS + 1):
                for port in PORTS:
                    socket.create_server((f"{prefix}.{host}", port)).close()
        except OSError:
            continue
        return prefix


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    seconds: float = 2.0,
) -> tuple[int, bytes, Mapping[str, str]]:
    """Send a request on a new connection; a status of 0 means no whole answer."""
    connection = http.client.HTTPConnection(*address, timeout=seconds)
    try:
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration, at the prefix of its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
        "home_regions": [],
        **more,
    }


def request_headers(deadline_ms: int) -> dict[str, str]:
    """Return the headers of a new client attempt."""
    return {
        "Host": HOST,
        "X-Poplarlug-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Poplarlug-Deadline-Ms": str(deadline_ms),
    }


class Announcer(threading.Thread):
    """Send the heartbeats of a worker, as the pages say, until it is stopped."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        worker_id: str,
        service: str,
        address: tuple[str, int],
        zone: str,
        slots: int = 128,
    ) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._id = worker_id
        self._body = {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": time.time_ns() // 1_000_000,
            "sequence": 0,
        }
        self._stopped = threading.Event()
        self.acknowledged = 0

    def set_state(self, state: str) -> None:
        self._body["state"] = state

    def beat(self, zone: str) -> bool:
        self._body["sequence"] += 1
        status, _, _ = call(
            self._deployment.control_address(zone),
            "PUT",
            f"/instances/{self._id}",
            json.dumps(self._body).encode(),
            {"Content-Type": "application/json"},
            1.0,
        )
        self.acknowledged += status == 200
        return status == 200

    def run(self) -> None:
        rng = random.Random(self._id)
        while not self._stopped.is_set():
            zones = list(self._deployment.regions_by_zone)
            for zone in rng.sample(zones, len(zones)):
                if self.beat(zone):
                    break
            self._stopped.wait(BEAT_SECONDS)

    def stop(self) -> None:
        self._stopped.set()


def read_head(connection: socket.socket) -> tuple[bytes, dict[str, str], bytes]:
    """Return the first line, the lower-case headers and what follows a head."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            raise ConnectionError("no whole head")
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers, rest
