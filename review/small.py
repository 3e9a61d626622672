"""Starts the programs of the deploy file as a small deployment on loopback."""

import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ZONES = {"quito-a": "sierra-norte", "cuenca-a": "austro", "guayaquil-a": "costa"}
CONTROL_PORT = 8146
FRONT_PORT = 8144
READY_PORT = 8140
DIRECTORY_PORT = 8143
PORT_RANGE = (7660, 7675)
CORE_GROUP, OTHER_GROUP, PROXY_GROUP = range(3)
"""Groups of addresses: core machines, all others, and proxies before core machines."""

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
LIMITS_BY_CLASS = {
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
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class Answer(NamedTuple):
    """An HTTP response; status 0 stands for none."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class Machine:
    """
    One machine of the deployment and the process that runs on it.

    Parameters
    ----------
    role : str
        A role of the deploy file, ``control`` or ``entry``.

    Attributes
    ----------
    seeds : list of str or None
        Its seeds, if they differ from those of the deployment.
    """

    def __init__(
        self, *, name: str, role: str, zone: str, ip: str, folder: Path
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.folder = folder
        self.seeds: list[str] | None = None
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def data(self) -> Path:
        return self.folder / f"{self.name}.data"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def control(self) -> str:
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT_PORT}"


class Deployment:
    """Machines with addresses of their own, and a record of what was done."""

    def __init__(
        self, *, record: Path, bounds: Mapping[str, Any] | None = None
    ) -> None:
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = Path(tempfile.mkdtemp(prefix="poplarlug-review-"))
        self._record = record.open("w")
        self._began = time.monotonic()
        self._net, self._third = _free_network()
        self._counts_by_group: dict[int, int] = {}
        self.machines: list[Machine] = []
        self.seeds: list[str] = []

    def note(self, text: str) -> None:
        """Write a line to the record."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    def address(self, group: int = 0) -> str:
        """Return an unused loopback address of one of three groups, of equal length."""
        number = self._counts_by_group.get(group, 0) + 1
        self._counts_by_group[group] = number
        return f"{self.network(group)}{number}"

    def network(self, group: int) -> str:
        """Return what the addresses of a group begin with."""
        return f"{self._net}.{self._third + group}."

    def add(self, name: str, role: str, zone: str) -> Machine:
        """Return a new machine that isn't started yet."""
        group = CORE_GROUP if role == "control" else OTHER_GROUP
        ip = self.address(group)
        machine = Machine(name=name, role=role, zone=zone, ip=ip, folder=self.folder)
        self.machines.append(machine)
        return machine

    def start(self, machine: Machine, *, bootstrap: bool = False) -> None:
        """Start the program of a machine as the deploy file says."""
        role = DEPLOY["roles"][machine.role]
        fields = self._fields(machine, role, bootstrap)
        settings = self.folder / f"{machine.name}.jsonc"
        settings.write_text(_fill((ROOT / role["template"]).read_text(), fields))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= {name: _fill(text, fields) for name, text in role["env"].items()}
        env["POPLARLUG_SETTINGS"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.note(f"started {machine.name} at {machine.ip}, bootstrap {bootstrap}")

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to a process that this deployment has started."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.note(f"sent {signal.Signals(number).name} to {machine.name}")

    def kill(self, machine: Machine) -> None:
        """Kill a process as a loss of power does."""
        self.signal(machine, signal.SIGKILL)
        assert machine.process is not None
        machine.process.wait(10)

    def stop(self, machine: Machine) -> None:
        """Stop a process as the platform does, with SIGKILL after ``grace_s``."""
        self.signal(machine, signal.SIGTERM)
        assert machine.process is not None
        try:
            machine.process.wait(self.bounds["grace_s"])
        except subprocess.TimeoutExpired:
            self.kill(machine)
        self.note(f"{machine.name} has ended, status {machine.process.returncode}")

    def lose_disk(self, machine: Machine) -> None:
        """Empty the disk of a machine that isn't running."""
        shutil.rmtree(machine.data)
        self.note(f"the disk of {machine.name} is empty")

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        seconds: float = 1.0,
    ) -> Answer:
        """Send a request on a new connection and note what came back."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
        try:
            connection.request(method, path, body, dict(headers or {}))
            response = connection.getresponse()
            return Answer(response.status, response.read(), dict(response.getheaders()))
        except (OSError, http.client.HTTPException):
            return Answer(0, b"", {})
        finally:
            connection.close()

    def close(self) -> None:
        """End all processes that were started, and remove their files."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait(10)
        if "KEEP" in os.environ:
            self.note(f"files are kept in {self.folder.name}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    def _fields(
        self, machine: Machine, role: Mapping[str, Any], bootstrap: bool
    ) -> dict[str, Any]:
        is_core = machine.role == "control"
        listen = (
            {"control": f"{machine.ip}:{CONTROL_PORT}"}
            if is_core
            else {
                "frontend": machine.front,
                "readiness": f"{machine.ip}:{READY_PORT}",
                "directory": f"{machine.ip}:{DIRECTORY_PORT}",
            }
        )
        if is_core:
            machine.data.mkdir(exist_ok=True)
        return {
            "node_name": machine.name,
            "role": machine.role,
            "machine_class": role["on"],
            "serves": role["serves"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "zones": ZONES,
            "listen": listen,
            "port_range": list(PORT_RANGE),
            "seeds": self.seeds if machine.seeds is None else machine.seeds,
            "bootstrap": bootstrap,
            "loss_counted": is_core,
            "limits": LIMITS_BY_CLASS[role["on"]],
            "data_dir": str(machine.data) if is_core else None,
            "heartbeat_ms": 1200,
            "bounds": self.bounds,
        }


def configuration(version: int) -> bytes:
    """Return a configuration with one route of each kind that can't be mixed up."""
    route = {
        "host": "review.example",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "desk",
        "sticky": False,
        "resumable": False,
    }
    document = {
        "version": version,
        "routes": [
            {
                **route,
                "name": "book",
                "path_prefix": "/book/",
                "route_kind": "unsafe",
                "max_attempts": 1,
            },
            {
                **route,
                "name": "look",
                "path_prefix": "/look/",
                "route_kind": "safe",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "warmup_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()


def _fill(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in the placeholders of a template, as the page on deploying says."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name)
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return _PLACEHOLDER.sub(value, template)


def _free_network() -> tuple[str, int]:
    """Return the first two numbers of free loopback addresses, and the third one."""
    while True:
        net = f"127.{random.randrange(100, 250)}"
        third = random.randrange(100, 240)
        try:
            for group in (CORE_GROUP, OTHER_GROUP, PROXY_GROUP):
                for port in (CONTROL_PORT, FRONT_PORT, PORT_RANGE[0]):
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{third + group}.1", port))
        except OSError:
            continue
        return net, third
