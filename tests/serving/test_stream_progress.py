"""Tests of streams that several attempts make up."""

import json
from unittest import IsolatedAsyncioTestCase

from poplarlug.relay.held_bytes import completions_budget
from poplarlug.serving.answers import AnswerHead
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.stream_progress import NotResumedError, StreamProgress
from tests.serving.upstream import MemorySink

HEAD = AnswerHead(200, "text/event-stream")
REQUEST = GatewayRequest(
    "id", "verde", "urgent", "POST", "/v1/chat/completions", b"{}", "json", "e"
)


def event(number: int) -> bytes:
    return b"data: %d\n\n" % number


class StreamProgressTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.sink = MemorySink()
        self.progress = StreamProgress(
            target=self.sink, reservation=completions_budget("events").reserve()
        )
        await self.progress.start(HEAD)

    async def test_part_of_an_event_is_dropped_with_its_attempt(self) -> None:
        """An incomplete event is dropped and requested from the next attempt."""
        await self.progress.write(event(0) + event(1) + event(2)[:4])
        asked = self.progress.request_of_next_attempt(REQUEST)
        self.assertEqual(json.loads(asked.body), {"resume_from": 2})
        await self.progress.start(HEAD._replace(resumed_from=2))
        await self.progress.write(event(2)[:3])
        await self.progress.write(event(2)[3:] + b": alive\n\ndata: [DONE]\n\n")
        await self.progress.finish()
        expected = b"".join(map(event, range(3))) + b": alive\n\ndata: [DONE]\n\n"
        self.assertEqual(bytes(self.sink.data), expected)
        self.assertEqual(self.progress.tokens, 3)

    async def test_engine_that_starts_over_is_refused(self) -> None:
        """An engine that can't resume doesn't repeat tokens to the caller."""
        await self.progress.write(event(0))
        with self.assertRaises(NotResumedError):
            await self.progress.start(HEAD)

    async def test_restart_is_allowed_before_the_first_token(self) -> None:
        """An engine that can't resume may start over while no token was passed on."""
        await self.progress.write(event(0)[:5])
        asked = self.progress.request_of_next_attempt(REQUEST)
        self.assertEqual(asked, REQUEST)
        await self.progress.start(HEAD)
        await self.progress.write(event(0))
        self.assertEqual(bytes(self.sink.data), event(0))
