"""Tests of attempts against an upstream that sends scripted bytes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast
from unittest import TestCase
from unittest.mock import patch

from poplarlug.callers import http_sink
from poplarlug.serving.answers import CallerLostError
from poplarlug.serving.attempts import AttemptOutcome, AttemptStatus, UpstreamClient
from poplarlug.serving.requests import GatewayRequest
from tests.relay.test_lost_callers import LostSink
from tests.serving.upstream import (
    CHUNKED_HEAD,
    Answer,
    MemorySink,
    ScriptedUpstream,
    WaitingSink,
    chunk,
)

TOKEN = b'data: {"choices":[{"delta":{"content":"peel"}}]}\n\n'
LAST = b"data: [DONE]\n\n"
SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npeel"
DEADLINE_SECONDS = 20.0


def request(**fields: Any) -> GatewayRequest:
    asked = GatewayRequest(
        id="r1",
        account="verde",
        rank="urgent",
        method="POST",
        path="/v1/chat/completions",
        body=b"{}",
        content_type="application/json",
        origin="quito-a-1",
        model="corn-7b",
    )
    return asked._replace(**fields)


async def with_upstream(
    answer: Answer,
    use: Callable[[ScriptedUpstream, UpstreamClient], Awaitable[Any]],
) -> Any:
    upstream = await ScriptedUpstream(answer=answer).start()
    client = UpstreamClient(zone="quito-a")
    await client.open()
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            return await use(upstream, client)
    finally:
        await client.close()
        await upstream.stop()


def attempt_once(answer: Answer, sink: MemorySink, **fields: Any) -> AttemptOutcome:
    async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> Any:
        return await client.attempt(
            request=request(**fields), address=upstream.address, sink=sink
        )

    return asyncio.run(with_upstream(answer, use))


def writes(*parts: bytes, close: bool = False) -> Answer:
    """Write the parts in order, then close the connection if ``close`` is set."""

    async def answer(upstream: ScriptedUpstream, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.002)
        if close:
            raise ConnectionError

    return answer


class BodyTests(TestCase):
    def test_stream_arrives_whole(self) -> None:
        """A stream arrives complete and in order, however it is split into writes."""
        body = b"".join(TOKEN.replace(b"peel", b"%d" % n) for n in range(50)) + LAST
        framed = CHUNKED_HEAD + b"".join(
            chunk(part) for part in body.splitlines(keepends=True)
        )
        framed += b"0\r\n\r\n"
        for size in (7, 100, len(framed)):
            for accepts_nowait in (True, False):
                parts = [framed[i : i + size] for i in range(0, len(framed), size)]
                sink = MemorySink(accepts_nowait=accepts_nowait)
                outcome = attempt_once(writes(*parts), sink)
                self.assertEqual(outcome.status, AttemptStatus.DONE)
                self.assertEqual(sink.data, body)

    def test_small_answer_arrives_whole(self) -> None:
        """An answer with a content length arrives complete."""
        sink = MemorySink()
        outcome = attempt_once(writes(SMALL), sink)
        self.assertEqual((outcome.status, sink.data), (AttemptStatus.DONE, b"peel"))

    def test_short_answer_is_broken(self) -> None:
        """An answer shorter than its content length is broken, never done."""
        sink = MemorySink()
        outcome = attempt_once(writes(SMALL[:-1], close=True), sink)
        self.assertEqual(outcome.status, AttemptStatus.BROKEN)

    def test_stream_cut_off_is_broken(self) -> None:
        """A chunked stream without its last chunk is broken."""
        for parts in (
            (CHUNKED_HEAD + chunk(TOKEN),),
            (CHUNKED_HEAD, chunk(TOKEN), chunk(TOKEN)[:-5]),
            (CHUNKED_HEAD, chunk(TOKEN), chunk(LAST)),
        ):
            outcome = attempt_once(writes(*parts, close=True), MemorySink())
            self.assertEqual(outcome.status, AttemptStatus.BROKEN)

    def test_stream_without_last_event_is_broken(self) -> None:
        """A whole HTTP body that lacks ``data: [DONE]`` is a broken stream."""
        parts = (CHUNKED_HEAD, chunk(TOKEN), b"0\r\n\r\n")
        outcome = attempt_once(writes(*parts), MemorySink())
        self.assertEqual(outcome.status, AttemptStatus.BROKEN)

    def test_services_stream_needs_no_last_event(self) -> None:
        """An event stream of a plain service ends with its HTTP body."""
        parts = (CHUNKED_HEAD, chunk(TOKEN), b"0\r\n\r\n")
        outcome = attempt_once(writes(*parts), MemorySink(), model=None)
        self.assertEqual(outcome.status, AttemptStatus.DONE)


class ConnectionTests(TestCase):
    def test_connections_are_pooled(self) -> None:
        """Consecutive repeatable requests share a connection."""
        stream = CHUNKED_HEAD + chunk(TOKEN) + chunk(LAST) + b"0\r\n\r\n"

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> None:
            for _ in range(5):
                outcome = await client.attempt(
                    request=request(), address=upstream.address, sink=MemorySink()
                )
                self.assertEqual(outcome.status, AttemptStatus.DONE)
            self.assertEqual((upstream.requests, upstream.connections), (5, 1))

        asyncio.run(with_upstream(writes(stream), use))

    def test_lost_request_is_sent_once(self) -> None:
        """The HTTP client resends no request, whatever its method."""

        async def answer(
            upstream: ScriptedUpstream, writer: asyncio.StreamWriter
        ) -> None:
            if upstream.requests > 1:
                raise ConnectionError
            writer.write(SMALL)

        for method in ("POST", "PUT", "DELETE", "GET"):
            for repeatable in (True, False):
                fields = {"method": method, "repeatable": repeatable, "model": None}

                async def use(
                    upstream: ScriptedUpstream,
                    client: UpstreamClient,
                    fields: dict[str, Any] = fields,
                ) -> None:
                    statuses = []
                    for _ in range(2):
                        outcome = await client.attempt(
                            request=request(**fields),
                            address=upstream.address,
                            sink=MemorySink(),
                        )
                        statuses.append(outcome.status)
                    done, broken = AttemptStatus.DONE, AttemptStatus.BROKEN
                    self.assertEqual(statuses, [done, broken])
                    self.assertEqual(upstream.requests, 2)

                asyncio.run(with_upstream(answer, use))

    def test_non_repeatable_request_gets_own_connection(self) -> None:
        """A non-repeatable request never reuses a connection, which may be stale."""

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> None:
            for _ in range(3):
                await client.attempt(
                    request=request(repeatable=False, model=None),
                    address=upstream.address,
                    sink=MemorySink(),
                )
            self.assertEqual(upstream.connections, 3)

        asyncio.run(with_upstream(writes(SMALL), use))

    def test_refused_connection_is_not_sent(self) -> None:
        """Nothing is sent to an upstream that refuses the connection."""

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> Any:
            await upstream.stop()
            return await client.attempt(
                request=request(), address=upstream.address, sink=MemorySink()
            )

        outcome = asyncio.run(with_upstream(writes(SMALL), use))
        self.assertEqual(outcome.status, AttemptStatus.NOT_SENT)


class BackpressureTests(TestCase):
    def test_sink_that_waits_pauses_the_upstream(self) -> None:
        """A blocked sink pauses the upstream; the rest arrives when it resumes."""
        block, blocks = b"x" * 65536, 320
        size = len(block) * blocks
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        sent = 0

        async def answer(
            upstream: ScriptedUpstream, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent
            writer.write(head)
            for _ in range(blocks):
                writer.write(block)
                await writer.drain()
                sent += len(block)

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> int:
            sink = WaitingSink()
            attempt = asyncio.ensure_future(
                client.attempt(
                    request=request(model=None), address=upstream.address, sink=sink
                )
            )
            await sink.write_started.wait()
            before, unchanged = -1, 0
            while unchanged < 5:
                unchanged = unchanged + 1 if before == sent else 0
                before = sent
                await asyncio.sleep(0.05)
            sink.resume.set()
            self.assertEqual((await attempt).status, AttemptStatus.DONE)
            self.assertEqual(sink.taken_bytes, size)
            return before

        sent_while_waiting = asyncio.run(with_upstream(answer, use))
        self.assertLess(sent_while_waiting, size // 2)


class AbandonedTests(TestCase):
    def test_upstream_is_cancelled_when_the_caller_is_gone(self) -> None:
        """The upstream's connection is closed, before the head or during the body."""
        for parts in ((), (CHUNKED_HEAD, chunk(TOKEN))):

            async def answer(
                upstream: ScriptedUpstream,
                writer: asyncio.StreamWriter,
                parts: tuple[bytes, ...] = parts,
            ) -> None:
                writer.writelines(parts)

            async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> Any:
                sink = MemorySink()
                attempt = asyncio.ensure_future(
                    client.attempt(
                        request=request(), address=upstream.address, sink=sink
                    )
                )
                await upstream.request_received.wait()
                sink.is_closed = True
                outcome = await attempt
                await upstream.closed.wait()
                return outcome

            outcome = asyncio.run(with_upstream(answer, use))
            self.assertEqual(outcome.status, AttemptStatus.BROKEN)
            self.assertEqual(outcome.message, "the caller is gone")

    # Guards against streams that are sent again for a caller who reads nothing.
    def test_lost_caller_is_no_broken_attempt(self) -> None:
        """It has left, or reads nothing; its upstream goes on."""
        stream = CHUNKED_HEAD + chunk(TOKEN)
        for is_gone in (True, False):
            with (
                patch.object(http_sink, "WRITE_TIMEOUT_SECONDS", 0.02),
                self.assertRaises(CallerLostError),
            ):
                attempt_once(writes(stream), cast(Any, LostSink(is_gone=is_gone)))

    def test_time_limit_breaks_the_attempt(self) -> None:
        """An attempt that exceeds its time limit is broken."""

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> Any:
            return await client.attempt(
                request=request(),
                address=upstream.address,
                sink=MemorySink(),
                timeout_seconds=0.05,
            )

        outcome = asyncio.run(with_upstream(writes(), use))
        self.assertEqual(outcome.status, AttemptStatus.BROKEN)
