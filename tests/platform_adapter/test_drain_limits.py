"""Tests of what a planned stop waits for, and until when, with real processes."""

import http.client
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, ClassVar

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.deployment import wait_until
from tests.platform_adapter.case import DeploymentTestCase

GRACE_SECONDS = 4.0
"""Grace period of the entries of a deployment; what still runs then is killed."""

ANSWER_SECONDS = 8.0
PORTS = (8144, 8140, 8143)
"""Where an entry takes requests, questions after its readiness, and name look-ups."""

ANSWER_BYTES = 60_000
"""More than the kernel takes for a caller with such a window and segments."""

RECEIVED_BYTES = 2048
SEGMENT_BYTES = 536
STARTS = 4
POLL_SECONDS = 0.001
PAUSE_SECONDS = 3.0
"""Longer than an idle entry listens in a stop, and shorter than its drain."""


class DrainLimitTests(DeploymentTestCase):
    """An entry and an upstream in Quito."""

    entry_zones: ClassVar[tuple[str, ...]] = ("quito-a",)
    route: ClassVar[dict[str, Any]] = {"route_kind": "safe", "timeout_ms": 9000}

    def setUp(self) -> None:
        super().setUp()
        self.upstream = self.add_upstream("u-1")
        self.keep_announcing(self.upstream)
        self.configure(look=self.route)
        self.wait_served()
        self.entry = self.entries[0]
        address, _, port = self.deployment.entry_address(self.entry).rpartition(":")
        self.ip, self.port = address, int(port)

    def time_of_answer(self) -> tuple[int, float]:
        """Return the status of a request and the time at which it came."""
        caller = http.client.HTTPConnection(self.ip, self.port, timeout=15)
        try:
            caller.request("POST", "/look/1", b"hello", self.headers("9000"))
            return caller.getresponse().status, time.monotonic()
        except (OSError, http.client.HTTPException):
            return 0, time.monotonic()
        finally:
            caller.close()

    # Guards against callers who are told nothing, as the entry is killed before.
    def test_request_is_told_its_end_within_the_grace_period(self) -> None:
        """Also beside connections on which no request ever comes."""
        self.upstream.arrivals.clear()
        self.upstream.answer_seconds = ANSWER_SECONDS
        with ThreadPoolExecutor(1) as pool:
            answer = pool.submit(self.time_of_answer)
            wait_until(lambda: bool(self.upstream.arrivals), "no request came")
            for port in PORTS:
                silent = socket.create_connection((self.ip, port))
                self.addCleanup(silent.close)
            began = time.monotonic()
            self.deployment.signal(self.entry, signal.SIGTERM)
            self.assertEqual(self.deployment.wait_for_exit(self.entry), 0)
            exited = time.monotonic()
            status, at = answer.result()
        self.assertEqual(status, 502)
        self.assertLess(at - began, GRACE_SECONDS)
        self.assertLess(exited - began, GRACE_SECONDS)

    # Guards against answers that an idle entry cut off, as it held their last bytes.
    def test_caller_that_reads_slowly_gets_the_whole_answer(self) -> None:
        """Its request has ended, and bytes of its answer wait for their turn."""
        body, headers = b"x" * ANSWER_BYTES, self.headers("9000")
        caller = http.client.HTTPConnection(self.ip, self.port, timeout=15)
        self.addCleanup(caller.close)
        caller.sock = socket.socket()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED_BYTES)
        caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        caller.sock.connect((self.ip, self.port))
        caller.request("POST", "/look/1", body, headers)
        request_id = headers[HEADER_NAMES.request_id]
        wait_until(
            lambda: request_id in self.deployment.log(self.entry),
            "its request has not ended",
        )
        self.deployment.signal(self.entry, signal.SIGTERM)
        time.sleep(PAUSE_SECONDS)
        answer = caller.getresponse().read()
        self.assertEqual(answer, b"answer to " + body)
        self.assertEqual(self.deployment.wait_for_exit(self.entry), 0)

    # Guards against requests that are cut off as the entry doesn't handle SIGTERM yet.
    def test_stop_right_after_a_start_answers_requests(self) -> None:
        """It listens, so it stops in order."""
        self.deployment.kill(self.entry)
        for _ in range(STARTS):
            with ThreadPoolExecutor(1) as pool:
                self.deployment.start_entry(self.entry)
                while not self.is_listening():
                    time.sleep(POLL_SECONDS)
                answer = pool.submit(self.time_of_answer)
                self.deployment.signal(self.entry, signal.SIGTERM)
                self.assertEqual(self.deployment.wait_for_exit(self.entry), 0)
                self.assertIn(answer.result()[0], (200, 503))

    def is_listening(self) -> bool:
        with socket.socket() as caller:
            return caller.connect_ex((self.ip, self.port)) == 0
