"""Tests of settings files."""

import json
import subprocess
import tempfile
from pathlib import Path
from typing import Any, NamedTuple
from unittest import TestCase

from returns.result import Failure, Success

from examples.deployment import BIN, Deployment
from poplarlug.control.main import ControlSettings
from poplarlug.entry.main import EntrySettings
from poplarlug.settings import check_settings, load_settings
from poplarlug.topology import LogSettings, Topology

EXAMPLES = Path(__file__).parent.parent / "examples"


class Part(NamedTuple):
    count: int


class Whole(NamedTuple):
    name: str
    parts: tuple[Part, ...] = ()


class CheckSettingsTests(TestCase):
    def test_all_errors_are_reported_with_their_paths(self) -> None:
        """Each invalid value or unknown key is reported as an error of its own."""
        tree = {"parts": [{"count": "x"}, {"count": 1, "odd": 2}, 3]}
        checked = check_settings(tree, Whole)
        assert isinstance(checked, Failure)
        paths = {error.path for error in checked.failure()}
        expected = {"$.name", "$.parts[0].count", "$.parts[1].odd", "$.parts[2]"}
        self.assertEqual(paths, expected)

    def test_defaults_fill_missing_keys(self) -> None:
        """A key with a default may be omitted."""
        self.assertEqual(check_settings({"name": "a"}, Whole), Success(Whole("a")))


class TopologyTests(TestCase):
    def errors_of(self, **changes: Any) -> set[str]:
        tree: dict[str, Any] = {
            "deployment": "d",
            "entries": [entry("e1", "10.0.0.1:1"), entry("e2", "10.0.0.2:1")],
            "control": [control("c1", "10.0.0.3:1")],
        }
        checked = check_settings({**tree, **changes}, Topology)
        if isinstance(checked, Success):
            return set()
        return {str(error) for error in checked.failure()}

    def test_a_sound_topology_has_no_errors(self) -> None:
        """Unique names and addresses pass the checks."""
        self.assertEqual(self.errors_of(), set())

    def test_all_errors_between_vms_are_reported_at_once(self) -> None:
        """Duplicate names and addresses, wrong regions and zones: one error each."""
        found = self.errors_of(
            entries=[
                entry("e1", "10.0.0.1:1"),
                entry("e1", "10.0.0.1:1", region="r2"),
                entry("e3", "example.org:1"),
                entry("e4", "10.0.0.4:70000"),
            ],
            control=[control("e3", "10.0.0.3:1", zone="z9")],
        )
        fragments = [
            "$: the name 'e1' stands twice",
            "$: the name 'e3' stands twice",
            "$.entries[1].http: '10.0.0.1:1' stands at $.entries[0].http too",
            "$.entries[1].peers: '10.0.0.1:10' stands at $.entries[0].peers too",
            "$.entries[1].region: got 'r2', but zone 'z1' lies in region 'r1'",
            "$.entries[2].http: got 'example.org:1', expected an IP number",
            "$.entries[2].peers: got 'example.org:10', expected an IP number",
            "$.entries[3].http: got '10.0.0.4:70000', expected an IP number",
            "$.entries[3].peers: got '10.0.0.4:700000', expected an IP number",
            "$.control[0].zone: got 'z9', expected a zone of the entries: z1",
        ]
        for fragment in fragments:
            self.assertTrue(any(e.startswith(fragment) for e in found), fragment)
        self.assertEqual(len(found), len(fragments), found)

    def test_a_topology_needs_entries_and_control(self) -> None:
        """Empty lists are errors of their own."""
        found = self.errors_of(entries=[], control=[])
        self.assertEqual(len(found), 2, found)

    def test_log_values_are_checked(self) -> None:
        """An unknown level or format is rejected."""
        checked = check_settings({"format": "xml", "level": "loud"}, LogSettings)
        assert isinstance(checked, Failure)
        paths = {error.path for error in checked.failure()}
        self.assertEqual(paths, {"$.format", "$.level"})


def entry(name: str, http: str, region: str = "r1") -> dict[str, str]:
    return {
        "name": name,
        "region": region,
        "zone": "z1",
        "http": http,
        "peers": f"{http}0",
    }


def control(name: str, http: str, zone: str = "z1") -> dict[str, str]:
    return {**entry(name, http), "zone": zone, "grpc": f"{http}1"}


class DaemonCheckTests(TestCase):
    """The daemons' ``--check``, run as an operator runs it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "d"
        self.deployment = Deployment(folder=self.folder)

    def check(self, name: str) -> subprocess.CompletedProcess[str]:
        program, *arguments = self.deployment.commands_by_name[name]
        command = [str(BIN / program), *arguments, "--check"]
        return subprocess.run(command, capture_output=True, text=True)

    def test_sound_settings_pass(self) -> None:
        """The generated settings and key files of a deployment have no errors."""
        for name in ("quito-a-1", "control-quito-a"):
            done = self.check(name)
            self.assertEqual(done.returncode, 0, done.stderr)

    def test_errors_of_all_files_are_reported_with_status_2(self) -> None:
        """Errors in the topology and in key files are all reported in one run."""
        topology = self.folder / "quito-a-1.topology.json"
        tree = json.loads(topology.read_text())
        tree["entries"][1]["name"] = "quito-a-1"
        topology.write_text(json.dumps(tree))
        secret = self.folder / "keys" / "secret" / "quito-a-1.key_secret"
        secret.chmod(0o644)
        done = self.check("quito-a-1")
        self.assertEqual(done.returncode, 2)
        self.assertIn("the name 'quito-a-1' stands twice", done.stderr)
        self.assertIn("is open to others (mode 644); run: chmod 600", done.stderr)

    def test_missing_files_are_reported(self) -> None:
        """Each missing or invalid key file is reported under its setting."""
        keys = self.folder / "keys"
        (keys / "secret" / "control-quito-a.key_secret").unlink()
        (keys / "public" / "cuenca-a-1.key").unlink()
        (keys / "operators").write_text("not-a-hash")
        done = self.check("control-quito-a")
        self.assertEqual(done.returncode, 2)
        for place in ("secret_file", "peers_folder", "operator_key_hashes_file"):
            self.assertIn(place, done.stderr)
        self.assertIn("cuenca-a-1", done.stderr)

    def test_a_name_outside_the_topology_is_reported(self) -> None:
        """The name in an entry's settings must be one of the topology's entries."""
        settings = self.folder / "quito-a-1.json"
        tree = json.loads(settings.read_text())
        settings.write_text(json.dumps({**tree, "name": "control-quito-a"}))
        done = self.check("quito-a-1")
        self.assertEqual(done.returncode, 2)
        self.assertIn("$.name: got 'control-quito-a', expected one of", done.stderr)

    def test_the_client_refuses_an_open_key_file(self) -> None:
        """An operator's key file that others can read is rejected with status 2."""
        key_file = self.folder / "operator.key"
        key_file.chmod(0o640)
        status = self.deployment.operate("account", "list", check=False)
        self.assertEqual(status, 2)

    def test_generate_writes_keys_for_a_topology(self) -> None:
        """One command writes all VMs' key pairs, secrets readable by the owner only."""
        topology = EXAMPLES / "markisenwerk" / "topology.jsonc"
        target = self.folder / "fresh"
        command = [str(BIN / "poplarlug"), "keys", "generate", str(target)]
        subprocess.run([*command, f"--topology={topology}"], check=True)
        secrets = sorted((target / "secret").glob("*.key_secret"))
        self.assertEqual(len(secrets), 12)
        self.assertEqual({path.stat().st_mode & 0o777 for path in secrets}, {0o600})
        self.assertEqual(len(list((target / "public").glob("*.key"))), 12)


class ExampleSettingsTests(TestCase):
    def test_every_example_loads(self) -> None:
        """No settings file in examples/ has errors."""
        files = sorted(EXAMPLES.glob("*/*.jsonc"))
        self.assertGreaterEqual(len(files), 26)
        for path in files:
            kind: type = EntrySettings
            if path.name == "topology.jsonc":
                kind = Topology
            elif path.name.startswith("control-"):
                kind = ControlSettings
            with self.subTest(path=path):
                self.assertIsInstance(load_settings(path, kind), Success)
