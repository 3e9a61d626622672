"""Runs the processes of a deployment on loopback, for the demo and the tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any

from poplarlug.catalog import (
    Account,
    CatalogObject,
    Model,
    Rank,
    Region,
    Service,
)
from poplarlug.catalog.objects import OBJECT_TYPES_BY_KIND
from poplarlug.keys import generate_caller_key, generate_key_files, hash_caller_key
from poplarlug.operators.client import OperatorClient
from poplarlug.schema import operators_pb2 as pb
from poplarlug.settings import load_settings
from poplarlug.topology import Topology

EXAMPLES = Path(__file__).parent
BIN = Path(sys.executable).parent
START_SECONDS = 60.0
STOP_SECONDS = 30.0
POLL_SECONDS = 0.05

Link = Callable[[str, str, str], str]
"""Maps (source VM, target VM, address) to the address that the source uses."""

_KINDS_BY_TYPE = {kind_type: kind for kind, kind_type in OBJECT_TYPES_BY_KIND.items()}


class Deployment:
    """
    Processes of an example deployment, at addresses unique to this deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings, keys, data and logs.
    example : str
        Name of the example directory whose topology is used.
    entries_per_zone : int
        Maximum number of entries used of each zone in the example.
    link : callable, optional
        Inserts a proxy between two processes.
    link_upstreams : bool
        Whether ``link`` applies to upstreams as well; the source of such a link is
        the upstream's zone.
    """

    def __init__(
        self,
        *,
        folder: Path,
        example: str = "cascara-verde",
        entries_per_zone: int = 3,
        link: Link | None = None,
        link_upstreams: bool = False,
    ) -> None:
        self.folder = folder
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.commands_by_name: dict[str, list[str]] = {}
        self._configured = False
        self.key, self.operator_key = generate_caller_key(), generate_caller_key()
        self.ip = _own_ip()
        self._addresses: set[str] = set()
        listed = load_settings(EXAMPLES / example / "topology.jsonc", Topology).unwrap()
        self.topology = self._assign_addresses(listed, entries_per_zone)
        self._link = link or (lambda source, target, address: address)
        self._link_upstreams = link_upstreams
        folder.mkdir(parents=True, exist_ok=True)
        names = [vm.name for vm in (*self.topology.entries, *self.topology.control)]
        generate_key_files(folder / "keys", names)
        (folder / "keys" / "operators").write_text(hash_caller_key(self.operator_key))
        key_file = folder / "operator.key"
        key_file.touch(mode=0o600)
        key_file.write_text(self.operator_key)
        self._write_settings()

    def address(self) -> str:
        """Return an unused address with a port from the OS, never the same twice."""
        while True:
            with socket.socket() as probe:
                probe.bind((self.ip, 0))
                address = f"{self.ip}:{probe.getsockname()[1]}"
            if address not in self._addresses:
                self._addresses.add(address)
                return address

    def start_control(self) -> None:
        for vm in self.topology.control:
            self.start(vm.name)

    def start_entries(self) -> None:
        for vm in self.topology.entries:
            self.start(vm.name)

    def start(self, name: str, *command: str) -> None:
        """Start the process ``name``, by default with its previous command."""
        if command:
            self.commands_by_name[name] = list(command)
        program, *arguments = self.commands_by_name[name]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                [str(BIN / program), *arguments], stderr=log, stdout=log
            )

    def start_engine(self, name: str, zone: str, models: str, *options: str) -> str:
        """Start a fake engine in ``zone`` and return its address."""
        listen = self.address()
        arguments = ["poplarlug-fake-engine", name, listen, self.entries_of(zone)]
        arguments += [
            models,
            f"--announced={self._announced_address(name, zone, listen)}",
        ]
        arguments += [f"--ledger_file={self.requests_file(name)}"]
        self.start(name, *arguments, *options)
        return listen

    def start_service(self, name: str, zone: str, services: str, *options: str) -> Path:
        """Start a fake service in ``zone`` and return the path of its ledger."""
        ledger = self.folder / f"{name}.ledger"
        listen = self.address()
        arguments = ["poplarlug-fake-service", name, listen, self.entries_of(zone)]
        arguments += [services, str(ledger)]
        arguments += [f"--announced={self._announced_address(name, zone, listen)}"]
        arguments += [f"--requests_file={self.requests_file(name)}"]
        self.start(name, *arguments, *options)
        return ledger

    def requests_file(self, name: str) -> Path:
        """Return the path of the file in which upstream ``name`` records requests."""
        return self.folder / f"{name}.requests"

    def entries_of(self, zone: str) -> str:
        return ",".join(vm.http for vm in self.topology.entries_of_zone(zone))

    def signal(self, name: str, number: int) -> None:
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for it to exit."""
        self.signal(name, signal.SIGKILL)
        self.processes_by_name[name].wait()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.processes_by_name[name].wait(STOP_SECONDS)

    def close(self) -> None:
        """Kill all processes of this deployment."""
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()

    def operate(self, *arguments: str, check: bool = True) -> Any:
        """Run the operator CLI; return its JSON output, or its exit status on failure."""
        done = subprocess.run(
            [
                str(BIN / "poplarlug"),
                f"--servers={','.join(vm.grpc for vm in self.topology.control)}",
                f"--key_file={self.folder / 'operator.key'}",
                "--output=json",
                *arguments,
            ],
            capture_output=True,
            text=True,
        )
        if check and done.returncode:
            raise AssertionError(f"{arguments}: {done.returncode} {done.stderr}")
        return json.loads(done.stdout) if done.returncode == 0 else done.returncode

    def configure(self) -> None:
        """Create regions, ranks, models, a service and an account."""
        zones_by_region = {vm.region: vm.zone for vm in self.topology.entries}
        regions = tuple(zones_by_region)
        account = Account(
            name="verde",
            home_region=regions[0],
            regions=regions,
            models=("corn-7b",),
            services=("depot",),
            key_hashes=(hash_caller_key(self.key),),
        )
        self.create(
            *(Region(region, (zone,)) for region, zone in zones_by_region.items()),
            Rank("urgent", priority=0, target_seconds=10.0),
            Rank("patient", priority=1, floor_share=0.1),
            Model("corn-7b"),
            Model("secret-7b"),
            Service("depot", ("POST /bookings",)),
            account,
        )
        self._configured = True

    def create(self, *values: CatalogObject) -> None:
        """Create objects in the given order through one operator client."""
        servers = [vm.grpc for vm in self.topology.control]
        client = OperatorClient(servers=servers, key=self.operator_key)
        try:
            for value in values:
                kind = _KINDS_BY_TYPE[type(value)]
                reply = client.change(kind, value, expected_version=0).unwrap()
                if reply.status != pb.ChangeReply.ACCEPTED:
                    raise AssertionError(f"{value}: {reply}")
        finally:
            client.close()

    def wait_ready(self, names: Sequence[str] = ()) -> None:
        """
        Wait until the given running daemons, by default all, respond to ``/readyz``.

        The status has to be 200. After :meth:`configure`, entries must also know the
        account.
        """
        control = {vm.name for vm in self.topology.control}
        for vm in (*self.topology.entries, *self.topology.control):
            if names and vm.name not in names:
                continue
            if vm.name not in self.processes_by_name:
                continue
            wait_until(lambda vm=vm: is_ready(vm.http), f"{vm.name} is not ready")
            if self._configured and vm.name not in control:
                wait_until(
                    lambda vm=vm: is_ok(f"http://{vm.http}/v1/models", self.key),
                    f"{vm.name} doesn't know the account",
                )

    def _announced_address(self, name: str, zone: str, listen: str) -> str:
        return self._link(zone, name, listen) if self._link_upstreams else listen

    def _assign_addresses(self, listed: Topology, per_zone: int) -> Topology:
        entries, seen = [], dict.fromkeys((vm.zone for vm in listed.entries), 0)
        for vm in listed.entries:
            seen[vm.zone] += 1
            if seen[vm.zone] <= per_zone:
                own = {"http": self.address(), "peers": self.address()}
                entries.append(vm._replace(**own))
        control = [
            vm._replace(peers=self.address(), grpc=self.address(), http=self.address())
            for vm in listed.control
        ]
        return Topology(listed.deployment, tuple(entries), tuple(control))

    def _write_settings(self) -> None:
        for vm in (*self.topology.entries, *self.topology.control):
            topology_file = self.folder / f"{vm.name}.topology.json"
            topology_file.write_text(json.dumps(self._topology_seen_by(vm.name)))
            keys = self.folder / "keys"
            settings: dict[str, Any] = {
                "name": vm.name,
                "topology_file": topology_file.name,
                "keys": {
                    "secret_file": str(keys / "secret" / f"{vm.name}.key_secret"),
                    "peers_folder": str(keys / "public"),
                },
            }
            program = "poplarlug-entry"
            if self.topology.entry(vm.name) is not None:
                settings["claims"] = {"trust_empty_zone": True}
            if self.topology.control_vm(vm.name) is not None:
                program = "poplarlug-control"
                settings["data_folder"] = f"data/{vm.name}"
                settings["bootstrap"] = True
                settings["operator_key_hashes_file"] = str(keys / "operators")
            settings_file = self.folder / f"{vm.name}.json"
            settings_file.write_text(json.dumps(settings))
            self.commands_by_name[vm.name] = [program, f"--settings={settings_file}"]

    def _topology_seen_by(self, source: str) -> dict[str, Any]:
        def seen(vm: Any) -> dict[str, Any]:
            peers = vm.peers
            if vm.name != source:
                peers = self._link(source, vm.name, vm.peers)
            return {**vm._asdict(), "peers": peers}

        return {
            "deployment": self.topology.deployment,
            "entries": [seen(vm) for vm in self.topology.entries],
            "control": [seen(vm) for vm in self.topology.control],
        }


def wait_until(
    condition: Callable[[], Any], message: str, *, seconds: float = START_SECONDS
) -> Any:
    """Poll ``condition`` and return its first true value; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"{message} after {seconds} s")


def is_ready(address: str) -> bool:
    return is_ok(f"http://{address}/readyz")


def is_ok(url: str, key: str = "") -> bool:
    """Return whether a GET of ``url`` with the caller's ``key`` succeeds."""
    request = urllib.request.Request(url, headers={"Authorization": f"Bearer {key}"})
    try:
        with urllib.request.urlopen(request, timeout=2):
            return True
    except (urllib.error.URLError, OSError):
        return False


def _own_ip() -> str:
    # A separate address avoids port conflicts with other deployments.
    rng = Random(os.urandom(8))
    return f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}"
