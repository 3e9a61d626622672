"""Tests of upstreams that spoil their streams, with real processes on loopback."""

import http.client
import time
from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar, NamedTuple

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.answers import encode_event
from poplarlug.soak.upstream import (
    CUT_AFTER_EVENTS,
    STREAM_EVENTS,
    Upstream,
)
from tests.platform_adapter.case import DeploymentTestCase

STREAMS = 8
ATTEMPTS = 10
RETRY_SECONDS = 0.5
BREAK_OFF_SECONDS = 3.0
"""Below the deadline of four seconds; a refusal may be asked again before."""
FOREIGN_BYTES_BY_NAME = {
    "head of another response": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "high bytes": bytes(range(128, 256)) + b"\n\n",
    "no id": b"data: x\n\n",
    "id is a word": b"id: abc\ndata: x\n\n",
    "empty id": b"id: \ndata: x\n\n",
    "id far ahead": b"id: 900\ndata: x\n\n",
    "id again": b"id: 1\ndata: x\n\n",
    "document": b"%PDF-1.4\n\n",
    "negative id": b"id: -7\ndata: x\n\n",
    "two ids": b"id: 6\nid: 7\ndata: x\n\n",
    "lines before the id": b"Server: x\nid: 5\ndata: x\n\n",
    "not UTF-8": b"id: 5\ndata: \xff\xfe\n\n",
    "part of an event": b"data: x\nid: ",
}
ROUTES = {
    "look": {"route_kind": "safe"},
    "stream": {"route_kind": "streaming", "max_attempts": 1},
    "resume": {
        "route_kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
        "sticky": True,
    },
}
TOKEN_COUNTS = f"5,{STREAM_EVENTS}"
"""Tokens of the prompt, and the most tokens and so events that callers allow."""

EVENTS = [encode_event(number, "x") for number in range(STREAM_EVENTS)]


class Received(NamedTuple):
    """What a caller got of a stream."""

    status: int
    data: bytes
    is_whole: bool


class SpoiledStreamTestCase(DeploymentTestCase):
    """Upstreams in Quito; the entry in Guayaquil hands requests on."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")

    def start_upstream(self, name: str) -> Upstream:
        upstream = self.add_upstream(name)
        upstream.event_seconds = 0.002
        upstream.slots = STREAMS
        self.keep_announcing(upstream)
        return upstream

    def read(self, entry: str, route: str) -> Received:
        """Read a stream until it ends or breaks off; ask again if it was not run."""
        for _ in range(ATTEMPTS):
            received = self.read_once(entry, route)
            if received.status != 503:
                break
            time.sleep(RETRY_SECONDS)
        return received

    def read_once(self, entry: str, route: str) -> Received:
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        status, data, is_whole = 0, b"", False
        try:
            headers = self.headers() | {HEADER_NAMES.token_counts: TOKEN_COUNTS}
            connection.request("POST", f"/{route}/7", b"hello", headers)
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                data += part
            is_whole = True
        except (OSError, http.client.HTTPException):
            # The entry broke the stream off.
            pass
        finally:
            connection.close()
        return Received(status, data, is_whole)


class SpoiledStreamTests(SpoiledStreamTestCase):
    """The only upstream spoils its streams."""

    def setUp(self) -> None:
        super().setUp()
        self.upstream = self.start_upstream("u-0")
        self.configure(**ROUTES)
        self.wait_served()

    def check(self, fault: str, events: list[bytes]) -> None:
        """Check that callers get ``events`` of a spoiled stream, and that it breaks off."""
        self.upstream.fault = fault
        failed = []
        for name, foreign_bytes in FOREIGN_BYTES_BY_NAME.items():
            self.upstream.foreign_bytes = foreign_bytes
            for entry in self.entries:
                for route in ("stream", "resume"):
                    received = self.read(entry, route)
                    if received != (200, b"".join(events), False):
                        failed.append((name, entry, route, received))
        self.assertEqual(failed, [])

    # Guards against issue 38: whatever ended in an empty line was passed on as an event.
    def test_bytes_among_the_events_reach_no_caller(self) -> None:
        """The framing of HTTP is sound; events before the bytes are delivered."""
        self.check("foreign", EVENTS[:CUT_AFTER_EVENTS])

    def test_bytes_after_the_last_event_reach_no_caller(self) -> None:
        """The stream has neither a length nor chunks, and doesn't look complete."""
        self.check("foreign unframed", EVENTS)

    # Guards against streams that hung until their deadline, or whose request failed with
    # an exception: aiohttp closed the connection and told the reader nothing.
    def test_broken_framing_breaks_streams_off_at_once(self) -> None:
        """The bytes stand where the size of a chunk is due."""
        self.upstream.fault = "foreign framing"
        for name in ("head of another response", "high bytes", "document"):
            self.upstream.foreign_bytes = FOREIGN_BYTES_BY_NAME[name]
            for entry in self.entries:
                for route in ("stream", "resume"):
                    began = time.monotonic()
                    received = self.read(entry, route)
                    self.assertLess(time.monotonic() - began, BREAK_OFF_SECONDS, route)
                    self.assertFalse(received.is_whole)
                    self.assertTrue(b"".join(EVENTS).startswith(received.data))
        for entry in self.entries:
            self.assertNotIn("RuntimeError", self.deployment.log(entry))


class SpoiledStreamsBesideSoundOnesTests(SpoiledStreamTestCase):
    """One of two upstreams spoils its streams."""

    def setUp(self) -> None:
        super().setUp()
        self.spoiling = self.start_upstream("u-0")
        self.start_upstream("u-1")
        self.configure(**ROUTES)
        self.wait_served()
        # Until then entries get none of the extra retries of the budget.
        self.wait_until_entries_are_known()

    def check(self, fault: str, entry: str) -> None:
        """Check that all streams that may be resumed are whole."""
        self.spoiling.foreign_bytes = FOREIGN_BYTES_BY_NAME["head of another response"]
        self.spoiling.fault = fault
        self.spoiling.arrivals.clear()
        with ThreadPoolExecutor(STREAMS) as pool:
            streams = list(pool.map(self.read, [entry] * STREAMS, ["resume"] * STREAMS))
        self.assertGreater(len(self.spoiling.arrivals), 0, "no stream was spoiled")
        whole = Received(200, b"".join(EVENTS), True)
        spoiled = [stream for stream in streams if stream != whole]
        self.assertEqual(spoiled, [], f"{fault} at {entry}")

    def test_stream_goes_on_after_bytes_among_its_events(self) -> None:
        """The other upstream is asked for what follows the last good event."""
        self.check("foreign", self.entries[0])

    def test_stream_goes_on_after_bytes_behind_its_last_event(self) -> None:
        """The other upstream has nothing to add."""
        self.check("foreign unframed", self.entries[0])

    def test_stream_goes_on_after_broken_framing(self) -> None:
        """The bytes stand where the size of a chunk is due."""
        self.check("foreign framing", self.entries[0])

    def test_stream_goes_on_after_bytes_among_its_events_in_another_region(
        self,
    ) -> None:
        """The region is not given up for one of its upstreams."""
        self.check("foreign", self.entries[1])

    def test_stream_goes_on_after_broken_framing_in_another_region(self) -> None:
        """The same where the entry there sees the connection fail."""
        self.check("foreign framing", self.entries[1])
