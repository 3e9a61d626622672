"""Tests of the processor time that checks of completions take."""

from itertools import pairwise
from time import process_time
from unittest import TestCase

from poplarlug.relay.held_bytes import completions_budget
from poplarlug.serving.answers import AnswerHead
from poplarlug.serving.completion_check import CompletionCheck
from poplarlug.serving.stream_progress import StreamProgress
from tests.serving.upstream import MemorySink

BASE_BYTES = 96 * 1024
CHUNK_BYTES = 5
MAX_GROWTH = 3.0
"""Of the time at twice the size; 2 in proportion, 4 for a quadratic cost."""

ATTEMPTS = 4


def check_line(size: int) -> None:
    """Check one line that arrives in small chunks."""
    with completions_budget("lines").reserve() as reservation:
        check = CompletionCheck(reservation=reservation)
        check.feed(b"data: ")
        for _ in range(size // CHUNK_BYTES):
            check.feed(b"x" * CHUNK_BYTES)


def collect_event(size: int) -> None:
    """Collect one event of many lines."""
    with completions_budget("events").reserve() as reservation:
        sink = StreamProgress(target=MemorySink(), reservation=reservation)
        start = sink.start(AnswerHead(200, "text/event-stream"))
        try:
            start.send(None)
        except StopIteration:
            # The target never waits.
            pass
        for _ in range(size // CHUNK_BYTES):
            sink.write_nowait(b"data\n")


class LineCostTests(TestCase):
    # Guards against long lines and events that are read anew with each chunk.
    def test_cost_grows_in_proportion_to_the_bytes(self) -> None:
        """At one, two and four times the size."""
        for work in (check_line, collect_event):
            growths: list[float] = []
            while not growths or growths[-1] > MAX_GROWTH:
                self.assertLess(len(growths), ATTEMPTS, (work, growths))
                costs = []
                for factor in (1, 2, 4):
                    before = process_time()
                    work(factor * BASE_BYTES)
                    costs.append(process_time() - before)
                growths.append(max(twice / once for once, twice in pairwise(costs)))
