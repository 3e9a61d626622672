"""Tests of upstreams on the accounts' path that write bytes of no answer."""

import asyncio
import time
from typing import Any
from unittest import TestCase

from poplarlug.serving.attempts import AttemptStatus, UpstreamClient
from tests.serving.test_attempts import (
    LAST,
    SMALL,
    TOKEN,
    attempt_once,
    request,
    with_upstream,
    writes,
)
from tests.serving.upstream import (
    CHUNKED_HEAD,
    MemorySink,
    ScriptedUpstream,
    chunk,
)

FOREIGN = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


class ForeignAnswerTests(TestCase):
    def test_bytes_among_events_reach_no_caller(self) -> None:
        """What the upstream wrote before them is good."""
        passed = []
        for foreign in (FOREIGN, b"%PDF-1.4\n\n", b"\xff\xfe\n\n"):
            sink = MemorySink()
            parts = (chunk(TOKEN), chunk(foreign), chunk(LAST), b"0\r\n\r\n")
            outcome = attempt_once(writes(CHUNKED_HEAD, *parts), sink)
            if sink.data != TOKEN or outcome.status is not AttemptStatus.BROKEN:
                passed.append(foreign)
        self.assertEqual(passed, [])

    # Guards against a success with an empty or short body in place of a head that
    # never came whole.
    def test_head_that_stops_is_no_answer(self) -> None:
        """The upstream closes its connection within the head of its answer."""
        for head in (CHUNKED_HEAD, SMALL[: -len(b"peel")]):
            for end in range(1, len(head)):
                sink = MemorySink()
                outcome = attempt_once(writes(head[:end], close=True), sink)
                self.assertEqual(outcome.status, AttemptStatus.BROKEN, head[:end])
                self.assertEqual(sink.data, b"")

    def test_broken_framing_is_broken_at_once(self) -> None:
        """Bytes stand where the size of a chunk is due."""
        began = time.monotonic()
        parts = (CHUNKED_HEAD, chunk(TOKEN), b"%PDF-1.4\r\n")
        outcome = attempt_once(writes(*parts), MemorySink(), stream=True)
        self.assertEqual(outcome.status, AttemptStatus.BROKEN)
        self.assertLess(time.monotonic() - began, 3.0)

    def test_second_answer_on_a_kept_connection_belongs_to_no_request(self) -> None:
        """It comes after the first, while the connection is idle."""

        async def answer(upstream: ScriptedUpstream, writer: Any) -> None:
            writer.write(SMALL)
            await asyncio.sleep(0.05)
            writer.write(FOREIGN)

        async def use(upstream: ScriptedUpstream, client: UpstreamClient) -> Any:
            bodies = []
            for _ in range(3):
                sink = MemorySink()
                await client.attempt(
                    request=request(), address=upstream.address, sink=sink
                )
                bodies.append(sink.data)
                await asyncio.sleep(0.2)
            return bodies

        bodies = asyncio.run(with_upstream(answer, use))
        self.assertEqual(bodies, [b"peel"] * 3)
