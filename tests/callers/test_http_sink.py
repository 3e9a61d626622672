"""Tests of writing answers to a caller's connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest import TestCase
from unittest.mock import patch

from aiohttp import web

from poplarlug.callers import http_sink
from poplarlug.callers.http_sink import HttpSink
from poplarlug.serving.answers import AnswerHead, CallerLostError
from poplarlug.serving.trace import RequestTrace

BLOCK = b"x" * 256 * 1024
DEADLINE_SECONDS = 20.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def serving(parts: list[bytes], length: int | None) -> AsyncIterator[list[str]]:
    """Serve ``parts`` through a sink; yields the port and how each answer ended."""
    events: list[str] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        sink = HttpSink(request=request, request_id="r1")
        await sink.start(AnswerHead(200, "text/plain", length))
        try:
            for part in parts:
                if not sink.write_nowait(part):
                    await sink.write(part)
            await sink.finish()
            events.append("finished")
        except CallerLostError as error:
            events.append(str(error))
            assert request.transport is None or not request.transport.abort()
        assert sink.response is not None
        return sink.response

    server = await asyncio.get_running_loop().create_server(
        web.Server(handle), "127.0.0.1", 0
    )
    events.append(str(server.sockets[0].getsockname()[1]))
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            yield events
    finally:
        server.close()


async def fetch_body(parts: list[bytes], length: int | None, version: str) -> bytes:
    async with serving(parts, length) as events:
        reader, writer = await asyncio.open_connection("127.0.0.1", int(events[0]))
        writer.write(
            f"GET / HTTP/{version}\r\nHost: a\r\nConnection: close\r\n\r\n".encode()
        )
        answer = await reader.read()
        writer.close()
        return answer.partition(b"\r\n\r\n")[2]


class FramingTests(TestCase):
    def test_unknown_length_is_chunked(self) -> None:
        """Each part of an answer of unknown length is sent as an HTTP/1.1 chunk."""
        body = asyncio.run(fetch_body([b"peel", b"core"], None, "1.1"))
        self.assertEqual(body, b"4\r\npeel\r\n4\r\ncore\r\n0\r\n\r\n")

    def test_known_length_is_plain(self) -> None:
        """An answer of known length has no chunked encoding."""
        body = asyncio.run(fetch_body([b"peel", b"core"], 8, "1.1"))
        self.assertEqual(body, b"peelcore")

    def test_small_answer_leaves_whole_or_not_at_all(self) -> None:
        """Nothing of a small answer of known length is sent before its end."""

        async def main() -> tuple[bool, bytes]:
            sent_early = False

            async def handle(request: web.BaseRequest) -> web.StreamResponse:
                nonlocal sent_early
                sink = HttpSink(request=request, request_id="r1")
                await sink.start(AnswerHead(200, "text/plain", 4))
                sink.write_nowait(b"pe")
                sent_early = sink.response is not None
                sink.write_nowait(b"el")
                await sink.finish()
                await sink.finish()
                assert sink.response is not None
                return sink.response

            server = await asyncio.get_running_loop().create_server(
                web.Server(handle), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            server.close()
            return sent_early, answer.partition(b"\r\n\r\n")[2]

        self.assertEqual(asyncio.run(main()), (False, b"peel"))

    def test_old_caller_gets_no_chunks(self) -> None:
        """An HTTP/1.0 caller gets the plain bytes until the connection's end."""
        body = asyncio.run(fetch_body([b"peel", b"core"], None, "1.0"))
        self.assertEqual(body, b"peelcore")


class SlowReaderTests(TestCase):
    def test_slow_reader_is_bounded(self) -> None:
        """An answer to a caller that reads nothing times out; little is buffered."""

        async def main() -> list[str]:
            async with serving([BLOCK] * 200, None) as events:
                _, writer = await asyncio.open_connection("127.0.0.1", int(events[0]))
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while len(events) == 1:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                writer.close()
                return events[1:]

        with patch.object(http_sink, "WRITE_TIMEOUT_SECONDS", 0.1):
            self.assertEqual(asyncio.run(main()), ["the caller read nothing for 0.1 s"])

    def test_reader_that_pauses_gets_the_whole(self) -> None:
        """A caller that starts to read late still gets every byte."""

        async def main() -> int:
            async with serving([BLOCK] * 40, 40 * len(BLOCK)) as events:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", int(events[0])
                )
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                await asyncio.sleep(0.05)
                answer = await reader.read()
                writer.close()
                return len(answer.partition(b"\r\n\r\n")[2])

        self.assertEqual(asyncio.run(main()), 40 * len(BLOCK))


class GoneCallerTests(TestCase):
    def test_answer_to_a_gone_caller_ends_quietly(self) -> None:
        """Completing the answer to a disconnected caller raises no error."""
        for length in (4, None):
            failures: list[BaseException] = []
            ended = asyncio.Event()

            async def handle(
                request: web.BaseRequest,
                length: int | None = length,
                failures: list[BaseException] = failures,
                ended: asyncio.Event = ended,
            ) -> web.StreamResponse:
                trace = RequestTrace(request_id="r1", started_at=0.0)
                sink = HttpSink(request=request, request_id="r1", trace=trace)
                await sink.start(AnswerHead(200, "text/plain", length))
                sink.write_nowait(b"peel")
                assert request.transport is not None
                request.transport.close()
                try:
                    await sink.finish()
                    assert trace.abandoned and sink.response is not None
                except BaseException as error:
                    failures.append(error)
                ended.set()
                return sink.response or web.Response()

            async def main(
                handle: Handler = handle, ended: asyncio.Event = ended
            ) -> None:
                server = await asyncio.get_running_loop().create_server(
                    web.Server(handle), "127.0.0.1", 0
                )
                port = server.sockets[0].getsockname()[1]
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(DEADLINE_SECONDS):
                    await ended.wait()
                writer.close()
                server.close()

            asyncio.run(main())
            self.assertEqual(failures, [])


class GivenUpTests(TestCase):
    # Guards against a second answer behind the one that told a caller of a stop.
    def test_sink_that_is_given_up_writes_nothing(self) -> None:
        """Its request may go on in the background, with each kind of answer."""
        for length in (5, None):
            with self.subTest(length=length):
                self.assertEqual(asyncio.run(self.fetch_given_up(length)), b"told")

    async def fetch_given_up(self, length: int | None) -> bytes:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            sink = HttpSink(request=request, request_id="r1")
            sink.give_up()
            try:
                await sink.start(AnswerHead(200, "text/plain", length))
                await sink.write(b"whole")
                await sink.finish()
            except CallerLostError:
                self.assertIsNone(length)
            return web.Response(status=502, body=b"told")

        server = await asyncio.get_running_loop().create_server(
            web.Server(handle), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        server.close()
        self.assertTrue(head.startswith(b"HTTP/1.1 502"), head)
        return body
