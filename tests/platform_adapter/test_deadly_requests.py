"""Tests of requests under which upstreams end, with real processes on loopback."""

import tempfile
import threading
import time
import uuid
from itertools import cycle
from pathlib import Path
from random import Random
from unittest import TestCase

from poplarlug.platform.names import DIALECT
from poplarlug.soak.deployment import ZONES, Answer, SeededDeployment, wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.test_whole_path import HOST, configuration

ENTRY_ZONES = ("quito-a", "quito-a", "guayaquil-a")
UPSTREAM_ZONES = ("quito-a", "quito-a", "guayaquil-a")
BEAT_SECONDS = 0.3
DEADLY = b"deadly"

RETRIES = 3
"""The users' rule: what ended three upstreams may be sent so often again."""

CONTACT_SECONDS = 5.0
"""The rule counts sends later than this after the third end."""

ROUTES = {
    "look": {"route_kind": "safe"},
    "book": {"route_kind": "unsafe", "max_attempts": 1},
    "stream": {"route_kind": "streaming", "max_attempts": 1},
    "resume": {"route_kind": "streaming", "resumable": True},
}


class Announcer(threading.Thread):
    """Announce upstreams that are up at any control replica until stopped."""

    def __init__(
        self, *, deployment: SeededDeployment, upstreams: list[Upstream]
    ) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._upstreams = upstreams
        self._rng = Random(1)
        self._stopped = threading.Event()

    def stop(self) -> None:
        self._stopped.set()

    def run(self) -> None:
        while not self._stopped.wait(BEAT_SECONDS):
            zone = self._rng.choice(list(ZONES))
            for upstream in self._upstreams:
                if upstream.is_up:
                    self._announce(upstream, zone)

    def _announce(self, upstream: Upstream, zone: str) -> None:
        try:
            upstream.beat(self._deployment.control_address(zone))
        except OSError:
            # The replica is down; the next beat goes to another one.
            pass


class DeadlyRequestTests(TestCase):
    """Two upstreams in Quito, one in Guayaquil; entries in both."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = SeededDeployment(
            folder=Path(folder.name), entry_zones=ENTRY_ZONES
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start_all()
        self.upstreams: list[Upstream] = []
        for number, zone in enumerate(UPSTREAM_ZONES):
            name = f"u-{number}"
            upstream = Upstream(
                upstream_id=name,
                ip=self.deployment.ip(name),
                service="desk",
                zone=zone,
            )
            upstream.deadly = DEADLY
            self.addCleanup(upstream.close)
            self.upstreams.append(upstream)
        announcer = Announcer(deployment=self.deployment, upstreams=self.upstreams)
        announcer.start()
        self.addCleanup(announcer.stop)
        answer = self.deployment.operate("PUT", "/config", configuration(1, **ROUTES))
        self.assertEqual(answer.status, 200, answer.body)
        self.deployment.wait_ready()
        self.wait_served()

    def wait_served(self) -> None:
        """Wait until each entry serves and all upstreams are announced."""
        for entry in self.deployment.entries:
            wait_until(
                lambda entry=entry: self.send(entry, "look", b"healthy").status == 200,
                f"{entry} serves nothing",
            )
        for upstream in self.upstreams:
            upstream.arrivals.clear()

    def send(
        self, entry: str, route: str, body: bytes, seconds: float = 10.0
    ) -> Answer:
        return self.deployment.call(
            self.deployment.entry_address(entry),
            "POST",
            f"/{route}/7",
            body,
            {
                "Host": HOST,
                DIALECT.request_id: uuid.uuid4().hex,
                DIALECT.deadline: "4000",
            },
            seconds,
        )

    def ends(self) -> list[float]:
        return sorted(at for upstream in self.upstreams for at in upstream.ends)

    def insist(self, route: str, body: bytes, seconds: float) -> None:
        """Send the same request again and again, to each entry in turn."""
        until = time.monotonic() + seconds
        for entry in cycle(self.deployment.entries):
            if time.monotonic() > until:
                return
            self.send(entry, route, body)
            time.sleep(0.2)

    def check_refused(self, route: str) -> None:
        """Check the rule, and that each entry refuses the request at once."""
        body = DEADLY + route.encode()
        self.insist(route, body, CONTACT_SECONDS + 4.0)
        ends = self.ends()
        self.assertLessEqual(len(ends), 3 + RETRIES)
        self.assertLess(ends[-1], ends[2] + CONTACT_SECONDS)
        for entry in self.deployment.entries:
            started = time.monotonic()
            self.assertEqual(self.send(entry, route, body).status, 422)
            self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(self.ends(), ends)
        self.wait_served()

    # Guards against a request that ended upstream after upstream, as repeats were
    # counted for each send alone.
    def test_safe_request_that_ends_upstreams_is_not_sent_on(self) -> None:
        """What ended three upstreams is sent at most three more times."""
        self.check_refused("look")

    def test_unsafe_request_that_ends_upstreams_is_not_sent_on(self) -> None:
        """What is never repeated within a send counts as well."""
        self.check_refused("book")

    def test_stream_that_ends_upstreams_is_not_sent_on(self) -> None:
        """So does a stream that can't be resumed, also after its first events."""
        for upstream in self.upstreams:
            upstream.deadly_after = 3
        self.check_refused("stream")

    def test_resumed_stream_that_ends_upstreams_is_not_sent_on(self) -> None:
        """A send that goes on after the last event is the same request."""
        for upstream in self.upstreams:
            upstream.deadly_after = 3
        self.check_refused("resume")
