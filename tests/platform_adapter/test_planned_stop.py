"""Tests of planned stops under load, with real processes on loopback."""

import http.client
import signal
import tempfile
import threading
import time
import uuid
from collections import Counter
from pathlib import Path
from unittest import TestCase

from poplarlug.platform.names import DIALECT
from poplarlug.soak.deployment import SeededDeployment, wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.test_deadly_requests import Announcer
from tests.platform_adapter.test_whole_path import HOST, configuration

CALLERS = 24
LOAD_SECONDS = 1.0


class PlannedStopTests(TestCase):
    """Two entries and one upstream in Quito."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = SeededDeployment(
            folder=Path(folder.name), entry_zones=("quito-a", "quito-a")
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start_all()
        self.entry = self.deployment.entries[0]
        upstream = Upstream(
            upstream_id="u-1",
            ip=self.deployment.ip("u-1"),
            service="desk",
            zone="quito-a",
        )
        upstream.slots = 64
        self.addCleanup(upstream.close)
        announcer = Announcer(deployment=self.deployment, upstreams=[upstream])
        announcer.start()
        self.addCleanup(announcer.stop)
        body = configuration(1, look={"route_kind": "safe"})
        self.assertEqual(self.deployment.operate("PUT", "/config", body).status, 200)
        self.deployment.wait_ready()
        wait_until(lambda: self.call() == "200", "the entry serves nothing")
        self.outcomes: Counter[str] = Counter()

    def call(self) -> str:
        """Send a request on a connection of its own; return how that ended."""
        host, _, port = self.deployment.entry_address(self.entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        try:
            try:
                connection.connect()
            except OSError:
                return "not connected"
            headers = {
                "Host": HOST,
                DIALECT.request_id: uuid.uuid4().hex,
                DIALECT.deadline: "4000",
            }
            connection.request("GET", "/look/1", None, headers)
            answer = connection.getresponse()
            answer.read()
            return str(answer.status)
        except (OSError, http.client.HTTPException) as error:
            return f"cut off: {type(error).__name__}"
        finally:
            connection.close()

    def call_until_it_is_gone(self) -> None:
        while True:
            outcome = self.call()
            self.outcomes[outcome] += 1
            if outcome == "not connected":
                return

    # Guards against requests that were cut off with connections which the kernel
    # had accepted and the entry had not.
    def test_callers_that_connect_until_the_end_are_all_answered(self) -> None:
        """Who is connected gets an answer, though it may be to ask elsewhere."""
        callers = [
            threading.Thread(target=self.call_until_it_is_gone) for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(LOAD_SECONDS)
        self.deployment.signal(self.entry, signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual(self.deployment.wait_for_exit(self.entry), 0)
        self.assertLessEqual(set(self.outcomes), {"200", "503", "not connected"})
        self.assertGreater(self.outcomes["503"], 0)
