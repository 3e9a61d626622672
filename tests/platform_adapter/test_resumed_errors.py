"""Tests of errors in answer to resumed streams, with real processes on loopback."""

import http.client
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar

from multidict import CIMultiDict

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.soak.answers import encode_event
from poplarlug.soak.upstream import (
    ERRORS_BY_FAULT,
    STREAM_EVENTS,
    Upstream,
)
from tests.platform_adapter.case import DeploymentTestCase

STREAMS = 8
FAULTS = (*ERRORS_BY_FAULT, "empty chunked", "unframed")
ROUTE = {
    "route_kind": "streaming",
    "resumable": True,
    "max_attempts": 2,
    "sticky": True,
}
EVENTS = b"".join(encode_event(number, "x") for number in range(STREAM_EVENTS))


class ResumedErrorTests(DeploymentTestCase):
    """Two upstreams in Quito; the entry in Guayaquil hands streams on."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [self.start_upstream(f"u-{number}") for number in range(2)]
        self.configure(look={"route_kind": "safe"}, resume=ROUTE)
        self.wait_served()
        self.wait_until_entries_are_known()

    def start_upstream(self, name: str) -> Upstream:
        upstream = self.add_upstream(name)
        upstream.event_seconds = 0.002
        upstream.slots = 2 * STREAMS
        self.keep_announcing(upstream)
        return upstream

    def read(self, entry: str, headers: dict[str, str]) -> tuple[int, bytes, bool]:
        """Return the status and body of a stream, and whether it looks complete."""
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        status, data = 0, b""
        try:
            # Equal requests under which an upstream breaks off would be isolated.
            path = f"/resume/{uuid.uuid4().hex}"
            connection.request("POST", path, b"hello", self.headers() | dict(headers))
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                data += part
            return status, data, status == 200
        except (OSError, http.client.HTTPException):
            return status, data, False
        finally:
            connection.close()

    # Guards against streams that broke off, were answered with an error by the next
    # upstream, and ended as if they were complete, or held the error's text.
    def test_error_is_neither_part_nor_end_of_a_stream(self) -> None:
        """Callers get the events before the break, and no end that looks whole."""
        for fault in FAULTS:
            for upstream in self.upstreams:
                upstream.fault, upstream.resume_fault = "cut", fault
                upstream.arrivals.clear()
            for entry in self.entries:
                with ThreadPoolExecutor(STREAMS) as pool:
                    streams = pool.map(self.read, [entry] * STREAMS, [{}] * STREAMS)
                for status, data, is_whole in streams:
                    self.assertFalse(is_whole, (fault, entry, data))
                    if status == 200:
                        self.assertTrue(EVENTS.startswith(data), (fault, entry, data))
            resumed = [
                arrival
                for upstream in self.upstreams
                for arrival in upstream.arrivals
                if LAST_EVENT_HEADER in CIMultiDict(arrival.headers)
            ]
            self.assertGreater(len(resumed), 0, fault)

    def test_stream_with_nothing_left_ends_well(self) -> None:
        """An upstream repeats its last event, or the caller allows no more events."""
        last = {LAST_EVENT_HEADER: str(STREAM_EVENTS - 1)}
        counts = {HEADER_NAMES.token_counts: f"5,{STREAM_EVENTS - 1}"}
        near, far = self.entries
        for entry, headers in (
            (near, last),
            (near, last | counts),
            (far, last | counts),
        ):
            answer = self.read(entry, headers)
            self.assertEqual(answer, (200, b"", True), (entry, headers))

    def test_stream_with_nothing_left_ends_well_in_another_region(self) -> None:
        """Another entry of the region is asked for the last event again."""
        headers = {LAST_EVENT_HEADER: str(STREAM_EVENTS - 1)}
        self.assertEqual(self.read(self.entries[1], headers), (200, b"", True))
