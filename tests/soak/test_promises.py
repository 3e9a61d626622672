"""Tests that the soak's checks detect violated guarantees."""

import json
import tempfile
from pathlib import Path
from random import Random
from unittest import TestCase

from poplarlug.platform.names import HEADER_NAMES
from poplarlug.soak.callers import Call
from poplarlug.soak.promises import (
    EVENTS,
    LimitPeriod,
    check_answered,
    check_calls,
    check_limits,
    read_logs,
)
from poplarlug.soak.schedule import draw_schedule, draw_series, draw_stops
from poplarlug.soak.upstream import Arrival

GOOD = Call("a1", "book", "127.0.0.1:1", 0.0, 200, b"answer to book a1", "a1")


def run_at(upstream_id: str, *, is_unframed: bool = False) -> Arrival:
    headers = {HEADER_NAMES.request_id: GOOD.id}
    return Arrival(0.0, "/", headers, b"", upstream_id, is_unframed)


class CheckCallsTests(TestCase):
    def broken(self, runs: int, **fields: object) -> list[str]:
        call = GOOD._replace(**fields)
        return check_calls([call], [run_at(f"u-{number}") for number in range(runs)])

    def test_good_answer_breaks_nothing(self) -> None:
        """A booking that ran once, or a resumable stream up to twice, is correct."""
        self.assertEqual(self.broken(1), [])
        self.assertEqual(self.broken(1, kind="resume", body=EVENTS), [])
        self.assertEqual(self.broken(2, kind="resume", body=EVENTS), [])

    def test_unknown_outcomes_break_nothing(self) -> None:
        """A booking with a connection error, 502 or 504 may or may not have run."""
        for runs in (0, 1):
            for status in (0, 502, 504):
                self.assertEqual(self.broken(runs, status=status, body=b""), [])

    def test_broken_promises_are_seen(self) -> None:
        """Each kind of violation is reported once."""
        cases = {
            "twice": self.broken(2),
            "ran after a refusal": self.broken(1, status=503),
            "never ran": self.broken(0),
            "another answer": self.broken(1, answered_id="b2"),
            "other body": self.broken(1, body=b"answer to book b2"),
            "short stream": self.broken(1, kind="stream", body=EVENTS[:-20]),
            "stream joined twice": self.broken(1, kind="resume", body=EVENTS * 2),
            "event lacking": self.broken(1, kind="resume", body=EVENTS[15:]),
            "event twice": self.broken(1, kind="resume", body=EVENTS[:15] + EVENTS),
            "broken off, event twice": self.broken(
                1, kind="resume", status=0, body=EVENTS[:15] + EVENTS[:30]
            ),
            "third upstream": self.broken(3, kind="look", body=b"answer to look a1"),
            "denied": self.broken(0, status=404),
        }
        for what, broken in cases.items():
            with self.subTest(what=what):
                self.assertEqual(len(broken), 1, broken)

    def test_stream_that_broke_off_breaks_nothing(self) -> None:
        """Its caller knows that it lacks events."""
        for end in (0, 15, 20):
            body = EVENTS[:end]
            self.assertEqual(self.broken(1, kind="stream", status=0, body=body), [])

    # Guards against second runs at an upstream without a doubt about its first answer.
    def test_only_an_unframed_stream_may_be_asked_for_again(self) -> None:
        """It then runs twice at one of two upstreams."""
        resume = GOOD._replace(kind="resume", body=EVENTS)
        unframed = run_at("u-0", is_unframed=True)
        other = run_at("u-1")
        self.assertEqual(check_calls([resume], [unframed, run_at("u-0"), other]), [])
        twice = [run_at("u-0"), run_at("u-0")]
        self.assertEqual(len(check_calls([resume], twice)), 1)
        self.assertEqual(len(check_calls([resume], [unframed, *twice])), 1)
        look = GOOD._replace(kind="look", body=b"answer to look a1")
        self.assertEqual(len(check_calls([look], [unframed, run_at("u-0")])), 1)

    def test_request_that_nobody_sent_is_seen(self) -> None:
        """An execution of a request that no caller sent is reported."""
        self.assertEqual(len(check_calls([], [run_at("u-0")])), 1)


class ScheduleTests(TestCase):
    def test_seed_gives_the_same_faults(self) -> None:
        """A seed reproduces the same fault schedule."""
        first = draw_schedule(Random(5), seconds=60.0)
        self.assertEqual(draw_schedule(Random(5), seconds=60.0), first)
        self.assertNotEqual(draw_schedule(Random(6), seconds=60.0), first)
        self.assertGreater(len(first), 20)
        self.assertEqual(list(first), sorted(first, key=lambda fault: fault.at))

    # Guards against soaks in which no upstream ends while other faults last.
    def test_ends_of_upstreams_overlap_with_signals(self) -> None:
        """A seed reproduces its series, of ends and of signals."""
        first = draw_series(Random(5), seconds=60.0)
        self.assertEqual(draw_series(Random(5), seconds=60.0), first)
        ends = [fault for fault in first if fault.kind == "end"]
        signals = [fault for fault in first if fault.affects_process]
        self.assertEqual(len(ends) + len(signals), len(first))
        overlaps = [
            end
            for end in ends
            if any(one.at < end.at < one.at + one.seconds for one in signals)
        ]
        self.assertGreater(len(overlaps), len(ends) / 4)

    def test_stops_are_of_entries_in_turn(self) -> None:
        """All faults are planned stops, of more than one entry in a series."""
        stops = draw_stops(Random(5), seconds=60.0, entries=4)
        self.assertEqual({stop.kind for stop in stops}, {"stop"})
        self.assertEqual({stop.target for stop in stops}, set(range(4)))


class LogTests(TestCase):
    def read(self, *lines: object) -> tuple[str, ...]:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "entry.log"
            log.write_text("".join(f"{line}\n" for line in lines))
            return read_logs(Path(folder)).broken

    def line(self, event: str, level: str = "error", **fields: object) -> str:
        return json.dumps({"event": event, "level": level} | fields)

    def test_what_no_log_should_hold_is_told(self) -> None:
        """Lines that are no log lines, and errors of libraries or with a traceback."""
        sound = (
            self.line("relay: request ended", "info", request_id="a1"),
            self.line("claims: journal is damaged"),
            self.line("asyncio: took long", "warning"),
        )
        self.assertEqual(self.read(*sound), ())
        cases = {
            "2 lines": ("Traceback (most recent call last):", "RuntimeError"),
            "1 lines": (json.dumps(["no", "fields"]),),
            "aiohttp.server": (self.line("aiohttp.server: Error handling request"),),
            "failed to serve": (self.line("relay: failed to serve", exception="..."),),
        }
        for expected, lines in cases.items():
            with self.subTest(expected):
                (broken,) = self.read(*sound, *lines)
                self.assertIn(expected, broken)

    def test_requests_without_an_answer_are_told(self) -> None:
        """What an entry or an upstream has seen gets the head of an answer at least."""
        unanswered = GOOD._replace(status=0, body=b"", answered_id="")
        answered = [GOOD, unanswered._replace(answered_id="a1")]
        self.assertEqual(check_answered(answered, {"a1"}), [])
        self.assertEqual(check_answered([unanswered], {"b1"}), [])
        self.assertEqual(len(check_answered([unanswered], {"a1"})), 1)


class LimitTests(TestCase):
    def test_more_than_a_limit_allows_is_told(self) -> None:
        """Only requests received while the limit is enforced count."""
        limited = LimitPeriod(100.0, 112.0, 1.0)
        early = [100.0 + 0.1 * number for number in range(40)]
        late = [113.0 + 0.1 * number for number in range(40)]
        kept = [105.0 + 0.4 * number for number in range(11)]
        self.assertEqual(check_limits([*early, *kept, *late], limited), [])
        (broken,) = check_limits([*early, *kept, 106.01, *late], limited)
        self.assertIn("12 requests in 4.0 s", broken)
