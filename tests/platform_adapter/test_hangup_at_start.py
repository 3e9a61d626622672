"""Tests of a SIGHUP that comes while a process starts, with real processes."""

import signal
import time
from pathlib import Path

from poplarlug.soak.deployment import wait_until
from tests.platform_adapter.case import DeploymentTestCase

IMPORTED_LIBRARY = "msgspec"
"""Mapped by a process while it imports its modules, long before its settings are read."""

START_SECONDS = 20.0


class HangupAtStartTests(DeploymentTestCase):
    """Processes that are started again."""

    entry_zones = ("quito-a",)

    # Guards against processes that a SIGHUP at their start ends.
    def test_hangup_during_the_imports_ends_no_process(self) -> None:
        """The platform may change the settings file at any time."""
        for name in (self.deployment.control["quito-a"], self.entries[0]):
            self.deployment.kill(name)
            logged = len(self.deployment.log(name))
            self.deployment.start(name)
            maps = Path(f"/proc/{self.deployment.pid(name)}/maps")
            deadline = time.monotonic() + START_SECONDS
            while IMPORTED_LIBRARY not in maps.read_text():
                self.assertLess(time.monotonic(), deadline)
            self.deployment.signal(name, signal.SIGHUP)
            wait_until(
                lambda name=name, logged=logged: (
                    not self.deployment.is_running(name)
                    or ': started"' in self.deployment.log(name)[logged:]
                ),
                f"{name} neither starts nor ends",
                START_SECONDS,
            )
            self.assertTrue(self.deployment.is_running(name), name)
