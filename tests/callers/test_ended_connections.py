"""Tests of answers to callers of HTTP/1.0, which their connection's end completes."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from unittest import TestCase

from aiohttp import web

from poplarlug.callers.http_sink import HttpSink
from poplarlug.serving.answers import AnswerHead

PART = b"data: 1\n\n"
BLOCK = b"x" * 60_000
TIMEOUT_SECONDS = 10.0
SERVE = "from tests.callers.test_ended_connections import serve; serve()"


async def answer(request: web.Request) -> web.StreamResponse:
    """Write a part of an answer, then end it as the path says."""
    sink = HttpSink(request=request, request_id="r")
    await sink.start(AnswerHead(200, "text/event-stream"))
    await sink.write(PART)
    await asyncio.sleep(0.05)
    match request.path:
        case "/killed":
            os.kill(os.getpid(), signal.SIGKILL)
        case "/stopped":
            raise web.GracefulExit
        case "/failed":
            raise KeyError
        case "/large":
            for _ in range(20):
                await sink.write(BLOCK)
    await sink.finish()
    assert sink.response is not None
    return sink.response


def serve() -> None:
    """Serve :func:`answer` on a free port, which is printed."""
    app = web.Application()
    app.router.add_route("*", "/{path}", answer)
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    web.run_app(app, sock=listener, shutdown_timeout=0.1, print=lambda _: None)


class OldCallerTests(TestCase):
    def read(self, path: str, version: str = "1.0") -> bytes:
        """Return the body that a server of its own writes, up to a graceful end."""
        command = [sys.executable, "-c", SERVE]
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        ) as server:
            self.addCleanup(server.wait)
            self.addCleanup(server.kill)
            assert server.stdout is not None
            address = ("127.0.0.1", int(server.stdout.readline()))
            with socket.create_connection(address, TIMEOUT_SECONDS) as caller:
                caller.sendall(f"GET {path} HTTP/{version}\r\nHost: x\r\n\r\n".encode())
                data = b""
                try:
                    while part := caller.recv(65536):
                        data += part
                finally:
                    server.kill()
        return data.partition(b"\r\n\r\n")[2]

    # Guards against streams that end as complete when their entry ends or fails.
    def test_answer_does_not_look_whole_when_the_entry_ends(self) -> None:
        """Nothing but the end of the connection shows the end of the answer."""
        for path in ("/killed", "/stopped", "/failed"):
            with self.subTest(path), self.assertRaises(ConnectionResetError):
                self.read(path)

    def test_whole_answer_ends_gracefully(self) -> None:
        """A part of it may still be on its way when its last byte is written."""
        self.assertEqual(self.read("/whole"), PART)
        self.assertEqual(self.read("/large"), PART + 20 * BLOCK)
