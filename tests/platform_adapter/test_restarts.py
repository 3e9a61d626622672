"""Tests of what restarted processes believe, with real processes on loopback."""

import tempfile
import time
import uuid
from collections.abc import Sequence
from pathlib import Path
from unittest import TestCase

from poplarlug.platform.names import DIALECT
from poplarlug.soak.deployment import ZONES, Answer, SeededDeployment, wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.test_whole_path import (
    HOST,
    SETTLED_SECONDS,
    configuration,
)

RECALLED_SECONDS = 5.0
"""Longer than a restarted replica keeps what it read from its disk without a sign."""


class RestartTests(TestCase):
    """Two upstreams and two entries in Quito."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = SeededDeployment(
            folder=Path(folder.name), entry_zones=("quito-a", "quito-a")
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start_all()
        self.upstreams: list[Upstream] = []
        for name in ("u-1", "u-2", "u-3"):
            upstream = Upstream(
                upstream_id=name,
                ip=self.deployment.ip(name),
                service="desk",
                zone="quito-a",
            )
            self.addCleanup(upstream.close)
            self.upstreams.append(upstream)
        body = configuration(1, look={"route_kind": "safe"})
        self.assertEqual(self.deployment.operate("PUT", "/config", body).status, 200)
        self.deployment.wait_ready()
        self.beat(self.upstreams[:2])
        for entry in self.deployment.entries:
            wait_until(
                lambda entry=entry: (
                    "all entries are known" in self.deployment.log(entry)
                ),
                f"{entry} does not know all entries",
                SETTLED_SECONDS,
            )
        self.beat(self.upstreams[:2])
        for upstream in self.upstreams[:2]:
            wait_until(
                lambda upstream=upstream: bool(self.send() and upstream.arrivals),
                f"{upstream.id} gets nothing",
            )

    def beat(self, upstreams: Sequence[Upstream]) -> None:
        for upstream in upstreams:
            for zone in ZONES:
                try:
                    upstream.beat(self.deployment.control_address(zone))
                    break
                except OSError:
                    # That replica is not back yet.
                    continue

    def send(self) -> list[Answer]:
        """Send a request through each entry."""
        return [
            self.deployment.call(
                self.deployment.entry_address(entry),
                "GET",
                "/look/1",
                None,
                {
                    "Host": HOST,
                    DIALECT.request_id: uuid.uuid4().hex,
                    DIALECT.deadline: "2000",
                },
            )
            for entry in self.deployment.entries
        ]

    def leave_and_kill(self, names: Sequence[str]) -> None:
        """Let one upstream leave, kill processes at once and see who is used."""
        leaving, staying, new = self.upstreams
        # What a replica writes for this one may hold up what comes next.
        self.beat([new])
        time.sleep(0.1)
        status = leaving.beat(self.deployment.control_address(), "leaving")
        self.assertEqual(status, 200)
        for name in names:
            self.deployment.kill(name)
        for name in names:
            self.deployment.start(name)
        leaving.arrivals.clear()
        staying.arrivals.clear()
        until = time.monotonic() + RECALLED_SECONDS
        while time.monotonic() < until:
            self.beat([staying, new])
            self.send()
            time.sleep(0.05)
        self.assertEqual(len(leaving.arrivals), 0)
        self.assertGreater(len(staying.arrivals), 0)

    # Guards against upstreams that had left and were in use again.
    def test_upstream_that_left_before_control_was_killed_stays_away(self) -> None:
        """Entries remember what the replicas may have lost."""
        time.sleep(1.0)
        self.leave_and_kill([*self.deployment.control.values()])

    def test_upstream_that_left_before_all_were_killed_stays_away(self) -> None:
        """A farewell that was acknowledged is on a disk."""
        self.leave_and_kill(
            [*self.deployment.control.values(), *self.deployment.entries]
        )
