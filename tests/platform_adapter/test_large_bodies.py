"""Tests of many large requests at once, with real processes on loopback."""

import http.client
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import ClassVar, NamedTuple

from poplarlug.platform.names import HEADER_NAMES
from tests.platform_adapter.case import DeploymentTestCase

BODY = bytes(4 * 1024 * 1024)
CALLERS = 60
MEMORY_BYTES = 160 * 1024 * 1024
"""Memory of the smallest entry VMs."""

ROUTES = {"look": {"route_kind": "safe"}, "book": {"route_kind": "unsafe"}}


class Call(NamedTuple):
    id: str
    status: int
    retry_after: str | None


class LargeBodyTests(DeploymentTestCase):
    """One entry and a busy upstream with a place for each request."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a",)

    def setUp(self) -> None:
        super().setUp()
        (self.entry,) = self.entries
        self.upstream = self.add_upstream("u-1")
        self.upstream.slots = CALLERS
        self.keep_announcing(self.upstream)
        self.configure(**ROUTES)
        self.wait_served()
        self.upstream.answer_seconds = 1.0

    def send(self, chunked: bool) -> Call:
        host, _, port = self.deployment.entry_address(self.entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        headers = self.headers("20000")
        body = iter([BODY]) if chunked else BODY
        try:
            connection.request("POST", "/book/7", body, headers)
            response = connection.getresponse()
            response.read()
            retry_after = response.getheader("Retry-After")
            return Call(headers[HEADER_NAMES.request_id], response.status, retry_after)
        finally:
            connection.close()

    def peak_bytes(self) -> int:
        status = Path(f"/proc/{self.deployment.pid(self.entry)}/status").read_text()
        line = next(row for row in status.splitlines() if row.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    # Guards against an entry that is ended because it holds the bodies of all requests.
    def test_large_bodies_take_bounded_memory(self) -> None:
        """Those that find no room are refused, to come back, and have not run."""
        for chunked in (False, True):
            with self.subTest(chunked=chunked), ThreadPoolExecutor(CALLERS) as pool:
                calls = list(pool.map(self.send, [chunked] * CALLERS))
                self.assertLess(self.peak_bytes(), MEMORY_BYTES)
                self.assertEqual({call.status for call in calls}, {200, 429})
                for call in calls:
                    self.assertEqual(self.upstream.runs[call.id], call.status == 200)
                    self.assertEqual(call.retry_after is None, call.status == 200)
        self.assertEqual(self.send(chunked=False).status, 200)
