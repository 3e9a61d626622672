"""Tests of telling a completion's lines from bytes that belong to none."""

from random import Random
from unittest import TestCase

from poplarlug.relay.held_bytes import (
    MAX_COMPLETION_BYTES,
    completions_budget,
)
from poplarlug.serving.completion_check import CompletionCheck

EVENTS = (
    b'data: {"a": "\xc3\xa9"}\n\n: alive\r\n\r\nevent: x\nid: 1\nretry: 5\ndata\n\n'
)
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello\n",
    b"%PDF-1.4\n\n",
    b"\xff\xfe\n\n",
    b"data: \xff\n\n",
    b"Data: x\n\n",
    b"dataset: x\n",
)


def make_check() -> CompletionCheck:
    budget = completions_budget("lines")
    return CompletionCheck(reservation=budget.reserve())


class CompletionCheckTests(TestCase):
    def feed(self, data: bytes, rng: Random) -> tuple[bytes, bool]:
        """Return what passes of data in random parts, and whether it was refuted."""
        check = make_check()
        passed = b""
        while data:
            cut = rng.randint(1, 12)
            passed += check.feed(data[:cut])
            data = data[cut:]
        return passed + check.finish(), check.is_refuted

    def test_events_get_through_however_they_are_split(self) -> None:
        """Comments, either kind of line end and a byte order mark are sound."""
        for seed in range(50):
            self.assertEqual(self.feed(EVENTS, Random(seed)), (EVENTS, False))
            marked = b"\xef\xbb\xbf" + EVENTS
            self.assertEqual(self.feed(marked, Random(seed)), (EVENTS, False))

    # Guards against heads, documents and odd bytes among the events of a completion.
    def test_nothing_passes_from_the_first_odd_line_on(self) -> None:
        """What came before it is good."""
        for foreign in FOREIGN:
            for seed in range(50):
                data = EVENTS + foreign + EVENTS
                self.assertEqual(self.feed(data, Random(seed)), (EVENTS, True), foreign)

    def test_line_without_an_end_is_held_back(self) -> None:
        """It may be the start of anything."""
        self.assertEqual(self.feed(EVENTS + b"data: x", Random(1)), (EVENTS, False))

    def test_long_line_passes_before_its_end(self) -> None:
        """No line fills an entry's memory."""
        check = make_check()
        line = b"data: " + b"x" * MAX_COMPLETION_BYTES
        self.assertEqual(check.feed(line), line)
        self.assertEqual(check.feed(b"x\n\ndata: y\n"), b"x\n\ndata: y\n")
        self.assertEqual(check.feed(b"%PDF\n"), b"")
        self.assertTrue(check.is_refuted)
        odd = make_check()
        self.assertEqual(odd.feed(b"y" * (MAX_COMPLETION_BYTES + 1)), b"")
        self.assertTrue(odd.is_refuted)

    def test_all_lines_together_are_bounded(self) -> None:
        """A short line waits for its end whatever the others hold."""
        budget = completions_budget("lines")
        line = b"data: " + b"x" * (MAX_COMPLETION_BYTES - 6)
        checks = [CompletionCheck(reservation=budget.reserve()) for _ in range(10)]
        passed = [check.feed(line) for check in checks]
        self.assertEqual(passed, [b""] * 8 + [line] * 2)
        short = CompletionCheck(reservation=budget.reserve())
        self.assertEqual([short.feed(b"dat"), short.feed(b"a\n")], [b"", b"data\n"])
