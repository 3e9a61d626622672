"""Tests that the soak's checks detect violated guarantees."""

from collections import Counter
from random import Random
from unittest import TestCase

from poplarlug.soak.callers import Call
from poplarlug.soak.promises import EVENTS, LimitPeriod, check_calls, check_limits
from poplarlug.soak.schedule import draw_schedule

GOOD = Call("a1", "book", "127.0.0.1:1", 0.0, 200, b"answer to book a1", "a1")


class CheckCallsTests(TestCase):
    def broken(self, runs: int, **fields: object) -> list[str]:
        call = GOOD._replace(**fields)
        return check_calls([call], Counter({call.id: runs} if runs else {}))

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
            "denied": self.broken(0, status=404),
        }
        for what, broken in cases.items():
            with self.subTest(what=what):
                self.assertEqual(len(broken), 1, broken)

    def test_request_that_nobody_sent_is_seen(self) -> None:
        """An execution of a request that no caller sent is reported."""
        self.assertEqual(len(check_calls([], Counter({"x": 1}))), 1)


class ScheduleTests(TestCase):
    def test_seed_gives_the_same_faults(self) -> None:
        """A seed reproduces the same fault schedule."""
        first = draw_schedule(Random(5), seconds=60.0)
        self.assertEqual(draw_schedule(Random(5), seconds=60.0), first)
        self.assertNotEqual(draw_schedule(Random(6), seconds=60.0), first)
        self.assertGreater(len(first), 20)
        self.assertEqual(list(first), sorted(first, key=lambda fault: fault.at))


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
