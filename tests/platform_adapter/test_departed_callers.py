"""Tests of callers that leave while their request waits, with real processes."""

import http.client
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import product
from typing import ClassVar

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.deployment import wait_until
from poplarlug.soak.upstream import SLOTS, Upstream
from tests.platform_adapter.case import DeploymentTestCase

ROUTES = {
    "look": {"route_kind": "safe", "max_attempts": 1},
    "book": {"route_kind": "unsafe", "max_attempts": 1},
}
PLACES = 2
"""Requests that an entry sends to an upstream of one slot at once."""

BUSY_SECONDS = 1.5
LEAVE_SECONDS = 0.3
LATE_SECONDS = 0.5
"""The users' rule: requests may reach an upstream this long after their caller left."""


class DepartedCallerTestCase(DeploymentTestCase):
    """A busy upstream in Quito; the entry in Guayaquil hands on."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a", "guayaquil-a")
    slots: ClassVar[int]

    upstream: Upstream

    def setUp(self) -> None:
        super().setUp()
        self.upstream = self.add_upstream("u-0")
        self.upstream.slots = self.slots
        self.keep_announcing(self.upstream)
        self.configure(**ROUTES)
        self.wait_served()
        self.upstream.answer_seconds = BUSY_SECONDS

    @contextmanager
    def request(self, entry: str, route: str) -> Iterator[str]:
        """Send a request without reading its answer; leave at the end."""
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = self.headers()
        connection.request("POST", f"/{route}/7", b"hello", headers)
        try:
            yield headers[HEADER_NAMES.request_id]
        finally:
            connection.close()

    def wait_until_run(self, request_id: str) -> None:
        wait_until(lambda: self.upstream.runs[request_id] == 1, "it does not run")


class WaitingCallerTests(DepartedCallerTestCase):
    slots: ClassVar[int] = 1

    # Guards against bookings that an upstream got long after their callers had left.
    def test_waiting_request_of_a_departed_caller_is_not_sent(self) -> None:
        """Its place in the queue goes to others, also where another entry holds it."""
        for entry, route in product(self.entries, ROUTES):
            with self.subTest(entry=entry, route=route), ExitStack() as others:
                for _ in range(PLACES):
                    request = self.request(self.entries[0], "look")
                    self.wait_until_run(others.enter_context(request))
                with self.request(entry, route) as departed:
                    time.sleep(LEAVE_SECONDS)
                time.sleep(BUSY_SECONDS + LATE_SECONDS)
                self.assertEqual(self.upstream.runs[departed], 0)


class RunningCallerTests(DepartedCallerTestCase):
    slots: ClassVar[int] = SLOTS

    def test_running_booking_of_a_departed_caller_ends(self) -> None:
        """It may not run again, so it isn't broken off."""
        for entry in self.entries:
            with self.subTest(entry=entry):
                abandoned = self.upstream.abandoned
                with self.request(entry, "book") as departed:
                    self.wait_until_run(departed)
                time.sleep(BUSY_SECONDS + LATE_SECONDS)
                self.assertEqual(self.upstream.runs[departed], 1)
                self.assertEqual(self.upstream.abandoned, abandoned)
