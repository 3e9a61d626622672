"""Control replicas and entries as real loopback processes, using seed discovery."""

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from poplarlug.control.log_storage import LOG_FILE
from poplarlug.control.records import encode_record
from poplarlug.platform.names import READINESS_PATH, SETTINGS_VARIABLE
from poplarlug.types import Seconds

ZONES = {"quito-a": "sierra", "cuenca-a": "austro", "guayaquil-a": "costa"}
START_SECONDS = 20.0
INTERPRETER_SECONDS = 0.2
"""How long the interpreter may take from its start to a program's first line."""

FORWARDS_PORT = 7661
LOG_TAIL_CHARACTERS = 2000
TORN_RECORD_BYTES = 200
"""Payload size of the log record that is written partially."""


class Answer(NamedTuple):
    """HTTP response to a caller; status 0 means that the connection broke."""

    status: int
    body: bytes
    headers: Mapping[str, str]


def wait_until(check: Callable[[], bool], what: str, seconds: float = 15.0) -> None:
    """Poll ``check`` until it is true; raise ``AssertionError(what)`` on timeout."""
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError(what)
        time.sleep(0.05)


class SeededDeployment:
    """
    Deployment with one control replica per zone and one entry per item of a list.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings, data and logs.
    entry_zones : sequence of str
        Zone of each entry; a zone may occur several times.
    vm : mapping, optional
        Size of the VM of each process, as in its settings; without it, unknown.
    quotas, revocation : mapping, optional
        How closely quotas are kept, and how soon keys are refused, as in the settings.
    """

    def __init__(
        self,
        *,
        folder: Path,
        entry_zones: tuple[str, ...],
        vm: Mapping[str, Any] | None = None,
        quotas: Mapping[str, Any] | None = None,
        revocation: Mapping[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self._vm = vm
        self._quotas = quotas
        self._revocation = revocation
        pid = os.getpid()
        self._ip_prefix = f"127.{64 + pid % 60}.{pid // 60 % 250}"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._ending: dict[str, subprocess.Popen[bytes]] = {}
        self._started_at: dict[str, Seconds] = {}
        self._hung_up_at: dict[str, Seconds] = {}
        self._host_numbers: dict[str, int] = {}
        self.control = {zone: f"control-{zone}" for zone in ZONES}
        self.entries = [f"entry-{i}-{zone}" for i, zone in enumerate(entry_zones)]
        for name in (*self.control.values(), *self.entries):
            self._host_numbers[name] = len(self._host_numbers) + 1

    def ip(self, name: str) -> str:
        number = self._host_numbers.setdefault(name, len(self._host_numbers) + 1)
        return f"{self._ip_prefix}.{number}"

    def control_address(self, zone: str = "quito-a") -> str:
        return f"{self.ip(self.control[zone])}:8146"

    def entry_address(self, name: str) -> str:
        return f"{self.ip(name)}:8144"

    def start_all(self) -> None:
        for zone, name in self.control.items():
            self.start_control(zone, name)
        for name in self.entries:
            self.start_entry(name)

    def start_control(self, zone: str, name: str, *, bootstrap: bool = True) -> None:
        settings = self._common(name, zone) | {
            "http": f"{self.ip(name)}:8146",
            "data_folder": str(self.folder / name),
            "bootstrap": bootstrap,
            "beat_milliseconds": 1200,
        }
        self._start(name, "poplarlug.platform.control", settings)

    def start_entry(self, name: str) -> None:
        zone = name.split("-", 2)[2]
        ip = self.ip(name)
        settings = self._common(name, zone) | {
            "http": f"{ip}:8144",
            "readiness": f"{ip}:8140",
            "directory": f"{ip}:8143",
            "forwards_port": FORWARDS_PORT,
            "grace_seconds": 4.0,
            "revocation": self._revocation,
        }
        self._start(name, "poplarlug.platform.entry", settings)

    def kill(self, name: str, number: int = signal.SIGKILL) -> int:
        """Send a signal, wait for the process to exit and return its exit status."""
        process = self._processes.pop(name)
        self._ending[name] = process
        process.send_signal(number)
        return process.wait(20)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process if it is running, even if it is about to end."""
        process = self._processes.get(name) or self._ending.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)
            if number == signal.SIGHUP:
                self._hung_up_at[name] = time.monotonic()

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a process, then resume it even if it was told to stop meanwhile."""
        process = self._processes.get(name) or self._ending[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def wait_for_exit(self, name: str) -> int:
        return self._processes.pop(name).wait(20)

    def close(self) -> None:
        processes = [*self._processes.values(), *self._ending.values()]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(20)

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        seconds: float = 10.0,
    ) -> Answer:
        """Send one request on a new connection."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
        try:
            connection.request(method, path, body, dict(headers or {}))
            answer = connection.getresponse()
            return Answer(answer.status, answer.read(), dict(answer.getheaders()))
        except (OSError, http.client.HTTPException):
            return Answer(0, b"", {})
        finally:
            connection.close()

    def operate(self, method: str, path: str, body: bytes | None = None) -> Answer:
        """Call control replicas in turn until one responds other than with 503."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            for zone in ZONES:
                answer = self.call(
                    self.control_address(zone), method, path, body, seconds=2.0
                )
                if answer.status not in (0, 503):
                    return answer
            time.sleep(0.1)
        logs = [self.log(name)[-LOG_TAIL_CHARACTERS:] for name in self.control.values()]
        raise AssertionError(
            f"no control replica answers {method} {path}; their logs end with\n"
            + "\n--\n".join(logs)
        )

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness probe of an entry succeeds."""
        address = f"{self.ip(name)}:8140"
        return self.call(address, "GET", READINESS_PATH, seconds=2.0).status == 200

    def wait_ready(self) -> None:
        for name in self.entries:
            wait_until(
                partial(self.is_ready, name),
                f"{name} does not get ready",
                START_SECONDS,
            )

    def pid(self, name: str) -> int:
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def was_hung_up(self, name: str) -> bool:
        """
        Return whether a SIGHUP ended a process before Python ran its first line.

        One that has run for ``INTERPRETER_SECONDS`` ignores the signal, and must live.
        """
        process = self._processes.get(name)
        if process is None or process.poll() != -signal.SIGHUP:
            return False
        return self._hung_up_at[name] - self._started_at[name] < INTERPRETER_SECONDS

    def zone_of(self, name: str) -> str:
        """Return the zone of a control replica or entry."""
        return name.split("-", 2)[2] if name in self.entries else name.split("-", 1)[1]

    def start(self, name: str) -> None:
        """Restart a process; a control replica doesn't bootstrap again."""
        if name in self.entries:
            self.start_entry(name)
        else:
            self.start_control(self.zone_of(name), name, bootstrap=False)

    def lose_disk(self, name: str) -> None:
        """Delete the data directory of a stopped control replica."""
        shutil.rmtree(self.folder / name)

    def tear_log(self, name: str, rng: Random) -> None:
        """Append a truncated record to the log of a stopped control replica."""
        path = self.folder / name / LOG_FILE
        if not path.exists():
            # An overlapping fault has just deleted the data directory.
            return
        record = encode_record(bytes(TORN_RECORD_BYTES), path.stat().st_size)
        with path.open("ab") as log:
            log.write(record[: rng.randrange(1, len(record))])

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def _common(self, name: str, zone: str) -> dict[str, Any]:
        return {
            "name": name,
            "zone": zone,
            "region": ZONES[zone],
            "regions_by_zone": ZONES,
            "ip": self.ip(name),
            "peers_port": 7660,
            "metrics_port": 9464,
            "seeds": [f"{self.ip(n)}:8146" for n in self.control.values()],
            "vm": self._vm,
            "quotas": self._quotas,
        }

    def _start(self, name: str, module: str, settings: Mapping[str, Any]) -> None:
        file = self.folder / f"{name}.jsonc"
        file.write_text(json.dumps(settings))
        with (self.folder / f"{name}.log").open("ab") as log:
            self._started_at[name] = time.monotonic()
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module],
                env=os.environ | {SETTINGS_VARIABLE: str(file)},
                stdout=log,
                stderr=log,
            )
