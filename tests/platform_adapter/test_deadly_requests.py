"""Tests of requests that crash upstreams, with real processes on loopback."""

import tempfile
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from itertools import cycle
from pathlib import Path
from random import Random
from unittest import TestCase

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.deployment import ZONES, Answer, SeededDeployment, wait_until
from poplarlug.soak.upstream import Upstream
from tests.platform_adapter.test_whole_path import HOST, configuration

ENTRY_ZONES = ("quito-a", "quito-a", "guayaquil-a")
UPSTREAM_ZONES = ("quito-a", "quito-a", "guayaquil-a")
HEARTBEAT_SECONDS = 0.3
DEADLY = b"deadly"

MAX_RETRIES = 3
"""The users' rule: a request that crashed three upstreams may be sent again at most
this often."""

DETECTION_SECONDS = 5.0
"""The rule counts the sends that are later than this after the third crash."""

RETRY_PERIOD_SECONDS = 5.0
"""How long callers retry after a 503; the longest deadline of most routes."""

ROUTES = {
    "look": {"route_kind": "safe"},
    "book": {"route_kind": "unsafe", "max_attempts": 1},
    "stream": {"route_kind": "streaming", "max_attempts": 1},
    "resume": {"route_kind": "streaming", "resumable": True},
}


class Announcer(threading.Thread):
    """Send heartbeats of running upstreams to random control replicas until stopped."""

    def __init__(
        self, *, deployment: SeededDeployment, upstreams: list[Upstream]
    ) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._upstreams = upstreams
        self._rng = Random(1)
        self._stopped = threading.Event()
        self.late_seconds = 0.0
        """Time from the restart of an upstream to its first heartbeat."""

    def stop(self) -> None:
        self._stopped.set()

    def run(self) -> None:
        while not self._stopped.wait(HEARTBEAT_SECONDS):
            zone = self._rng.choice(list(ZONES))
            for upstream in self._upstreams:
                if upstream.is_up and not self._is_late(upstream):
                    self._announce(upstream, zone)

    def _is_late(self, upstream: Upstream) -> bool:
        if not upstream.crash_times:
            return False
        started = upstream.crash_times[-1] + upstream.down_seconds
        return time.monotonic() < started + self.late_seconds

    def _announce(self, upstream: Upstream, zone: str) -> None:
        try:
            upstream.beat(self._deployment.control_address(zone))
        except OSError:
            # The replica is down; the next heartbeat may go to another one.
            pass


class DeadlyRequestTests(TestCase):
    """Two upstreams in Quito, one in Guayaquil; entries in both zones."""

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
            upstream.crash_body = DEADLY
            self.addCleanup(upstream.close)
            self.upstreams.append(upstream)
        self.announcer = Announcer(deployment=self.deployment, upstreams=self.upstreams)
        self.announcer.start()
        self.addCleanup(self.announcer.stop)
        answer = self.deployment.operate("PUT", "/config", configuration(1, **ROUTES))
        self.assertEqual(answer.status, 200, answer.body)
        self.deployment.wait_ready()
        self.wait_served()

    def wait_served(self) -> None:
        """Wait until each entry serves, then forget what the upstreams received."""
        for entry in self.deployment.entries:
            wait_until(
                lambda entry=entry: self.send(entry, "look", b"healthy").status == 200,
                f"{entry} serves nothing",
            )
        for upstream in self.upstreams:
            upstream.arrivals.clear()

    def send(
        self, entry: str, route: str, body: bytes | None, seconds: float = 10.0
    ) -> Answer:
        return self.deployment.call(
            self.deployment.entry_address(entry),
            "GET" if body is None else "POST",
            f"/{route}/7",
            body,
            {
                "Host": HOST,
                HEADER_NAMES.request_id: uuid.uuid4().hex,
                HEADER_NAMES.deadline: "4000",
            },
            seconds,
        )

    def send_with_retries(self, entry: str, route: str, body: bytes | None) -> Answer:
        """Send a request, and retry it while 503 has a ``Retry-After`` header."""
        until = time.monotonic() + RETRY_PERIOD_SECONDS
        while True:
            answer = self.send(entry, route, body)
            wait = answer.headers.get("Retry-After")
            if answer.status != 503 or wait is None or time.monotonic() > until:
                return answer
            time.sleep(float(wait))

    def crash_times(self) -> list[float]:
        return sorted(at for upstream in self.upstreams for at in upstream.crash_times)

    def send_repeatedly(self, route: str, body: bytes, seconds: float) -> None:
        """Send the same request to each entry in turn for ``seconds``."""
        until = time.monotonic() + seconds
        for entry in cycle(self.deployment.entries):
            if time.monotonic() > until:
                return
            self.send(entry, route, body)
            time.sleep(0.2)

    def check_refused(self, route: str) -> None:
        """Check the users' rule, and that each entry refuses the request at once."""
        body = DEADLY + route.encode()
        self.send_repeatedly(route, body, DETECTION_SECONDS + 4.0)
        crash_times = self.crash_times()
        self.assertLessEqual(len(crash_times), 3 + MAX_RETRIES)
        self.assertLess(crash_times[-1], crash_times[2] + DETECTION_SECONDS)
        for entry in self.deployment.entries:
            started = time.monotonic()
            self.assertEqual(self.send(entry, route, body).status, 422)
            self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(self.crash_times(), crash_times)
        self.wait_served()

    # Guards against a request that crashes upstream after upstream because retries
    # are counted separately for each send.
    def test_safe_request_that_ends_upstreams_is_not_sent_on(self) -> None:
        """A request that crashed three upstreams is sent at most three more times."""
        self.check_refused("look")

    def test_unsafe_request_that_ends_upstreams_is_not_sent_on(self) -> None:
        """The rule also holds for requests that are never retried within a send."""
        self.check_refused("book")

    def test_stream_that_ends_upstreams_is_not_sent_on(self) -> None:
        """The rule also holds for non-resumable streams, also after first events."""
        for upstream in self.upstreams:
            upstream.crash_after_events = 3
        self.check_refused("stream")

    def test_resumed_stream_that_ends_upstreams_is_not_sent_on(self) -> None:
        """A send that resumes after the last event counts as the same request."""
        for upstream in self.upstreams:
            upstream.crash_after_events = 3
        self.check_refused("resume")

    def test_upstreams_that_end_silently_count(self) -> None:
        """Connections stay open without data; the upstreams return under new ids."""
        for upstream in self.upstreams:
            upstream.crashes_silently = True
            upstream.down_seconds = 1.0
        body = DEADLY + b" silent"
        sent_at = []
        with ThreadPoolExecutor(3) as pool:
            for _ in range(12):
                arrived = self.deadly_arrivals()
                for entry in self.deployment.entries:
                    # The caller disconnects before its deadline, as many do.
                    pool.submit(self.send, entry, "stream", body, 1.5)
                time.sleep(2.0)
                sent_at += [time.monotonic()] * (self.deadly_arrivals() - arrived)
        third = sent_at[2]
        late = [at for at in sent_at if at > third + DETECTION_SECONDS]
        self.assertLessEqual(len(late), MAX_RETRIES)
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "stream", body).status, 422)

    # Guards against crashes that the answers of the next run withdrew, as control hadn't
    # heard of it.
    def test_upstreams_that_are_back_under_their_ids_unheard_count(self) -> None:
        """They answer sound requests before their first heartbeat."""
        for upstream in self.upstreams:
            upstream.keeps_id = True
        self.announcer.late_seconds = 2.0
        body = DEADLY + b" unheard"
        stopped = threading.Event()

        def send_sound(entry: str) -> None:
            while not stopped.wait(0.05):
                self.send(entry, "look", uuid.uuid4().bytes)

        with ThreadPoolExecutor(len(self.deployment.entries)) as pool:
            for entry in self.deployment.entries:
                pool.submit(send_sound, entry)
            until = time.monotonic() + 4 * DETECTION_SECONDS
            for entry in cycle(self.deployment.entries):
                if time.monotonic() > until:
                    break
                self.send(entry, "book", body)
                time.sleep(1.5)
            stopped.set()
        crash_times = self.crash_times()
        late = [at for at in crash_times if at > crash_times[2] + DETECTION_SECONDS]
        self.assertLessEqual(len(late), MAX_RETRIES)
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "book", body).status, 422)

    def deadly_arrivals(self) -> int:
        return sum(DEADLY in a.body for u in self.upstreams for a in u.arrivals)

    def test_callers_that_repeat_at_once_are_counted_together(self) -> None:
        """Many connections send the request at once, to all entries, in waves."""
        body = DEADLY + b" burst"
        with ThreadPoolExecutor(18) as pool:
            for _ in range(5):
                for entry in self.deployment.entries * 6:
                    pool.submit(self.send, entry, "book", body)
                time.sleep(3.0)
        crash_times = self.crash_times()
        late = [at for at in crash_times if at > crash_times[2] + DETECTION_SECONDS]
        self.assertLessEqual(len(late), MAX_RETRIES)
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "book", body).status, 422)

    def test_two_deadly_requests_are_both_refused(self) -> None:
        """Concurrent crashes look like a wide outage, but must not clear either one."""
        bodies = [DEADLY + b" one", DEADLY + b" two"]
        with ThreadPoolExecutor(2) as pool:
            for body in bodies:
                pool.submit(
                    self.send_repeatedly, "book", body, 2 * DETECTION_SECONDS + 2.0
                )
        for body in bodies:
            arrivals = sorted(
                arrival.at
                for upstream in self.upstreams
                for arrival in upstream.arrivals
                if arrival.body == body
            )
            late = [at for at in arrivals if at > arrivals[2] + DETECTION_SECONDS]
            self.assertLessEqual(len(late), MAX_RETRIES)
            for entry in self.deployment.entries:
                self.assertEqual(self.send(entry, "book", body).status, 422)

    def test_quarantine_outlives_restarts(self) -> None:
        """The quarantine survives killing and restarting all entries and replicas."""
        body = DEADLY + b" restart"
        self.send_repeatedly("book", body, DETECTION_SECONDS + 4.0)
        crash_times = self.crash_times()
        names = [*self.deployment.control.values(), *self.deployment.entries]
        for name in names:
            self.deployment.kill(name)
        for name in names:
            self.deployment.start(name)
        self.deployment.wait_ready()
        self.wait_served()
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "book", body).status, 422)
        self.assertEqual(self.crash_times(), crash_times)

    def test_neighbours_of_a_deadly_request_are_served(self) -> None:
        """Requests that run during each of its crashes are never rejected for them."""
        for upstream in self.upstreams:
            upstream.event_seconds = 0.05
        bodies = [b"healthy %d" % number for number in range(12)]
        statuses: set[int] = set()
        stopped = threading.Event()

        def repeat(body: bytes, entry: str) -> None:
            while not stopped.is_set():
                statuses.add(self.send(entry, "stream", body).status)

        with ThreadPoolExecutor(len(bodies)) as pool:
            for body, entry in zip(bodies, cycle(self.deployment.entries)):
                pool.submit(repeat, body, entry)
            time.sleep(0.5)
            self.send_repeatedly("book", DEADLY + b" beside", 5.0)
            stopped.set()
        self.assertNotIn(422, statuses)
        for body, entry in zip(bodies, cycle(self.deployment.entries)):
            self.assertEqual(self.send(entry, "stream", body).status, 200)
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "book", DEADLY + b" beside").status, 422)

    def test_healthy_request_sent_beside_each_deadly_one_is_served(self) -> None:
        """Both are suspects at the same time, but only one of them causes crashes."""
        for upstream in self.upstreams:
            upstream.event_seconds = 0.06
        deadly = DEADLY + b" beside"
        healthy = b"healthy beside"
        with ThreadPoolExecutor(6) as pool:
            for entry in self.deployment.entries * 2:
                pool.submit(self.send, entry, "book", deadly)
                for other in self.deployment.entries:
                    pool.submit(self.send, other, "stream", healthy)
                time.sleep(1.5)
        for entry in self.deployment.entries:
            self.assertEqual(self.send(entry, "book", deadly).status, 422)
            self.assertEqual(
                self.send_with_retries(entry, "stream", healthy).status, 200
            )

    def crash_during(self, route: str, body: bytes | None, times: int) -> set[int]:
        """Crash all upstreams while they run a request that is not the cause."""
        statuses: set[int] = set()
        for _ in range(times):
            with ThreadPoolExecutor(len(self.deployment.entries)) as pool:
                sent = [
                    pool.submit(self.send, entry, route, body)
                    for entry in self.deployment.entries
                ]
                time.sleep(0.2)
                for upstream in self.upstreams:
                    upstream.crash()
                statuses |= {future.result().status for future in sent}
            wait_until(
                lambda: all(u.is_up for u in self.upstreams), "an upstream stays down"
            )
            # Time for the upstreams to announce themselves.
            time.sleep(3 * HEARTBEAT_SECONDS)
        return statuses

    def test_healthy_request_is_served_after_crashes_that_it_ran_beside(self) -> None:
        """All upstreams crash three times within seconds; it ran at some of them."""
        for upstream in self.upstreams:
            upstream.event_seconds = 0.1
            upstream.down_seconds = 0.2
        for route in ("stream", "resume"):
            body = b"healthy " + route.encode()
            self.assertNotIn(422, self.crash_during(route, body, 3))
            for entry in self.deployment.entries:
                self.assertEqual(self.send_with_retries(entry, route, body).status, 200)

    def test_common_request_without_a_body_is_served_after_crashes(self) -> None:
        """Many callers send the same request, so it ran at every crashed upstream."""
        for upstream in self.upstreams:
            upstream.answer_seconds = 0.5
            upstream.down_seconds = 0.2
        self.assertNotIn(422, self.crash_during("look", None, 4))
        for upstream in self.upstreams:
            upstream.answer_seconds = 0.02
        with ThreadPoolExecutor(9) as pool:
            sent = [
                pool.submit(self.send_with_retries, entry, "look", None)
                for entry in self.deployment.entries * 3
            ]
            statuses = [future.result().status for future in sent]
        self.assertEqual(statuses, [200] * 9)
