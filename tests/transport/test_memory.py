"""Tests of requests and streams over the memory network."""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from typing import NamedTuple
from unittest import TestCase

from returns.result import Failure, Success

from poplarlug.transport import MemoryNetwork, MemoryTransport, TransportErrorKind
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

    def test_request_gets_its_reply(self) -> None:
        """A reply comes back as the type that was asked for."""

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
        """A request over a cut link is a timeout, not an exception."""

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
        """More chunks than the credit arrive whole and in their order."""

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
