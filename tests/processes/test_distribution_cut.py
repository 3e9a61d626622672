"""Tests of versions in force in a zone that is cut off and reconnected."""

import json
import re
import threading
import urllib.request
from typing import ClassVar

from examples.deployment import is_ready, wait_until
from poplarlug.soak.proxy import LinkMode
from tests.processes.case import ProcessTestCase

CHANGES = 5
CUT_ZONE = "cuenca-a"
CUT = ("cuenca-a-1", "cuenca-a-2", "control-cuenca-a")


class CutZoneTests(ProcessTestCase):
    entries_per_zone: ClassVar[int] = 2

    @classmethod
    def start_upstreams(cls) -> None:
        """Give the first entry of the cut zone a data folder and restart it."""
        settings_file = cls.deployment.folder / "cuenca-a-1.json"
        settings = json.loads(settings_file.read_text())
        settings["data_folder"] = "data/cuenca-a-1"
        settings_file.write_text(json.dumps(settings))
        cls.deployment.kill("cuenca-a-1")
        cls.deployment.start("cuenca-a-1")

    def setUp(self) -> None:
        self.addCleanup(self.proxy.heal)

    def version(self, entry: str) -> int:
        url = f"http://{self.entry(entry)}/metrics"
        with urllib.request.urlopen(url, timeout=10) as response:
            text = response.read().decode()
        found = re.search(r"^poplarlug_config_version (\S+)", text, re.MULTILINE)
        return int(float(found.group(1))) if found else 0

    def change(self) -> int:
        """Make a change through the control replicas of other zones."""
        regions = self.deployment.operate("model", "list")
        name = f"model-{len(regions)}"
        return self.deployment.operate("model", "put", name)[0]["version"]

    def lag(self) -> dict[str, int]:
        rows = self.deployment.operate("config", "status")
        return {row["vm"]: row["lag"] for row in rows}

    def test_versions_only_grow_through_a_cut_and_heal(self) -> None:
        """A cut zone keeps its version, then catches up; no version ever decreases."""
        entries = [vm.name for vm in self.deployment.topology.entries]
        seen: dict[str, list[int]] = {name: [] for name in entries}
        stop = threading.Event()

        def watch() -> None:
            while not stop.is_set():
                for name in entries:
                    seen[name].append(self.version(name))
                stop.wait(0.05)

        watching = threading.Thread(target=watch)
        watching.start()
        self.addCleanup(watching.join, 60)
        self.addCleanup(stop.set)
        # The control group shows each entry's last report.
        wait_until(lambda: self.lag()["cuenca-a-1"] == 0, "cuenca-a-1 does not report")
        self.proxy.isolate(*CUT)
        before = self.version("cuenca-a-1")
        accepted = 0
        for _ in range(CHANGES):
            accepted = self.change()
        self.wait_for_version(["quito-a-1", "guayaquil-a-2"], accepted)
        self.assertEqual(self.version("cuenca-a-1"), before)
        self.assertTrue(is_ready(self.entry("cuenca-a-1")), "it serves its callers")
        lag = self.lag()
        self.assertEqual(lag["quito-a-1"], 0)
        self.assertEqual(lag["cuenca-a-1"], accepted - before)
        self.proxy.heal()
        self.wait_for_version(entries, accepted)
        stop.set()
        watching.join(60)
        for name, versions in seen.items():
            self.assertEqual(versions, sorted(versions), f"{name} went back")

    def test_restart_in_a_cut_zone(self) -> None:
        """A cut-off entry starts from its data folder; without one it isn't ready."""
        accepted = self.change()
        self.wait_for_version(CUT[:2], accepted)
        self.proxy.isolate(*CUT[:1])
        self.proxy.set_mode(
            LinkMode.SILENT, matching=lambda s, t: "cuenca-a-2" in (s, t)
        )
        for name in CUT[:2]:
            self.deployment.kill(name)
            self.deployment.start(name)
        self.deployment.wait_ready(["cuenca-a-1"])
        self.assertEqual(self.version("cuenca-a-1"), accepted)
        self.assertFalse(is_ready(self.entry("cuenca-a-2")))
        self.proxy.heal()
        self.deployment.wait_ready(["cuenca-a-2"])
        self.assertEqual(self.version("cuenca-a-2"), accepted)

    def wait_for_version(
        self, names: list[str] | tuple[str, ...], version: int
    ) -> None:
        for name in names:
            wait_until(
                lambda name=name: self.version(name) >= version,
                f"{name} is not at version {version}",
            )
