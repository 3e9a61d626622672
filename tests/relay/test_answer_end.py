"""Tests of what the end of a stream's bytes shows."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast
from unittest import TestCase

import aiohttp

from poplarlug.discovery.records import UpstreamRun
from poplarlug.errors import outcome_unknown
from poplarlug.relay.answer_end import (
    TRUSTED_ENDS,
    ConfirmedEnds,
    Framing,
    StreamEnd,
    end_of_stream,
    framing_of,
)
from poplarlug.relay.client import RelayClient
from poplarlug.relay.context import DONE, Outcome, RequestContext
from poplarlug.relay.event_format import EventFormat
from poplarlug.relay.events import LAST_EVENT_HEADER, EventProgress
from poplarlug.relay.trace import RelayTrace
from tests.relay.test_view import make_request
from tests.routes.test_checks import make_route

LOST = Outcome(outcome_unknown("lost"), connection_lost=True)
UNCERTAIN = LOST._replace(is_uncertain=True)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


class FramingTests(TestCase):
    """Answers of a real server whose bytes end with their connection."""

    def read(self, fields: bytes, body: bytes) -> tuple[Framing, bool]:
        """Return how a response counts as framed, and whether all of it could be read."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body)
            writer.close()

        async def main() -> tuple[Framing, bool]:
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
                timeout_seconds=5.0,
            )
            response = sent.unwrap()
            try:
                await response.read()
                is_whole = True
            except aiohttp.ClientPayloadError:
                is_whole = False
            await client.close()
            server.close()
            return framing_of(response, "GET"), is_whole

        return asyncio.run(main())

    # Guards against transfer codings that count as chunks here, and not to the parser.
    def test_answer_whose_last_coding_is_not_chunks_ends_with_its_connection(
        self,
    ) -> None:
        for fields in (
            b"Transfer-Encoding: chunked, identity\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            b"Transfer-Encoding: not-chunked\r\n",
            b"",
        ):
            found = self.read(fields, make_event(0))
            self.assertEqual(found, (Framing.CONNECTION, True), fields)

    def test_answer_in_chunks_without_the_last_one_is_not_whole(self) -> None:
        body = b"%x\r\n%b\r\n" % (len(make_event(0)), make_event(0))
        for fields in (
            b"Transfer-Encoding: Chunked\r\n",
            b"Transfer-Encoding: identity,chunked\r\n",
            b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        ):
            found = self.read(fields, body)
            self.assertEqual(found, (Framing.CHUNKS, False), fields)
            found = self.read(fields, body + b"0\r\n\r\n")
            self.assertEqual(found, (Framing.CHUNKS, True), fields)


class EndOfStreamTests(TestCase):
    def setUp(self) -> None:
        self.events = EventProgress(event_format=EventFormat(first_field="version"))

    def ends(self, max_events: int | None = None) -> list[StreamEnd]:
        """Return what the end shows in chunks, and if only the connection ended."""
        return [
            end_of_stream(framing, self.events, max_events)
            for framing in (Framing.CHUNKS, Framing.CONNECTION)
        ]

    def answer(self, *numbers: int) -> None:
        self.events.begin_answer()
        for number in numbers:
            self.events.feed(make_event(number))

    def test_end_of_a_connection_tells_nothing_alone(self) -> None:
        """Unless the stream has all events that its caller allows."""
        self.answer(0, 1)
        self.assertEqual(self.ends(), [StreamEnd.WHOLE, StreamEnd.UNCERTAIN])
        self.assertEqual(self.ends(2), [StreamEnd.WHOLE, StreamEnd.WHOLE])

    # Guards against streams that ended as complete where their ids rise by more than one.
    def test_ids_that_leave_others_out_do_not_count_the_events(self) -> None:
        """Four events of at most 16 are not all, whatever their last id."""
        self.answer(5, 10, 15, 20)
        self.assertEqual(self.ends(16)[1], StreamEnd.UNCERTAIN)

    def test_stream_in_doubt_may_be_whole_once_its_last_event_was_repeated_alone(
        self,
    ) -> None:
        """If its upstream is still there; more events put the end in doubt again."""
        for numbers, end in (((2,), StreamEnd.REPEATED), ((2, 3), StreamEnd.UNCERTAIN)):
            self.setUp()
            self.answer(0, 1, 2)
            self.events.doubt_end()
            self.assertEqual(self.events.prepare_resume(), "1")
            self.answer(*numbers)
            self.assertEqual(self.ends(), [StreamEnd.WHOLE, end], numbers)

    def test_empty_answer_to_a_stream_in_doubt_is_no_end(self) -> None:
        """The next upstream is asked for the last event, too."""
        self.answer(0, 1, 2)
        self.events.doubt_end()
        self.events.prepare_resume()
        self.events.begin_answer()
        self.assertEqual(self.ends()[0], StreamEnd.NO_REST)
        self.assertEqual(self.events.prepare_resume(), "1")


class ConfirmedEndsTests(TestCase):
    def test_upstream_is_trusted_until_it_ends_a_stream_early(self) -> None:
        """It is trusted again once it has confirmed as many whole ones."""
        ends, run = ConfirmedEnds(), UpstreamRun("u-1", 1)
        for _ in range(2):
            for _ in range(TRUSTED_ENDS):
                self.assertFalse(ends.are_trusted(run))
                ends.note(run, is_whole=True)
            self.assertTrue(ends.are_trusted(run))
            self.assertFalse(ends.are_trusted(UpstreamRun("u-1", 2)))
            ends.note(run, is_whole=False)
        self.assertFalse(ends.are_trusted(run))


class AskedAgainTests(TestCase):
    """Attempts of a stream whose first upstream ended it with its connection."""

    def setUp(self) -> None:
        route = make_route(kind="streaming", resumable=True, max_attempts=1)
        self.context = RequestContext(
            request=make_request(route=route, deadline=60.0),
            sink=cast(Any, SimpleNamespace(started=True)),
            trace=RelayTrace(request_id="r-1", started=0.0),
        )
        assert self.context.events is not None
        for number in range(4):
            self.context.events.feed(make_event(number))
        self.context.note_upstream_outcome("u-1", UNCERTAIN)

    def test_its_upstream_is_asked_beyond_the_number_of_upstreams(self) -> None:
        """The request is sent to no further one, with its caller's patience renewed."""
        self.assertTrue(self.context.prepare_retry(9.0))
        self.assertEqual(
            [self.context.tried.allows(upstream) for upstream in ("u-1", "u-2")],
            [True, False],
        )
        request = self.context.request
        self.assertEqual(request.broke_off_at, 9.0)
        self.assertEqual(dict(request.headers)[LAST_EVENT_HEADER], "2")

    def test_it_is_asked_once(self) -> None:
        """An upstream that ends its streams so each time is left."""
        self.context.prepare_retry(1.0)
        self.context.note_upstream_outcome("u-1", UNCERTAIN)
        self.assertFalse(self.context.tried.allows("u-1"))
        self.assertFalse(self.context.prepare_retry(2.0))

    def test_attempt_that_finds_no_place_ends_it(self) -> None:
        """Without an attempt left, the stream breaks off."""
        self.context.prepare_retry(1.0)
        self.context.stop_asking_again()
        self.assertFalse(self.context.prepare_retry(2.0))

    def test_answer_without_doubt_asks_for_nothing(self) -> None:
        self.context.note_upstream_outcome("u-2", DONE)
        self.assertFalse(self.context.asks_again)
