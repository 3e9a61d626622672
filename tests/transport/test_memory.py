"""Tests of requests and streams over the memory network."""

import asyncio
import gc
from collections.abc import AsyncIterator
from random import Random
from typing import NamedTuple
from unittest import TestCase

import msgspec
from returns.result import Failure, Success

from poplarlug.transport import MemoryNetwork, MemoryTransport, TransportErrorKind
from poplarlug.transport.frames import FrameKind, Header
from poplarlug.transport.memory import LinkQuality
from poplarlug.virtualtime import run_virtual


class Count(NamedTuple):
    number: int


async def increase(sender: str, message: Count) -> Count:
    return Count(message.number + 1)


async def count_up(sender: str, message: Count) -> AsyncIterator[bytes]:
    for number in range(message.number):
        yield str(number).encode()


class MemoryTransportTests(TestCase):
    def setUp(self) -> None:
        self.network = MemoryNetwork(rng=Random(1))

    async def start(self) -> tuple[MemoryTransport, MemoryTransport]:
        near = MemoryTransport(name="near", network=self.network)
        far = MemoryTransport(name="far", network=self.network)
        far.serve("increase", Count, increase)
        far.serve_stream("count", Count, count_up)
        self.tasks = [asyncio.ensure_future(t.run()) for t in (near, far)]
        await asyncio.sleep(0)
        return near, far

    # Guards against callers that wait for a reply that can't be encoded.
    def test_reply_that_cannot_be_encoded_is_refused(self) -> None:
        """A number of 65 bits doesn't fit into a message."""

        async def main() -> object:
            near, _ = await self.start()
            reply = await near.request(
                peer="far",
                topic="increase",
                message=Count(2**64 - 1),
                reply_type=Count,
                timeout_seconds=5.0,
            )
            assert isinstance(reply, Failure)
            return reply.failure().kind

        self.assertIs(run_virtual(main()), TransportErrorKind.REFUSED)

    def test_streams_are_finished_once_their_peer_has_their_ends(self) -> None:
        """After finish_streams the peer has all chunks and the end of each stream."""

        async def main() -> list[object]:
            near, far = await self.start()
            self.network.quality_by_link["far", "near"] = LinkQuality(1.0, 1.0)
            stream = near.open_stream(
                peer="far", topic="count", message=Count(2)
            ).unwrap()
            await asyncio.sleep(0.1)
            await far.finish_streams()
            return [await stream.next_chunk(timeout_seconds=0) for _ in range(3)]

        received = run_virtual(main())
        self.assertEqual(received, [Success(b"0"), Success(b"1"), Success(None)])

    def test_reused_exchange_id_raises_nothing(self) -> None:
        """A client may reuse the exchange id of a stream that has just ended."""

        async def main() -> list[object]:
            raised: list[object] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: raised.append(context))
            near, far = await self.start()
            payload = msgspec.msgpack.encode(Count(1))
            for _ in range(2):
                header = Header(FrameKind.OPEN, "near", 7, "count")
                near._send("far", header, payload)
                await asyncio.sleep(0.1)
            await asyncio.sleep(10.0)
            gc.collect()
            return raised

        self.assertEqual(run_virtual(main()), [])

    def test_request_gets_its_reply(self) -> None:
        """A reply is decoded to the requested type."""

        async def main() -> object:
            near, _ = await self.start()
            return await near.request(
                peer="far",
                topic="increase",
                message=Count(1),
                reply_type=Count,
                timeout_seconds=1,
            )

        self.assertEqual(run_virtual(main()), Success(Count(2)))

    def test_cut_link_times_out(self) -> None:
        """A request over a cut link returns a timeout and raises nothing."""

        async def main() -> object:
            near, _ = await self.start()
            self.network.cut("far", "near")
            return await near.request(
                peer="far",
                topic="increase",
                message=Count(1),
                reply_type=Count,
                timeout_seconds=1,
            )

        outcome = run_virtual(main())
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.failure().kind, TransportErrorKind.TIMEOUT)

    def test_stream_is_whole_and_in_order(self) -> None:
        """A stream of more chunks than the credit arrives completely and in order."""

        async def main() -> list[bytes]:
            near, _ = await self.start()
            self.network.quality = self.network.quality._replace(
                min_delay=0.001, max_delay=0.001
            )
            stream = near.open_stream(
                peer="far", topic="count", message=Count(500)
            ).unwrap()
            chunks = []
            while (chunk := (await stream.next_chunk()).unwrap()) is not None:
                chunks.append(chunk)
            return chunks

        self.assertEqual(run_virtual(main()), [str(n).encode() for n in range(500)])
