"""Tests of how spoiled streams end at odd callers, with real processes on loopback."""

import http.client
import socket

from poplarlug.soak.upstream import STREAM_EVENTS
from tests.platform_adapter.test_foreign_bytes import (
    ROUTES,
    SpoiledStreamTestCase,
)


class SpoiledEndTests(SpoiledStreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.upstream = self.start_upstream("u-0")
        self.configure(**ROUTES)
        self.wait_served()

    def read_without_chunks(self, entry: str, route: str) -> tuple[bytes, bool]:
        """Return what a caller of HTTP/1.0 gets, and whether the end looks whole."""
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        lines = [f"{name}: {value}" for name, value in self.headers().items()]
        head = [f"POST /{route}/7 HTTP/1.0", "Content-Length: 5", *lines, "", "hello"]
        data = b""
        with socket.create_connection((host, int(port)), 10) as caller:
            caller.sendall("\r\n".join(head).encode())
            try:
                while part := caller.recv(4096):
                    data += part
            except ConnectionResetError:
                return data, False
        return data, True

    def test_spoiled_stream_without_chunks_does_not_look_whole(self) -> None:
        """Callers of HTTP/1.0 take a graceful end for the end of the stream."""
        for fault, foreign in (("foreign", b"id: \n\n"), ("cut", b"")):
            self.upstream.fault, self.upstream.foreign_bytes = fault, foreign
            for entry in self.entries:
                for route in ("stream", "resume"):
                    with self.subTest(fault=fault, entry=entry, route=route):
                        data, is_whole = self.read_without_chunks(entry, route)
                        self.assertTrue(data.startswith(b"HTTP/1.0 200"), data)
                        self.assertNotIn(b"chunked", data)
                        self.assertFalse(is_whole, data)

    def test_foreign_event_of_a_stream_that_has_nothing_left(self) -> None:
        """The caller asks for what follows the last event."""
        self.upstream.fault = "foreign unframed"
        self.upstream.foreign_bytes = b"id: 900\ndata: x\n\n"
        for entry in self.entries:
            host, _, port = self.deployment.entry_address(entry).rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=10)
            headers = {**self.headers(), "Last-Event-Id": str(STREAM_EVENTS - 1)}
            connection.request("POST", "/resume/7", b"hello", headers)
            data, status = b"", 0
            try:
                response = connection.getresponse()
                status = response.status
                data = response.read()
            except http.client.IncompleteRead as error:
                data = error.partial
            finally:
                connection.close()
            with self.subTest(entry):
                self.assertNotIn(b"900", data)
                self.assertIn(status, (200, 502))
