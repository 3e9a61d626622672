"""Tests of bookings whose upstream ends within its answer, with real processes."""

import json
import socket
import threading
import urllib.request

from examples.deployment import wait_until
from tests.processes.case import ProcessTestCase

HALF = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbook"
RENEW_SECONDS = 0.5


class CrashingService(threading.Thread):
    """Run bookings; at the first, stop listening and end within the answer."""

    def __init__(self, *, address: str, entry: str) -> None:
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        self._address = address
        self._entry = entry
        self._ended = threading.Event()
        self._announcing = threading.Thread(target=self._announce, daemon=True)
        self._announcing.start()

    def run(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            data = b""
            while b"\r\n\r\n" not in data or not data.endswith(b"}"):
                data += connection.recv(65536)
            connection.sendall(HALF)
            self._listener.close()

    def stop(self) -> None:
        self._ended.set()
        self._announcing.join()

    def _announce(self) -> None:
        sequence = 0
        while not self._ended.is_set():
            sequence += 1
            body = {
                "id": "s1",
                "kind": "service",
                "address": self._address,
                "incarnation": 1,
                "sequence": sequence,
                "services": ["depot"],
            }
            request = urllib.request.Request(
                f"http://{self._entry}/v1/upstreams", json.dumps(body).encode()
            )
            try:
                urllib.request.urlopen(request, timeout=2.0).close()
            except OSError:
                # The entry isn't ready yet; the next announcement comes soon.
                pass
            self._ended.wait(RENEW_SECONDS)


class EndedBookingTests(ProcessTestCase):
    # Guards against keys of bookings that are answered with half an answer for ever.
    def test_half_an_answer_is_not_kept_for_the_key(self) -> None:
        """Neither the first caller gets it, nor one that repeats the key elsewhere."""
        service = CrashingService(
            address=self.deployment.address(), entry=self.entry("quito-a-1")
        )
        self.addCleanup(service.stop)
        service.start()

        def is_known() -> bool:
            # A refused booking has not run, so the next one is the first to run.
            self.first = self.book("quito-a-1", "pickup-1")
            return self.first.status != 503

        wait_until(is_known, "the service is unknown")
        repeated = self.book("cuenca-a-1", "pickup-1")
        for answer in (self.first, repeated):
            self.assertEqual(answer.status, 502, answer)
            self.assertIsNone(answer.json()["error"]["ran"])
