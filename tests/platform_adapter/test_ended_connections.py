"""Tests of answers that their connection ends too early, with real processes on loopback."""

import http.client
import signal
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any, ClassVar, NamedTuple

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.soak.answers import encode_event
from poplarlug.soak.deployment import wait_until
from poplarlug.soak.upstream import (
    PLAIN_BODY,
    STREAM_EVENTS,
    Upstream,
)
from tests.platform_adapter.case import DeploymentTestCase

STREAMS = 8
MANY_ROUNDS = 8
EVENTS = b"".join(encode_event(number, "x") for number in range(STREAM_EVENTS))
MAX_TOKENS = 3 * STREAM_EVENTS
"""Callers allow for more events than the streams have."""

SETTLED_SECONDS = 1.5
"""Within that time, upstreams that crashed are back and all entries know of the crashes."""

DEADLINE_SECONDS = 4.0
PAUSE_AFTER_SECONDS = 0.2
PAUSE_SECONDS = 2.0
ROUTES = {
    "look": {"route_kind": "safe", "max_attempts": 2},
    "book": {"route_kind": "unsafe", "max_attempts": 2},
    "stream": {"route_kind": "streaming", "max_attempts": 1, "sticky": True},
    "resume": {
        "route_kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
        "sticky": True,
    },
}


class Received(NamedTuple):
    """What a caller got: the status, the bytes, and whether their end looks whole."""

    status: int
    data: bytes
    is_whole: bool


class EndedConnectionCase(DeploymentTestCase):
    """Two upstreams in Quito; the entry in Guayaquil hands requests on."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")
    routes: ClassVar[dict[str, dict[str, Any]]] = ROUTES
    deadline_seconds: ClassVar[float] = DEADLINE_SECONDS

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [self.start_upstream(f"u-{number}") for number in range(2)]
        self.configure(**self.routes)
        self.wait_served()
        self.wait_until_entries_are_known()

    def start_upstream(self, name: str) -> Upstream:
        upstream = self.add_upstream(name)
        upstream.event_seconds = 0.002
        upstream.slots = 2 * STREAMS
        self.keep_announcing(upstream)
        return upstream

    def read(self, entry: str, route: str, name: str = "") -> Received:
        """Send a request, unlike all others if not named; read its answer to the end."""
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = self.headers(str(int(self.deadline_seconds * 1000)))
        headers[HEADER_NAMES.token_counts] = f"5,{MAX_TOKENS}"
        status, data = 0, b""
        try:
            path = f"/{route}/{name or uuid.uuid4().hex}"
            connection.request("POST", path, b"hello", headers)
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                data += part
            return Received(status, data, status == 200)
        except (OSError, http.client.HTTPException):
            return Received(status, data, False)
        finally:
            connection.close()

    def read_many(self, entry: str, route: str) -> list[Received]:
        with ThreadPoolExecutor(STREAMS) as pool:
            return list(pool.map(self.read, [entry] * STREAMS, [route] * STREAMS))

    def count_new_streams(self) -> int:
        """Return how many arrivals since the last clearing resume no stream."""
        return sum(
            LAST_EVENT_HEADER not in arrival.headers
            for upstream in self.upstreams
            for arrival in upstream.arrivals
        )

    def check_streams(self, streams: list[Received], what: tuple[str, ...]) -> None:
        """Check that callers got the first events of a run, and all if it looks whole."""
        for stream in streams:
            if stream.status == 200:
                self.assertTrue(EVENTS.startswith(stream.data), (what, stream))
            if stream.is_whole:
                self.assertEqual(stream.data, EVENTS, what)


class EndedConnectionTests(EndedConnectionCase):
    """Upstreams end their connections."""

    # Guards against streams that ended as complete where their connection had ended.
    def test_stream_that_its_connection_ends_early_does_not_look_whole(self) -> None:
        """All upstreams end theirs too early, each at the border of an event."""
        for upstream in self.upstreams:
            upstream.fault = "unframed cut"
        for entry in self.entries:
            self.check_streams(self.read_many(entry, "resume"), (entry, "new"))
        for upstream in self.upstreams:
            upstream.fault, upstream.resume_fault = "cut", "unframed cut"
        for entry in self.entries:
            self.check_streams(self.read_many(entry, "resume"), (entry, "resumed"))

    def test_stream_that_its_connection_ends_early_goes_on(self) -> None:
        """A sound upstream is asked for the rest."""
        self.upstreams[0].fault = "unframed cut"
        for entry in self.entries:
            streams = self.read_many(entry, "resume")
            self.check_streams(streams, (entry,))
            self.assertTrue(all(stream.is_whole for stream in streams), entry)

    # Guards against streams that a crashed upstream ended as if they were complete.
    def test_stream_of_an_upstream_that_ends_does_not_look_whole(self) -> None:
        """A process that ends closes its connections."""
        for route in ("stream", "resume"):
            for entry in self.entries:
                for upstream in self.upstreams:
                    upstream.fault = "unframed crash"
                self.check_streams(self.read_many(entry, route), (entry, route))
                for upstream in self.upstreams:
                    upstream.fault = ""
                self.wait_served()

    # Guards against a successor at the address of a crashed upstream that vouches for it.
    def test_stream_does_not_look_whole_if_its_upstream_is_back_after_a_pause(
        self,
    ) -> None:
        """An entry stands still while the upstreams end and come back."""
        for upstream in self.upstreams:
            upstream.unframed_share = 1.0
        for entry in self.entries:
            pause = threading.Thread(
                target=self.deployment.pause, args=(entry, PAUSE_SECONDS)
            )
            crash = threading.Timer(
                PAUSE_AFTER_SECONDS, self.crash_upstreams, args=(PAUSE_SECONDS / 2,)
            )
            with ThreadPoolExecutor(1) as pool:
                streams = pool.submit(self.read_many, entry, "stream")
                time.sleep(PAUSE_AFTER_SECONDS)
                pause.start()
                crash.start()
                pause.join()
                self.check_streams(streams.result(), (entry, "paused"))
            self.wait_served()

    def crash_upstreams(self, down_seconds: float) -> None:
        for upstream in self.upstreams:
            upstream.crash(down_seconds)

    def test_whole_stream_that_its_connection_ends_is_delivered(self) -> None:
        """Its upstream is asked for nothing but its last event again."""
        for upstream in self.upstreams:
            upstream.fault = "unframed whole"
        for route in ("stream", "resume"):
            for entry in self.entries:
                for upstream in self.upstreams:
                    upstream.arrivals.clear()
                stream = self.read(entry, route)
                self.assertEqual(stream, (200, EVENTS, True), (entry, route))
                runs = sum(len(upstream.arrivals) for upstream in self.upstreams)
                self.assertLessEqual(runs, 2 if route == "resume" else 1)

    # Guards against whole streams that broke off once the retry budget was spent.
    def test_many_whole_streams_that_their_connections_end_are_delivered(self) -> None:
        """Their upstreams have confirmed the first ones, and are still there."""
        for upstream in self.upstreams:
            upstream.fault = "unframed whole"
        for entry in self.entries:
            for _ in range(MANY_ROUNDS):
                for stream in self.read_many(entry, "resume"):
                    self.assertEqual(stream, (200, EVENTS, True), entry)

    def test_many_streams_that_their_connections_end_early_never_look_whole(
        self,
    ) -> None:
        """Their upstreams are still there, and nobody can be asked about most of them."""
        for upstream in self.upstreams:
            upstream.fault = "unframed cut"
        for entry in self.entries:
            for _ in range(MANY_ROUNDS):
                self.check_streams(self.read_many(entry, "resume"), (entry,))

    # Guards against answers that a crashed upstream cut short, given a length of our own.
    def test_answer_of_an_upstream_that_ends_does_not_look_whole(self) -> None:
        """A booking runs once, and its outcome is unknown."""
        for route in ("look", "book"):
            for entry in self.entries:
                for upstream in self.upstreams:
                    upstream.fault = "unframed crash"
                    upstream.arrivals.clear()
                answer = self.read(entry, route)
                if answer.is_whole:
                    self.assertNotEqual(answer.data, PLAIN_BODY[:5], (entry, route))
                runs = [run for upstream in self.upstreams for run in upstream.runs]
                if route == "book":
                    self.assertEqual((answer.status, len(runs)), (502, 1), entry)
                for upstream in self.upstreams:
                    upstream.fault = ""
                self.wait_served()

    # Guards against a repeated event that was believed of a crashed upstream.
    def test_upstream_that_ends_behind_a_repeated_event_is_no_end(self) -> None:
        """A deadly request crashes each upstream with its first event."""
        for entry in self.entries:
            for upstream in self.upstreams:
                upstream.fault, upstream.resumed_events = "unframed crash", 1
            self.check_streams([self.read(entry, "resume")], (entry,))
            for upstream in self.upstreams:
                upstream.fault = ""
            self.wait_served()

    # Guards against suspects that are never cleared, as their streams break off.
    def test_whole_stream_of_a_suspect_is_delivered(self) -> None:
        """It clears the suspect, though only its connection ended it."""
        for upstream in self.upstreams:
            upstream.crash_body = b"hello"
        self.read(self.entries[0], "resume", "suspect")
        for upstream in self.upstreams:
            upstream.crash_body = b""
        time.sleep(SETTLED_SECONDS)
        self.wait_served()
        for upstream in self.upstreams:
            self.assertEqual(len(upstream.crash_times), 1)
            upstream.fault = "unframed whole"
        for number in range(2):
            stream = self.read(self.entries[0], "resume", "suspect")
            self.assertEqual(stream, (200, EVENTS, True), number)

    # Guards against whole streams that a planned stop breaks off.
    def test_whole_stream_that_ends_in_a_planned_stop_is_delivered(self) -> None:
        """Also one that another entry takes part in, which doesn't stop."""
        for upstream in self.upstreams:
            upstream.fault, upstream.unframed_seconds = "unframed whole", 1.0
            upstream.arrivals.clear()
        with ThreadPoolExecutor(2) as pool:
            reading = pool.map(self.read_many, self.entries, ["resume"] * 2)
            wait_until(
                lambda: self.count_new_streams() == 2 * STREAMS,
                "not all streams have begun",
            )
            self.deployment.signal(self.entries[0], signal.SIGTERM)
            for entry, streams in zip(self.entries, reading, strict=True):
                others = [s for s in streams if s != (200, EVENTS, True)]
                self.assertEqual(others, [], entry)

    def test_whole_answer_that_its_connection_ends_is_delivered(self) -> None:
        """Its upstream still accepts connections."""
        for upstream in self.upstreams:
            upstream.fault = "unframed whole"
        for route in ("look", "book"):
            for entry in self.entries:
                answer = self.read(entry, route)
                self.assertEqual(answer, (200, PLAIN_BODY, True), (entry, route))
