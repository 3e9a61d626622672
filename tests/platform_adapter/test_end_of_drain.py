"""Tests of requests in progress when a drain ends, with real processes on loopback."""

import http.client
import json
import signal
import time
from concurrent.futures import Future, ThreadPoolExecutor
from itertools import product
from typing import Any, ClassVar

from poplarlug.soak.deployment import wait_until
from tests.platform_adapter.test_ended_connections import (
    EVENTS,
    ROUTES,
    EndedConnectionCase,
    Received,
)

STEP_SECONDS = 2.4
"""Time between the parts of an answer; the drain ends after the second."""

ANSWER_SECONDS = 8.0
DEADLINE_SECONDS = 8.0
BOOKING_SECONDS = 3.0
"""Longer than an idle entry listens in a stop, and shorter than its drain."""

REPEATS = 2
FRAMINGS = ("connection", "framed")
EXIT_SECONDS = 4.0
"""Grace period of the entries; what still runs then is killed."""


class EndOfDrainTests(EndedConnectionCase):
    """The answers of two upstreams outlast the drain of the entry in Quito."""

    deadline_seconds: ClassVar[float] = DEADLINE_SECONDS
    routes: ClassVar[dict[str, dict[str, Any]]] = {
        name: route | {"timeout_ms": int(DEADLINE_SECONDS * 1000)}
        for name, route in ROUTES.items()
    }

    def start_answers(self, pool: ThreadPoolExecutor) -> dict[Any, list[Future[Any]]]:
        """Have all kinds of answers in progress at each entry, by route and framing."""
        reading: dict[Any, list[Future[Any]]] = {}
        for framing in FRAMINGS:
            for upstream in self.upstreams:
                upstream.fault = ""
                upstream.unframed_share = float(framing == "connection")
                upstream.part_seconds = upstream.event_seconds = STEP_SECONDS
                upstream.answer_seconds = ANSWER_SECONDS
                upstream.arrivals.clear()
            for entry, route in product(self.entries, ROUTES):
                reading[entry, route, framing] = [
                    pool.submit(self.read, entry, route) for _ in range(REPEATS)
                ]
            wait_until(
                lambda: (
                    sum(len(upstream.arrivals) for upstream in self.upstreams)
                    >= REPEATS * len(self.entries) * len(ROUTES)
                ),
                "not all requests have arrived",
            )
        return reading

    def stop_beside_answers(self) -> dict[Any, list[Received]]:
        """Stop the entry in Quito beside answers in progress; return all answers."""
        with ThreadPoolExecutor(64) as pool:
            reading = self.start_answers(pool)
            began = time.monotonic()
            self.deployment.signal(self.entries[0], signal.SIGTERM)
            self.assertEqual(self.deployment.wait_for_exit(self.entries[0]), 0)
            self.assertLess(time.monotonic() - began, EXIT_SECONDS)
            return {
                kind: [answer.result() for answer in answers]
                for kind, answers in reading.items()
            }

    def check_answers(self, answers_by_kind: dict[Any, list[Received]]) -> None:
        for kind, answers in answers_by_kind.items():
            entry, route, _ = kind
            for answer in answers:
                self.assertFalse(answer.is_whole, (kind, answer))
                if route in ("stream", "resume"):
                    self.assertTrue(EVENTS.startswith(answer.data), (kind, answer))
                elif entry == self.entries[0]:
                    # Neither success nor "not run": it may have run.
                    self.assertEqual(answer.status, 502, (kind, answer))

    def check_log(self) -> None:
        """Check that each request's line tells its end, and that all are log lines."""
        lines = [
            json.loads(line)
            for line in self.deployment.log(self.entries[0]).splitlines()
        ]
        stop = next(n for n, x in enumerate(lines) if x["event"] == "entry: stopping")
        ended = [x for x in lines[stop:] if x["event"] == "relay: request ended"]
        kinds = len(self.entries) * len(ROUTES) * len(FRAMINGS)
        self.assertGreaterEqual(len(ended), REPEATS * kinds)
        for line in ended:
            # The other entry leaves looks that take long.
            ends = ("stopped", "caller_left") if line["hops"] else ("stopped",)
            self.assertIn(line.get("error"), ends, line)
        errors = [x for x in lines if x["level"] == "error"]
        self.assertEqual(errors, [])

    # Guards against answers that ended as complete because their entry left them.
    def test_answer_that_its_entry_leaves_does_not_look_whole(self) -> None:
        """Plain ones get a status, streams break off, and bookings run once."""
        self.check_answers(self.stop_beside_answers())
        bookings = [
            run
            for upstream in self.upstreams
            for run in upstream.arrivals
            if run.path.startswith("/book")
        ]
        self.assertEqual(len(bookings), len({run.request_id for run in bookings}))
        self.check_log()

    # Guards against a trusted upstream that vouches for a stream that its entry left.
    def test_stream_of_a_trusted_upstream_does_not_look_whole(self) -> None:
        """Its upstreams have confirmed many streams, and the retry budget is spent."""
        for upstream in self.upstreams:
            upstream.fault = "unframed whole"
        for _ in range(9):
            self.read_many(self.entries[0], "resume")
        self.check_answers(self.stop_beside_answers())

    # Guards against bookings that an idle entry broke off after their caller had left.
    def test_booking_whose_caller_has_left_runs_to_its_end(self) -> None:
        """It was accepted, and its outcome must not hang on when an entry stops."""
        for upstream in self.upstreams:
            upstream.arrivals.clear()
            upstream.unframed_share, upstream.part_seconds = 1.0, BOOKING_SECONDS / 3
        entry = self.entries[0]
        host, _, port = self.deployment.entry_address(entry).rpartition(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_SECONDS)
        caller.request("POST", "/book/1", b"hello", self.headers())
        wait_until(lambda: any(u.arrivals for u in self.upstreams), "no booking came")
        caller.close()
        self.deployment.signal(entry, signal.SIGTERM)
        self.assertEqual(self.deployment.wait_for_exit(entry), 0)
        self.assertEqual([upstream.abandoned for upstream in self.upstreams], [0, 0])
