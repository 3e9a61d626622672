"""Tests of the fair queue."""

import asyncio
from unittest import TestCase

from poplarlug.admission.fair_queue import FairQueue, QueuedRequest
from poplarlug.virtualtime import run_virtual


class FairQueueTests(TestCase):
    def test_places_are_shared_and_bounded(self) -> None:
        """One account can't fill the queue, and its total length is bounded."""

        async def main() -> tuple[int, int]:
            loop = asyncio.get_running_loop()
            queue = FairQueue(max_queued=16)
            for account in ["a"] * 40 + ["b", "b"] + [f"c{i}" for i in range(40)]:
                if queue.can_enqueue(account):
                    queue.push(QueuedRequest(account, 1.0, loop.create_future()))
            accounts = []
            while (waiting := queue.pop()) is not None:
                accounts.append(waiting.account)
            return len(accounts), accounts.count("b")

        length, of_b = run_virtual(main())
        self.assertEqual((length, of_b), (16, 2))
