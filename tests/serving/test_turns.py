"""Tests of turns on the event loop."""

import asyncio
from unittest import TestCase

from poplarlug.serving.turns import current_turns

TASKS = 20


class TurnsTests(TestCase):
    # Guards against concurrent requests that wait for one slice of every stream.
    def test_round_of_the_loop_has_one_turn(self) -> None:
        """However many tasks wait; cancelled ones take none."""

        async def work(index: int) -> None:
            while True:
                await current_turns().wait()
                taken.append(index)

        async def main() -> None:
            tasks = [asyncio.ensure_future(work(index)) for index in range(TASKS)]
            await asyncio.sleep(0)
            tasks.pop(3).cancel()
            for rounds in range(1, 3 * TASKS):
                await asyncio.sleep(0)
                self.assertLessEqual(len(taken), rounds)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        taken: list[int] = []
        asyncio.run(main())
        expected = [index for index in range(TASKS) if index != 3]
        self.assertEqual(taken[: TASKS - 1], expected)
        self.assertEqual(taken[TASKS - 1 : TASKS + 1], [0, 1])
