"""Tests of streams that run for several seconds, with real processes on loopback."""

import http.client
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar

from multidict import CIMultiDict

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.soak.answers import encode_event
from poplarlug.soak.upstream import STREAM_EVENTS, Upstream
from tests.platform_adapter.case import DeploymentTestCase

STREAMS = 6
EVENTS = b"".join(encode_event(number, "x") for number in range(STREAM_EVENTS))
EVENT_SECONDS = 0.3
END_SECONDS = 4.2
"""Time until an upstream ends: in the second half, and later than callers wait for one
event, which is 3.2 s on this route."""

DEADLINE_SECONDS = 12.0
ROUTES = {
    "resume": {
        "route_kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
        "sticky": True,
        "timeout_ms": int(1000 * DEADLINE_SECONDS),
    },
}


class LongStreamTests(DeploymentTestCase):
    """Two upstreams in Quito; the entry in Guayaquil hands requests on."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [self.start_upstream(f"u-{number}") for number in range(2)]
        self.configure(**ROUTES)
        self.wait_served("resume")
        self.wait_until_entries_are_known()

    def start_upstream(self, name: str) -> Upstream:
        upstream = self.add_upstream(name)
        upstream.event_seconds = 0.002
        upstream.slots = 4 * STREAMS
        self.keep_announcing(upstream)
        return upstream

    def read(self, entry: str) -> bytes:
        """Return a stream, or its part that came before it broke off."""
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = self.headers(str(int(1000 * DEADLINE_SECONDS)))
        headers[HEADER_NAMES.token_counts] = f"5,{3 * STREAM_EVENTS}"
        try:
            path = f"/resume/{uuid.uuid4().hex}"
            connection.request("POST", path, b"hello", headers)
            return connection.getresponse().read()
        except http.client.IncompleteRead as error:
            return error.partial
        finally:
            connection.close()

    # Guards against streams that stay broken off as their caller had waited too long.
    def test_stream_that_breaks_off_late_goes_on(self) -> None:
        """An upstream ends while it is in the second half of its streams."""
        for upstream in self.upstreams:
            upstream.arrivals.clear()
            upstream.event_seconds = EVENT_SECONDS
        entries = [*self.entries] * STREAMS
        with ThreadPoolExecutor(len(entries)) as pool:
            streams = pool.map(self.read, entries)
            time.sleep(END_SECONDS)
            self.upstreams[0].crash()
            for entry, stream in zip(entries, streams, strict=True):
                self.assertEqual(stream, EVENTS, entry)
        last_events = [
            int(CIMultiDict(arrival.headers).get(LAST_EVENT_HEADER, "0"))
            for arrival in self.upstreams[1].arrivals
        ]
        resumed = [last for last in last_events if last >= STREAM_EVENTS // 2]
        self.assertGreaterEqual(len(resumed), 2)
