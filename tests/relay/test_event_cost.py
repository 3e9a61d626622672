"""Tests of the processor time that the check of a stream's events takes."""

import gc
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from random import Random
from time import process_time
from unittest import TestCase

from poplarlug.relay.events import EventProgress
from tests.relay.test_events import make_progress

BASE_BYTES = 12 * 1024
MAX_GROWTH = 3.0
"""Of the time at twice the size; 2 in proportion, 4 for a quadratic cost."""

MEASURABLE_SECONDS = 0.02
"""Shorter times are in proportion, or too short to matter."""

ATTEMPTS = 4

BYTES_BY_NAME: dict[str, Callable[[int], bytes]] = {
    "newlines": lambda size: b"\n" * size,
    "CR LF": lambda size: b"\r\n" * (size // 2),
    "CR": lambda size: b"\r" * size,
    "comments": lambda size: b":\n\n" * (size // 3),
    "comment lines": lambda size: b":\n" * (size // 2),
    "blank lines before comments": lambda size: b"\n\n\n:x\n\n" * (size // 7),
    "one long comment": lambda size: b":" * size,
    "retry": lambda size: b"retry: 1\n\n" * (size // 10),
    "digits": lambda size: b"retry: " + b"1" * size,
    "data lines": lambda size: b"id: 1\n" + b"data\n" * (size // 5),
    "one long line": lambda size: b"id: 1\ndata: " + b"x" * size,
    "not ASCII": lambda size: b"id: 1\ndata: " + b"\xc3\xa9" * (size // 2),
    "line after CR": lambda size: b"id: 1\ndata: x\r" + b"x" * size,
    "small events": lambda size: b"".join(
        b"id: %d\n\n" % number for number in range(1, size // 9)
    ),
    "events after blank lines": lambda size: b"".join(
        b"\n\nid: %d\n\n" % number for number in range(1, size // 11)
    ),
}
MIXED_PARTS = (b"\n", b"\r\n", b":\n", b":x\n\n", b"retry: 1\n", b"event\n", b"event:")


def mixed_bytes(seed: int, size: int) -> bytes:
    rng = Random(seed)
    parts = rng.sample(MIXED_PARTS, 3)
    return b"".join(rng.choices(parts, k=size // 3))


class EventCostTests(TestCase):
    """Processor time at one, two and four times the size."""

    def cost(self, data: bytes, chunk_bytes: int, *, begun: bytes) -> float:
        """Return the processor time of feeding ``data``, in seconds."""
        progress = make_progress()
        if begun:
            self.assertEqual(self.feed(progress, begun, 64), b"")
            progress.flush_partial()
            self.assertFalse(progress.is_resumable)
        gc.collect()
        before = process_time()
        self.feed(progress, data, chunk_bytes)
        return process_time() - before

    def feed(self, progress: EventProgress, data: bytes, chunk_bytes: int) -> bytes:
        return b"".join(
            progress.feed(data[start : start + chunk_bytes])
            for start in range(0, len(data), chunk_bytes)
        )

    def check(
        self, make: Callable[[int], bytes], chunk_bytes: int, begun: bytes = b""
    ) -> None:
        """Check the growth; other processes may slow single attempts down."""
        growths: list[float] = []
        for _ in range(ATTEMPTS):
            costs = [
                self.cost(make(factor * BASE_BYTES), chunk_bytes, begun=begun)
                for factor in (1, 2, 4)
            ]
            growths.append(
                max(
                    twice / max(once, MEASURABLE_SECONDS)
                    for once, twice in pairwise(costs)
                )
            )
            if growths[-1] < MAX_GROWTH:
                return
        self.fail(f"twice the size took {growths} times as long")

    # Guards against streams of empty lines that block the event loop for seconds.
    def test_cost_grows_in_proportion_to_the_bytes(self) -> None:
        """Whole, in small chunks and a byte at a time."""
        for name, make in BYTES_BY_NAME.items():
            for chunk_bytes in (1 << 20, 40, 1):
                with self.subTest(name, chunk_bytes=chunk_bytes):
                    self.check(make, chunk_bytes)

    def test_cost_of_a_large_event_grows_in_proportion(self) -> None:
        """The rest of an event that was passed on in part is read once."""
        for name in ("one long comment", "digits", "CR", "comment lines"):
            for chunk_bytes in (40, 1):
                with self.subTest(name, chunk_bytes=chunk_bytes):
                    self.check(BYTES_BY_NAME[name], chunk_bytes, b"id: 1\n")

    def test_cost_of_mixed_lines_grows_in_proportion(self) -> None:
        """Any mixture of lines that may stand before an event."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.check(partial(mixed_bytes, seed), 1 << 20)
