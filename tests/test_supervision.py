"""Tests of supervisors under virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import pairwise
from random import Random
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from poplarlug.supervision import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    RestartsExhaustedError,
    Supervisor,
)
from poplarlug.virtualtime import run_virtual

SEED = 7


def supervisor(name: str = "top", **options: Any) -> Supervisor:
    return Supervisor(name=name, rng=Random(SEED), **options)


class QuietTestCase(TestCase):
    def setUp(self) -> None:
        self.enterContext(patch("poplarlug.supervision._log"))


class RestartTests(QuietTestCase):
    def test_failed_child_restarts_after_growing_delays(self) -> None:
        """Delays grow exponentially up to a maximum, within the range of the jitter."""
        starts: list[float] = []

        async def fail() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) <= 12:
                raise ValueError("broken")

        async def main() -> None:
            parent = supervisor(max_restarts=20, window_seconds=1e6)
            parent.add_child("fails", fail)
            await parent.run()

        run_virtual(main())
        delays = [after - before for before, after in pairwise(starts)]
        self.assertEqual(len(delays), 12)
        for number, delay in enumerate(delays):
            base = min(FIRST_BACKOFF_SECONDS * 2**number, MAX_BACKOFF_SECONDS)
            self.assertGreaterEqual(delay, 0.5 * base - 1e-9)
            self.assertLessEqual(delay, 1.5 * base + 1e-9)

    def test_sibling_runs_on(self) -> None:
        """A failing child does not affect its sibling's task."""
        starts = {"fails": 0, "works": 0}

        async def fail() -> None:
            starts["fails"] += 1
            if starts["fails"] < 4:
                raise ValueError("broken")

        async def work() -> None:
            starts["works"] += 1
            await asyncio.sleep(10)

        async def main() -> None:
            parent = supervisor()
            parent.add_child("fails", fail)
            parent.add_child("works", work)
            await parent.run()

        run_virtual(main())
        self.assertEqual(starts, {"fails": 4, "works": 1})

    def test_old_failures_do_not_count(self) -> None:
        """Failures farther apart than the window never end the supervisor."""
        starts = 0

        async def fail_slowly() -> None:
            nonlocal starts
            starts += 1
            await asyncio.sleep(61)
            if starts < 30:
                raise ValueError("broken")

        async def main() -> None:
            parent = supervisor(max_restarts=1, window_seconds=60)
            parent.add_child("fails", fail_slowly)
            await parent.run()

        run_virtual(main())
        self.assertEqual(starts, 30)


class GiveUpTests(QuietTestCase):
    def test_restarts_are_counted_exactly(self) -> None:
        """A child fails ``max_restarts`` + 1 times before its supervisor ends."""
        starts = 0

        async def fail() -> None:
            nonlocal starts
            starts += 1
            raise ValueError("broken")

        async def main() -> None:
            parent = supervisor(max_restarts=3)
            parent.add_child("fails", fail)
            await parent.run()

        with self.assertRaises(RestartsExhaustedError):
            run_virtual(main())
        self.assertEqual(starts, 4)

    def test_supervisor_above_restarts_the_one_that_gave_up(self) -> None:
        """Giving up counts as a failure in the parent, which restarts the group."""
        groups: list[dict[str, int]] = []

        async def run_group() -> None:
            starts = {"fails": 0, "works": 0}
            groups.append(starts)
            group = supervisor("group", max_restarts=2)

            async def fail() -> None:
                starts["fails"] += 1
                if len(groups) < 3:
                    raise ValueError("broken")

            async def work() -> None:
                starts["works"] += 1
                await asyncio.sleep(60)

            group.add_child("fails", fail)
            group.add_child("works", work)
            await group.run()

        async def main() -> None:
            top = supervisor("top")
            top.add_child("group", run_group)
            await top.run()

        run_virtual(main())
        expected = [{"fails": 3, "works": 1}] * 2 + [{"fails": 1, "works": 1}]
        self.assertEqual(groups, expected)


class CancelTests(QuietTestCase):
    def children(self, ended: list[str]) -> dict[str, Callable[[], Awaitable[None]]]:
        def child(name: str) -> Callable[[], Awaitable[None]]:
            async def run() -> None:
                try:
                    await asyncio.sleep(1e6)
                finally:
                    await asyncio.sleep(1)
                    ended.append(name)

            return run

        return {name: child(name) for name in ("transport", "log", "service")}

    def test_children_end_last_started_first(self) -> None:
        """A cancelled supervisor waits for each child, the newest one first."""
        ended: list[str] = []

        async def main() -> float:
            loop = asyncio.get_running_loop()
            parent = supervisor()
            for name, factory in self.children(ended).items():
                parent.add_child(name, factory)
            running = asyncio.ensure_future(parent.run())
            await asyncio.sleep(5)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return loop.time()

        seconds = run_virtual(main())
        self.assertEqual(ended, ["service", "log", "transport"])
        self.assertAlmostEqual(seconds, 8.0)

    def test_giving_up_ends_the_other_children(self) -> None:
        """No child outlives its supervisor."""
        ended: list[str] = []

        async def fail() -> None:
            raise ValueError("broken")

        async def main() -> None:
            parent = supervisor(max_restarts=2)
            for name, factory in self.children(ended).items():
                parent.add_child(name, factory)
            parent.add_child("fails", fail)
            await parent.run()

        with self.assertRaises(RestartsExhaustedError):
            run_virtual(main())
        self.assertEqual(ended, ["service", "log", "transport"])

    def test_child_added_while_running_starts(self) -> None:
        """A child added to a running supervisor starts and is waited for."""
        ended: list[str] = []

        async def work() -> None:
            await asyncio.sleep(3)
            ended.append("late")

        async def main() -> None:
            parent = supervisor()

            async def add() -> None:
                await asyncio.sleep(1)
                parent.add_child("late", work)
                await asyncio.sleep(1)

            parent.add_child("adds", add)
            await parent.run()

        run_virtual(main())
        self.assertEqual(ended, ["late"])
