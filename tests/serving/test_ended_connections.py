"""Tests of answers on the accounts' path that only the end of a connection ends."""

import asyncio
from functools import partial
from typing import Any
from unittest import TestCase

from poplarlug.serving.attempts import AttemptStatus, UpstreamClient
from tests.serving.test_attempts import (
    LAST,
    TOKEN,
    attempt_once,
    request,
    with_upstream,
    writes,
)
from tests.serving.upstream import (
    CHUNKED_HEAD,
    Answer,
    MemorySink,
    ScriptedUpstream,
    chunk,
)

PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
JSON_BODY = b'{"id": "b-1", "bins": ["B7", {"at": 3}], "note": "caf\xc3\xa9 }"}'
OLD_HEAD = b"HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"
SERVICE: dict[str, Any] = {"model": None, "service": "bookings"}
BOOKING: dict[str, Any] = {**SERVICE, "repeatable": False}
ALL_KINDS: tuple[dict[str, Any], ...] = ({}, SERVICE, BOOKING)


def crashes_after(data: bytes) -> Answer:
    """Write ``data``, then stop listening and close, as a process does that ends."""

    async def answer(upstream: ScriptedUpstream, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.002)
        await upstream.stop()
        raise ConnectionError

    return answer


class EndedConnectionTests(TestCase):
    def check(self, answer: Answer, expected: AttemptStatus, **fields: Any) -> None:
        outcome = attempt_once(answer, MemorySink(), **fields)
        self.assertEqual(outcome.status, expected, fields)

    # Guards against bookings whose stored answer a crashed upstream had cut short.
    def test_answer_of_an_upstream_that_ends_is_broken(self) -> None:
        """Neither a length nor chunks show that the answer is whole."""
        for fields in ALL_KINDS:
            for head in (PLAIN_HEAD, OLD_HEAD):
                for body in (b"", b"boo"):
                    crash = crashes_after(head + body)
                    self.check(crash, AttemptStatus.BROKEN, **fields)

    def test_answer_of_an_upstream_that_listens_is_done(self) -> None:
        """Only the connection ends its answer."""
        for fields in ALL_KINDS:
            for head in (PLAIN_HEAD, OLD_HEAD):
                answer = writes(head + b"booked", close=True)
                self.check(answer, AttemptStatus.DONE, **fields)

    def test_answer_without_a_body_is_done(self) -> None:
        """The upstream ends right after it."""
        for status, method in ((b"204 None", "POST"), (b"200 OK", "HEAD")):
            crash = crashes_after(b"HTTP/1.1 %b\r\n\r\n" % status)
            self.check(crash, AttemptStatus.DONE, **{**BOOKING, "method": method})

    # Guards against a service's stream that ends as complete within an event.
    def test_stream_that_ends_within_an_event_is_broken(self) -> None:
        """Whether the upstream still listens or not."""
        cut = EVENTS_HEAD + TOKEN + TOKEN[:9]
        for answer in (writes(cut, close=True), crashes_after(cut)):
            for fields in ALL_KINDS:
                self.check(answer, AttemptStatus.BROKEN, **fields)

    def test_completion_that_ends_before_its_last_event_is_broken(self) -> None:
        """At the border of an event, or within the last one."""
        for rest in (b"", LAST[:8], LAST.rstrip()):
            cut = EVENTS_HEAD + TOKEN + rest
            for answer in (writes(cut, close=True), crashes_after(cut)):
                self.check(answer, AttemptStatus.BROKEN)

    def test_completion_with_its_last_event_is_done(self) -> None:
        """Its upstream may end right after it."""
        whole = EVENTS_HEAD + TOKEN + LAST
        for answer in (writes(whole, close=True), crashes_after(whole)):
            self.check(answer, AttemptStatus.DONE)

    # Guards against answers whose upstream closed its connection, and went on.
    def test_json_that_ends_too_early_is_broken(self) -> None:
        """The upstream still listens."""
        for fields in ALL_KINDS:
            for end in (1, 8, 24, 36, 37, 39, 57, len(JSON_BODY) - 1):
                answer = writes(JSON_HEAD + JSON_BODY[:end], close=True)
                self.check(answer, AttemptStatus.BROKEN, **fields)

    def test_whole_json_is_done(self) -> None:
        """Its upstream may end right after it."""
        whole = JSON_HEAD + JSON_BODY + b"\n"
        for answer in (writes(whole, close=True), crashes_after(whole)):
            for fields in ALL_KINDS:
                self.check(answer, AttemptStatus.DONE, **fields)

    def test_json_whose_end_shows_nothing_needs_its_upstream(self) -> None:
        """A number may go on, lines may follow, and others write no JSON."""
        for body in (b"12", b'{"a": 1}\n{"b": 2}', b"{'a': 1}"):
            answer = writes(JSON_HEAD + body, close=True)
            self.check(answer, AttemptStatus.DONE, **BOOKING)
            crash = crashes_after(JSON_HEAD + body)
            self.check(crash, AttemptStatus.BROKEN, **BOOKING)

    async def close_within(
        self, fields: dict[str, Any], upstream: ScriptedUpstream, client: UpstreamClient
    ) -> None:
        async def attempt() -> AttemptStatus:
            outcome = await client.attempt(
                request=request(**fields), address=upstream.address, sink=MemorySink()
            )
            return outcome.status

        first = asyncio.ensure_future(attempt())
        await upstream.request_received.wait()
        await asyncio.sleep(0.05)
        await client.close()
        self.assertIs(await first, AttemptStatus.BROKEN, fields)
        self.assertIs(await attempt(), AttemptStatus.NOT_SENT, fields)

    # Guards against answers that are kept as whole because their entry closed them.
    def test_answer_that_its_entry_closes_is_broken(self) -> None:
        """Whatever its framing; what is sent through a closed client has not run."""
        for fields in ALL_KINDS:
            for answer in (
                writes(PLAIN_HEAD + b"booked"),
                writes(JSON_HEAD + b"12"),
                writes(EVENTS_HEAD + TOKEN),
                writes(CHUNKED_HEAD + chunk(TOKEN)),
            ):
                asyncio.run(with_upstream(answer, partial(self.close_within, fields)))

    # Guards against streams whose framing announces other bytes than are passed on.
    def test_stream_announces_no_length_that_it_may_not_reach(self) -> None:
        """A byte order mark and half a line are dropped, and another may resume it."""
        body = b"\xef\xbb\xbf" + TOKEN + LAST + b": half"
        head = EVENTS_HEAD[:-2] + b"Content-Length: %d\r\n\r\n" % len(body)
        sink = MemorySink()
        outcome = attempt_once(writes(head + body), sink)
        self.assertEqual(outcome.status, AttemptStatus.DONE)
        assert sink.head is not None
        self.assertEqual(sink.data, TOKEN + LAST)
        self.assertIn(sink.head.content_length, (None, len(sink.data)))
