"""Tests of relaying a stream to its caller."""

import asyncio
from types import SimpleNamespace
from typing import Any
from unittest import TestCase

import aiohttp
from multidict import CIMultiDict

from poplarlug.relay.context import Outcome, RequestContext
from poplarlug.relay.held_bytes import HeldBytesBudget
from poplarlug.relay.passing import STALL_SECONDS, relay_response
from poplarlug.relay.trace import RelayTrace
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.virtualtime import run_virtual
from tests.relay.test_view import make_request
from tests.routes.test_checks import make_route

DRIP_SECONDS = 0.3
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


class CollectingSink(AnswerSink):
    """Collects what a caller receives."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.is_finished = False

    async def start(self, head: AnswerHead) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.data += data

    async def finish(self) -> None:
        self.is_finished = True


class PausingContent:
    """Yields one event, nothing for the pause, then the other event."""

    def __init__(self, pause: float) -> None:
        self._left = list(EVENTS)
        self._pause = pause
        self._resumes_at: float | None = None

    async def readany(self) -> bytes:
        if len(self._left) == 1:
            loop = asyncio.get_running_loop()
            if self._resumes_at is None:
                self._resumes_at = loop.time() + self._pause
            await asyncio.sleep(self._resumes_at - loop.time())
        return self._left.pop(0) if self._left else b""

    def at_eof(self) -> bool:
        return not self._left


class DrippingContent(PausingContent):
    """Yields single bytes of the second event during the pause."""

    async def readany(self) -> bytes:
        loop = asyncio.get_running_loop()
        if len(self._left) == 1 and self._resumes_at is None:
            self._resumes_at = loop.time() + self._pause
        if self._resumes_at is not None and loop.time() < self._resumes_at:
            await asyncio.sleep(DRIP_SECONDS)
            byte, self._left[0] = self._left[0][:1], self._left[0][1:]
            return byte
        return self._left.pop(0) if self._left else b""


class BreakingContent(PausingContent):
    """Breaks off during the pause."""

    async def readany(self) -> bytes:
        data = await super().readany()
        if data == EVENTS[1]:
            raise aiohttp.ClientPayloadError("broken off")
        return data


def make_response(content: PausingContent) -> Any:
    return SimpleNamespace(
        status=200,
        headers=CIMultiDict(
            {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        ),
        content_length=None,
        content=content,
    )


class StallTests(TestCase):
    def play(
        self,
        *,
        pause: float,
        can_resume_elsewhere: bool,
        content_type: type[PausingContent] = PausingContent,
    ) -> tuple[Outcome, CollectingSink]:
        """Relay a resumable stream that stalls once."""

        async def main() -> tuple[Outcome, CollectingSink]:
            route = make_route(
                kind="streaming", prompts=True, resumable=True, timeout_seconds=20.0
            )
            request = make_request(route=route, deadline=20.0)
            sink = CollectingSink()
            trace = RelayTrace(request_id=request.id, started=0.0)
            context = RequestContext(request=request, sink=sink, trace=trace)
            context.can_resume_elsewhere = lambda: can_resume_elsewhere
            response = make_response(content_type(pause))
            return await relay_response(context, response, HeldBytesBudget()), sink

        return run_virtual(main())

    def test_silent_stream_goes_on_where_it_is(self) -> None:
        """An engine that prefills long prompts is silent; others would be no better."""
        outcome, sink = self.play(pause=3 * STALL_SECONDS, can_resume_elsewhere=False)
        self.assertIsNone(outcome.error)
        self.assertEqual(sink.data, b"".join(EVENTS))
        self.assertTrue(sink.is_finished)

    def test_silent_stream_is_resumed_at_a_free_slot(self) -> None:
        """Its engine may have failed without closing the connection."""
        outcome, sink = self.play(pause=3 * STALL_SECONDS, can_resume_elsewhere=True)
        self.assertIsNotNone(outcome.error)
        self.assertEqual(sink.data, EVENTS[0])
        self.assertFalse(sink.is_finished)

    # Guards against stalled streams that never ended because single bytes kept arriving.
    def test_stream_that_sends_single_bytes_counts_as_stalled(self) -> None:
        """Parts of an event are no progress; they are all relayed in the end."""
        for can_resume_elsewhere in (True, False):
            outcome, sink = self.play(
                pause=2 * STALL_SECONDS,
                can_resume_elsewhere=can_resume_elsewhere,
                content_type=DrippingContent,
            )
            self.assertEqual(outcome.error is None, not can_resume_elsewhere)
            self.assertEqual(
                sink.data, EVENTS[0] if can_resume_elsewhere else b"".join(EVENTS)
            )

    def test_short_pause_is_no_stall(self) -> None:
        """Pauses below ``STALL_SECONDS`` are usual."""
        outcome, _ = self.play(pause=STALL_SECONDS / 2, can_resume_elsewhere=True)
        self.assertIsNone(outcome.error)


class HeldEventsTests(TestCase):
    """The record of which version began a stream doesn't come."""

    def play(self, *, breaks: bool) -> tuple[Outcome, CollectingSink, RequestContext]:
        sink = CollectingSink()

        async def main() -> tuple[Outcome, RequestContext]:
            now = asyncio.get_running_loop().time()
            route = make_route(kind="streaming", resumable=True)
            context = RequestContext(
                request=make_request(route=route, arrived=now, deadline=now + 30.0),
                sink=sink,
                trace=RelayTrace(request_id="r-1", started=now),
            )
            context.upstream_version = "v2"
            context.record_start = lambda: asyncio.sleep(60.0)
            content = BreakingContent(1.0) if breaks else PausingContent(1.0)
            outcome = await relay_response(
                context, make_response(content), HeldBytesBudget()
            )
            return outcome, context

        outcome, context = run_virtual(main())
        return outcome, sink, context

    def test_whole_stream_is_delivered_though_late(self) -> None:
        """Nobody resumes it, so it needs no record."""
        outcome, sink, _ = self.play(breaks=False)
        self.assertIsNone(outcome.error)
        self.assertEqual(sink.data, b"".join(EVENTS))

    # Guards against a record of a version at which the stream didn't begin.
    def test_broken_stream_is_begun_again_at_its_version(self) -> None:
        """Its caller has got no event yet, but its record is on its way."""
        outcome, sink, context = self.play(breaks=True)
        self.assertTrue(outcome.connection_lost)
        self.assertEqual(sink.data, b"")
        assert context.events is not None
        self.assertEqual((context.events.last_id, context.request.version), ("", "v2"))

    # Guards against events without a record from the attempt after a broken one.
    def test_next_attempt_waits_for_the_record_too(self) -> None:
        """The first one broke off before a replica had it."""
        _, sink, context = self.play(breaks=True)
        context.upstream_version = "v2"
        self.assertFalse(run_virtual(context.may_pass_events()))
        context.record_start = lambda: asyncio.sleep(0.0)
        context.stop_recording()
        self.assertTrue(run_virtual(context.may_pass_events()))

    def test_line_of_a_request_names_the_evidence_for_its_end(self) -> None:
        """It tells a stream that was framed from one that its connection ended."""
        _, _, context = self.play(breaks=False)
        ended = context.trace.steps[-1]
        self.assertEqual((ended["step"], ended["framing"]), ("ended", "chunks"))
        self.assertEqual((ended["last_id"], ended["max_events"]), ("2", None))
