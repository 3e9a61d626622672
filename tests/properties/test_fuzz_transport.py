"""Fuzz tests of transport frames: invalid frames are refused, others still work."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from typing import Any, NamedTuple
from unittest import TestCase

import msgspec
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success
from structlog.testing import capture_logs

from poplarlug.transport import MemoryNetwork, MemoryTransport, TransportErrorKind
from poplarlug.transport.frames import (
    FrameKind,
    Header,
    decode_header,
    encode_header,
)
from poplarlug.transport.memory import _Connection
from poplarlug.virtualtime import run_virtual

REPLY_SECONDS = 5.0
ARBITRARY_ROUTE = _Connection("wild", 0)
DEEP = b"\x91" * 200_000
TOPICS = ("echo", "count", "none", "")

texts = st.text(max_size=20)
numbers = st.integers(-(2**70), 2**70)
arbitrary_values = st.recursive(
    st.none()
    | st.booleans()
    | numbers.filter(lambda n: abs(n) < 2**63)
    | texts
    | st.binary(max_size=20)
    | st.floats(allow_nan=False),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=8,
)
payloads = st.binary(max_size=200) | arbitrary_values.map(msgspec.msgpack.encode)
headers = st.builds(
    Header,
    kind=st.sampled_from(FrameKind),
    sender=texts,
    exchange_id=st.integers(-(2**63), 2**63 - 1),
    topic=st.sampled_from(TOPICS),
    number=st.integers(-(2**63), 2**63 - 1),
).map(encode_header)
frames = st.tuples(st.binary(max_size=60) | payloads | headers, payloads)


class Echo(NamedTuple):
    text: str
    number: int = 0


class Pair(NamedTuple):
    """Server and client transports on one network."""

    server: MemoryTransport
    client: MemoryTransport


async def with_pair(use: Callable[[Pair], Awaitable[Any]]) -> Any:
    network = MemoryNetwork(rng=Random(1))
    pair = Pair(
        MemoryTransport(name="server", network=network),
        MemoryTransport(name="client", network=network),
    )

    async def echo(sender: str, message: Echo) -> Echo:
        return message

    async def count(sender: str, message: Echo) -> Any:
        for index in range(min(message.number, 200)):
            yield str(index).encode()

    pair.server.serve("echo", Echo, echo)
    pair.server.serve_stream("count", Echo, count)
    running = [asyncio.ensure_future(transport.run()) for transport in pair]
    await asyncio.sleep(0)
    try:
        with capture_logs():
            return await use(pair)
    finally:
        for task in running:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task


async def ask(pair: Pair, text: str) -> Any:
    return await pair.client.request(
        peer="server",
        topic="echo",
        message=Echo(text),
        reply_type=Echo,
        timeout_seconds=REPLY_SECONDS,
    )


async def count_chunks(pair: Pair, count: int) -> list[bytes]:
    stream = pair.client.open_stream(
        peer="server", topic="count", message=Echo("", count)
    ).unwrap()
    chunks = []
    while (chunk := (await stream.next_chunk()).unwrap()) is not None:
        chunks.append(chunk)
    return chunks


class FrameFuzzTests(TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(frames, max_size=12))
    def test_arbitrary_frames_disturb_no_request(self, arbitrary: list[Any]) -> None:
        """Arbitrary frames don't disturb a concurrent request or stream."""

        async def use(pair: Pair) -> None:
            asked = asyncio.ensure_future(ask(pair, "hello"))
            counted = asyncio.ensure_future(count_chunks(pair, 30))
            await asyncio.sleep(0)
            for header, payload in arbitrary:
                pair.server._receive_request(ARBITRARY_ROUTE, header, payload)
            self.assertEqual(await asked, Success(Echo("hello")))
            chunks = [str(index).encode() for index in range(30)]
            self.assertEqual(await counted, chunks)

        run_virtual(with_pair(use))

    @settings(max_examples=150, deadline=None)
    @given(st.lists(frames, max_size=12))
    def test_arbitrary_replies_raise_nothing(self, arbitrary: list[Any]) -> None:
        """Unsolicited replies are dropped; a later request gets its own reply."""

        async def use(pair: Pair) -> None:
            for header, payload in arbitrary:
                pair.client._receive_reply(header, payload)
            self.assertEqual(await ask(pair, "late"), Success(Echo("late")))

        run_virtual(with_pair(use))

    @settings(max_examples=100, deadline=None)
    @given(arbitrary_values)
    def test_a_payload_of_another_type_is_refused(self, value: Any) -> None:
        """A message of the wrong type is refused with the name of the expected type."""

        async def use(pair: Pair) -> None:
            reply = await pair.client.request(
                peer="server",
                topic="echo",
                message={"wrong": value},
                reply_type=Echo,
                timeout_seconds=REPLY_SECONDS,
            )
            assert isinstance(reply, Failure)
            self.assertIs(reply.failure().kind, TransportErrorKind.REFUSED)
            self.assertIn("Echo", reply.failure().message)

        run_virtual(with_pair(use))

    def test_an_unknown_topic_is_refused(self) -> None:
        """Requests and streams of an unknown topic are refused; the error names it."""

        async def use(pair: Pair) -> None:
            reply = await pair.client.request(
                peer="server",
                topic="none",
                message=Echo(""),
                reply_type=Echo,
                timeout_seconds=REPLY_SECONDS,
            )
            self.assertIn("'none'", reply.failure().message)
            stream = pair.client.open_stream(
                peer="server", topic="none", message=Echo("")
            ).unwrap()
            ended = await stream.next_chunk()
            self.assertIs(ended.failure().kind, TransportErrorKind.REFUSED)

        run_virtual(with_pair(use))

    def test_deep_nesting_is_refused(self) -> None:
        """A very deeply nested payload or header is refused like any invalid one."""

        async def use(pair: Pair) -> None:
            header = encode_header(Header(FrameKind.REQUEST, "client", 9, "echo"))
            pair.server._receive_request(ARBITRARY_ROUTE, header, DEEP)
            pair.server._receive_request(ARBITRARY_ROUTE, DEEP, b"")
            pair.client._receive_reply(DEEP, b"")
            self.assertEqual(await ask(pair, "after"), Success(Echo("after")))

        run_virtual(with_pair(use))

    def test_a_reply_frame_runs_no_handler(self) -> None:
        """Frames meant for the requesting side run no handler on the serving side."""
        ran: list[str] = []

        async def note(sender: str, message: Echo) -> Echo:
            ran.append(sender)
            return message

        async def use(pair: Pair) -> None:
            pair.server.serve("echo", Echo, note)
            payload = msgspec.msgpack.encode(Echo("x"))
            back = (
                FrameKind.REPLY,
                FrameKind.REFUSED,
                FrameKind.CHUNK,
                FrameKind.END,
                FrameKind.OPEN,
            )
            for kind in back:
                header = encode_header(Header(kind, "client", 9, "echo"))
                pair.server._receive_request(ARBITRARY_ROUTE, header, payload)
            await asyncio.sleep(1.0)

        run_virtual(with_pair(use))
        self.assertEqual(ran, [])

    @settings(max_examples=300, deadline=None)
    @given(headers)
    def test_headers_survive_their_encoding(self, data: bytes) -> None:
        """Headers survive a round trip through their encoding."""
        header = decode_header(data)
        assert header is not None
        self.assertEqual(encode_header(header), data)
