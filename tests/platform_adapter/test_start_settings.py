"""Tests that processes start with all values that the platform may set."""

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from unittest import TestCase

from poplarlug.platform.names import SETTINGS_VARIABLE
from poplarlug.soak.deployment import ZONES
from tests.platform_adapter.template import fill_template

START_SECONDS = 20.0
INVALID_SETTINGS_STATUS = 2


BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "budget_extra": 58,
    "budget_window_s": 10,
    "cold_overage": 1.5,
    "cold_slack": 3,
}
BOUNDS_BY_CASE: dict[str, Mapping[str, float]] = {
    "whole": {name: max(1, round(value)) for name, value in BOUNDS.items()},
    "fractional": {name: value + 2 / 3 for name, value in BOUNDS.items()},
    "smallest": {
        "grace_s": 0.001,
        "retry_budget_ratio": 0,
        "budget_extra": 0,
        "budget_window_s": 0.001,
        "cold_overage": 0,
        "cold_slack": 0,
    },
    "largest": {
        "grace_s": 86_400,
        "retry_budget_ratio": 1_000.5,
        "budget_extra": 10_000_000.5,
        "budget_window_s": 86_400,
        "cold_overage": 1_000.5,
        "cold_slack": 1_000_000,
    },
}
HEARTBEATS_BY_CASE = {
    "whole": 1200,
    "fractional": 1200.5,
    "smallest": 0.001,
    "largest": 3_600_000,
}


def platform_fields(ip: str, **fields: Any) -> dict[str, Any]:
    """Return the platform's fields of a process in Quito at an address."""
    return {
        "node_name": "vm-1",
        "zone": "quito-a",
        "region": ZONES["quito-a"],
        "zones": ZONES,
        "ip": ip,
        "listen": {
            "frontend": f"{ip}:8144",
            "readiness": f"{ip}:8140",
            "directory": f"{ip}:8143",
            "control": f"{ip}:8146",
        },
        "port_range": [7660, 7675],
        "seeds": [f"{ip}:8146"],
        "bootstrap": True,
        "data_dir": "data",
        "heartbeat_ms": 1200,
        "bounds": BOUNDS,
    } | fields


class StartSettingsTests(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        pid = os.getpid()
        self.ip = f"127.{200 + pid % 50}.{pid // 50 % 250}.9"

    def start(self, program: str, fields: Mapping[str, Any]) -> tuple[int | None, str]:
        """
        Start a program until it has started or exited.

        Returns
        -------
        tuple
            Its exit status, ``None`` if it started, and what it logged.
        """
        settings = self.folder / f"{program}.jsonc"
        settings.write_text(fill_template(f"{program}.jsonc", fields))
        log = self.folder / f"{program}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", f"poplarlug.platform.{program}"],
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=output,
                stderr=output,
            )
        try:
            deadline = time.monotonic() + START_SECONDS
            while time.monotonic() < deadline and process.poll() is None:
                if f"{program}: started" in log.read_text():
                    return None, log.read_text()
                time.sleep(0.05)
            return process.poll() or 0, log.read_text()
        finally:
            process.kill()
            process.wait(START_SECONDS)

    def test_entry_starts_with_any_valid_bound(self) -> None:
        """Small deployments scale bounds down to fractions."""
        # Guards against entries that exit at their start on a small deployment.
        for case, bounds in BOUNDS_BY_CASE.items():
            with self.subTest(case=case):
                status, log = self.start(
                    "entry", platform_fields(self.ip, bounds=bounds)
                )
                self.assertIsNone(status, log)

    def test_control_starts_with_any_heartbeat_interval(self) -> None:
        """Heartbeat intervals may be fractions of a millisecond."""
        for case, heartbeat in HEARTBEATS_BY_CASE.items():
            with self.subTest(case=case):
                fields = platform_fields(
                    self.ip, heartbeat_ms=heartbeat, data_dir=str(self.folder / case)
                )
                status, log = self.start("control", fields)
                self.assertIsNone(status, log)

    def test_invalid_bounds_are_named(self) -> None:
        """A value without a meaning ends the program with an error that names it."""
        names = {
            "budget_extra": "$.budgets.retry_extra",
            "retry_budget_ratio": "$.budgets.retry_ratio",
            "cold_slack": "$.budgets.warmup_slack",
            "grace_s": "$.grace_seconds",
        }
        for bound, path in names.items():
            for value in (-1, [1]):
                with self.subTest(bound=bound, value=value):
                    bounds = {**BOUNDS, bound: value}
                    status, log = self.start(
                        "entry", platform_fields(self.ip, bounds=bounds)
                    )
                    self.assertEqual(status, INVALID_SETTINGS_STATUS, log)
                    self.assertIn(path, log)
