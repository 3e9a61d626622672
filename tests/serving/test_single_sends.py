"""Tests of requests that must be sent at most once."""

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase

from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.attempts import AttemptStatus, UpstreamClient
from poplarlug.serving.requests import GatewayRequest
from poplarlug.sockets import set_reset_at_close

UPLOAD = b"u" * 3_900_000
BUFFER_BYTES = 64 * 1024
PART = b"HTTP/1.1 200 OK\r\n\r\npart"

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class NullSink(AnswerSink):
    async def start(self, head: AnswerHead) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        pass


class UpstreamClientTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers = [OK]
        self.requests = 0
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.client = UpstreamClient(zone="quito-a")
        await self.client.open()
        self.addAsyncCleanup(self.client.close)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                if not self.answers:
                    return
                writer.write(self.answers.pop(0))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    async def attempt(self, *, repeatable: bool, body: bytes = b"") -> AttemptStatus:
        request = GatewayRequest(
            "id", "verde", "urgent", "PUT", "/bookings", body, "text/plain", "e"
        )._replace(repeatable=repeatable)
        outcome = await self.client.attempt(
            request=request, address=self.address, sink=NullSink()
        )
        return outcome.status

    async def test_non_repeatable_request_leaves_once(self) -> None:
        """A non-repeatable request isn't resent when its connection is closed."""
        self.assertIs(await self.attempt(repeatable=False), AttemptStatus.DONE)
        self.assertIs(await self.attempt(repeatable=False), AttemptStatus.BROKEN)
        self.assertEqual(self.requests, 2)

    # Guards against a part of an answer that is taken for the whole, as its connection
    # ended while the request was still being written.
    async def test_part_of_an_answer_beside_an_upload_is_not_the_whole(self) -> None:
        """Whether it is reset or not."""

        async def accept_early(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(PART)
            if is_reset:
                set_reset_at_close(writer.transport, True)
            else:
                writer.write_eof()
            await asyncio.sleep(0.05)
            writer.close()
            closed.release()

        closed = asyncio.Semaphore(0)
        server = await asyncio.start_server(accept_early, "127.0.0.1", 0)
        self.addCleanup(server.close)
        listener = server.sockets[0]
        # Else the upload would fit into the buffers, and be written at once.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        for is_reset in (True, False):
            status = await self.attempt(repeatable=False, body=UPLOAD)
            self.assertIs(status, AttemptStatus.BROKEN, is_reset)
            await closed.acquire()

    # Guards against statuses that callers can't read.
    async def test_answer_without_a_status_is_broken(self) -> None:
        """Nothing of it is passed on; the request may have run."""
        for status in (b"101", b"600", b"999"):
            self.answers = [OK.replace(b"200", status)]
            self.assertIs(await self.attempt(repeatable=True), AttemptStatus.BROKEN)

    async def test_refused_connection_is_not_sent(self) -> None:
        """A request whose connection is refused counts as not sent."""
        self.address = "127.0.0.1:1"
        self.assertIs(await self.attempt(repeatable=False), AttemptStatus.NOT_SENT)
