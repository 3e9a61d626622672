"""Tests of answers handed on between entries, and of how their streams end."""

import asyncio
from collections.abc import Callable
from random import Random

from poplarlug.errors import GatewayError
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.forwarding import Forwarder
from poplarlug.serving.requests import GatewayRequest
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.serving.test_attempts import request
from tests.serving.upstream import MemorySink

HEAD = AnswerHead(200, "text/plain")
Cut = Callable[[MemoryNetwork], None]


class ForwardedAnswerTests(QuietTestCase):
    def forward(
        self,
        head: AnswerHead | None,
        *parts: bytes,
        cut: Cut | None = None,
        **fields: str,
    ) -> GatewayError | None:
        """Return the outcome of a request whose answer the other entry hands back."""
        network = MemoryNetwork(rng=Random(1))

        async def answer(_: GatewayRequest, sink: AnswerSink) -> None:
            if head is not None:
                await sink.start(head)
            for part in parts:
                await sink.write(part)
            if cut is not None:
                await asyncio.sleep(1.0)
                cut(network)

        async def main() -> GatewayError | None:
            near, far = (
                MemoryTransport(name=name, network=network) for name in ("near", "far")
            )
            running = [asyncio.ensure_future(side.run()) for side in (near, far)]
            await asyncio.sleep(0)
            Forwarder(transport=far).set_handler(answer)
            outcome = await Forwarder(transport=near).forward(
                request(**fields), "far", MemorySink()
            )
            for side in running:
                side.cancel()
            return outcome

        return run_virtual(main())

    def test_whole_answer_is_done(self) -> None:
        """With a length, without one, and without a body."""
        self.assertIsNone(self.forward(HEAD, b"boo", b"ked"))
        self.assertIsNone(self.forward(HEAD._replace(content_length=6), b"booked"))
        for status, method in ((204, "POST"), (304, "GET"), (200, "HEAD")):
            head = HEAD._replace(status=status, content_length=6)
            self.assertIsNone(self.forward(head, method=method))

    # Guards against the end of a stream between entries that is taken for an answer's.
    def test_stream_that_ends_without_the_answer_is_broken(self) -> None:
        """It ends as whole, before the head, or before the last byte."""
        outcome = self.forward(None)
        assert outcome is not None
        self.assertEqual((outcome.type, outcome.ran), ("outcome_unknown", None))
        outcome = self.forward(HEAD._replace(content_length=6), b"boo")
        assert outcome is not None
        self.assertEqual((outcome.type, outcome.ran), ("truncated_answer", None))

    def test_lost_entry_ends_no_answer(self) -> None:
        """Its last part arrived, and the mark of its end didn't."""
        outcome = self.forward(HEAD, b"boo", cut=lambda net: net.cut("far", "near"))
        assert outcome is not None
        self.assertEqual(outcome.type, "truncated_answer")
