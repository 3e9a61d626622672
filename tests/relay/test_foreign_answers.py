"""Tests of bytes of no run that the checks of streams must keep from callers."""

import asyncio
import socket
from typing import Any
from unittest import TestCase

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from poplarlug.callers.http_sink import HttpSink
from poplarlug.relay.client import RelayClient
from poplarlug.relay.context import Outcome, RequestContext
from poplarlug.relay.event_format import EventFormat
from poplarlug.relay.events import EventProgress
from poplarlug.relay.held_bytes import HeldBytesBudget
from poplarlug.relay.passing import relay_response
from poplarlug.relay.trace import RelayTrace
from poplarlug.serving.answers import AnswerHead
from poplarlug.virtualtime import run_virtual
from tests.relay import test_client
from tests.relay.test_client import HEAD
from tests.relay.test_passing import CollectingSink, PausingContent, make_response
from tests.relay.test_view import make_request
from tests.routes.test_checks import make_route

GOOD = b"id: 1\ndata: a\n\n"
FAR_AHEAD = b"id: 900\ndata: x\n\n"


class OddIdTests(TestCase):
    def check(self, *, data: bytes, passed: bytes, last_id: str = "") -> None:
        progress = EventProgress(
            event_format=EventFormat(first_field="X-Version"), last_id=last_id
        )
        self.assertEqual(progress.feed(data) + progress.finish(), passed)

    def test_id_far_ahead_after_a_single_event(self) -> None:
        self.check(data=GOOD + FAR_AHEAD, passed=GOOD)

    def test_id_far_ahead_where_a_resumed_stream_has_nothing_left(self) -> None:
        self.check(data=FAR_AHEAD, passed=b"", last_id="20")

    def test_two_ids_far_ahead_after_steps(self) -> None:
        steps = b"".join(b"id: %d\ndata: a\n\n" % number for number in range(9))
        self.check(data=steps + FAR_AHEAD + b"id: 901\n\n", passed=steps)


class HeadSink(CollectingSink):
    head: AnswerHead | None = None

    async def start(self, head: AnswerHead) -> None:
        self.head = head
        await super().start(head)


class BytesContent(PausingContent):
    def __init__(self, *parts: bytes) -> None:
        super().__init__(0.0)
        self._left = list(parts)

    async def readany(self) -> bytes:
        return self._left.pop(0) if self._left else b""


class OddHeadTests(TestCase):
    def play(
        self, content: PausingContent, content_type: str, length: int | None = None
    ) -> tuple[Outcome, HeadSink]:
        async def main() -> tuple[Outcome, HeadSink]:
            route = make_route(kind="streaming", resumable=True, timeout_seconds=9.0)
            request = make_request(route=route, deadline=9.0)
            sink = HeadSink()
            context = RequestContext(
                request=request,
                sink=sink,
                trace=RelayTrace(request_id=request.id, started=0.0),
            )
            response: Any = make_response(content)
            response.headers = CIMultiDict({"Content-Type": content_type})
            response.content_length = length
            return await relay_response(context, response, HeldBytesBudget()), sink

        return run_virtual(main())

    def test_stream_is_checked_whatever_its_content_type(self) -> None:
        """A route that streams promises events."""
        for content_type in ("Text/Event-Stream", "", "application/pdf"):
            with self.subTest(content_type):
                content = BytesContent(GOOD, b"id: \ndata: x\n\n", b"%PDF-1.4")
                outcome, sink = self.play(content, content_type)
                self.assertIn(sink.data, (b"", GOOD))
                self.assertFalse(sink.is_finished)
                self.assertIsNotNone(outcome.error)

    def test_announced_length_is_that_of_the_events_passed_on(self) -> None:
        """Comments are dropped, and a resumed stream may have another length."""
        data = b": open\n\n" + GOOD
        _, sink = self.play(BytesContent(data), "text/event-stream", len(data))
        assert sink.head is not None
        self.assertEqual(sink.data, GOOD)
        self.assertIn(sink.head.content_length, (None, len(GOOD)))


class BrokenFramingTests(TestCase):
    def test_broken_framing_in_the_data_that_brings_the_head(self) -> None:
        """More than one slice arrives at once."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            chunk = b"x" * 9000
            body = b"%x\r\n%b\r\n%%PDF\r\n" % (len(chunk), chunk)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)
            await asyncio.sleep(3.0)

        async def main() -> object:
            exchange = test_client.RelayClientTests().exchange
            return await asyncio.wait_for(asyncio.to_thread(exchange, talk), 2.5)

        self.assertEqual(asyncio.run(main()), [aiohttp.ClientPayloadError])

    # Guards against streams that nobody resumed after an error of no connection.
    def test_broken_framing_with_the_head_fails_a_body_that_is_read_in_parts(
        self,
    ) -> None:
        """The connection has ended before they are read."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            chunk = b"x" * 9000
            body = b"%x\r\n%b\r\n%%PDF\r\n" % (len(chunk), chunk)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)
            await reader.read()
            writer.close()

        async def main() -> None:
            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = RelayClient()
            await client.open()
            sent = await client.send(
                target=f"{host}:{port}",
                method="GET",
                path="/x",
                headers=(),
                body=b"",
                timeout_seconds=2.5,
            )
            content = sent.unwrap().content
            try:
                while not content.at_eof():
                    await asyncio.sleep(0.05)
                    await content.readany()
            finally:
                await client.close()
                server.close()

        with self.assertRaises(aiohttp.ClientPayloadError):
            asyncio.run(main())


class OldCallerTests(TestCase):
    def test_stream_broken_off_does_not_look_whole_without_chunks(self) -> None:
        """To a caller of HTTP/1.0 a graceful end of the connection is the end."""

        async def main() -> bytes:
            async def serve(request: web.Request) -> web.StreamResponse:
                sink = HttpSink(request=request, request_id="r")
                headers = (("Content-Type", "text/event-stream"),)
                await sink.start(AnswerHead(200, "", headers=headers))
                await sink.write(GOOD)
                await asyncio.sleep(0.1)
                sink.break_off()
                assert sink.response is not None
                return sink.response

            app = web.Application()
            app.router.add_get("/x", serve)
            runner = web.AppRunner(app)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            port = runner.addresses[0][1]

            def read() -> bytes:
                with socket.create_connection(("127.0.0.1", port), 3) as caller:
                    caller.sendall(b"GET /x HTTP/1.0\r\n\r\n")
                    data = b""
                    while part := caller.recv(4096):
                        data += part
                    return data

            try:
                return await asyncio.to_thread(read)
            finally:
                await runner.cleanup()

        with self.assertRaises(ConnectionResetError):
            asyncio.run(main())
