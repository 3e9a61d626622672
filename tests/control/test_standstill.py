"""Tests of telling whether orders may have waited while the process stood still."""

import asyncio

from poplarlug.control.standstill import (
    CATCH_UP_SECONDS,
    MIN_STANDSTILL_SECONDS,
    StandstillWatch,
)
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase


class StandstillWatchTests(QuietTestCase):
    def read_late(self, *, stopped: float, after: float, runs: bool) -> bool:
        """
        Return whether an order may be read late ``after`` a standstill.

        Parameters
        ----------
        runs : bool
            Whether the periodic check runs first, or the order is read before it.
        """

        async def main() -> bool:
            loop = asyncio.get_running_loop()
            suspended = 0.0
            watch = StandstillWatch(uptime=lambda: loop.time() + suspended)
            running = asyncio.ensure_future(watch.run())
            await asyncio.sleep(10.0)
            assert not watch.may_read_late
            if not runs:
                running.cancel()
            suspended = stopped
            await asyncio.sleep(after)
            late = watch.may_read_late
            running.cancel()
            return late

        return run_virtual(main())

    # Guards against orders that a frozen replica reads when it wakes up.
    def test_order_read_right_after_a_standstill_may_be_late(self) -> None:
        """Whether the order or the timer is served first."""
        for runs in (False, True):
            self.assertTrue(self.read_late(stopped=7.0, after=0.0, runs=runs))
            self.assertTrue(self.read_late(stopped=1.0, after=0.3, runs=runs))

    def test_orders_are_taken_again_soon(self) -> None:
        """All that came during the standstill is read by then."""
        after = CATCH_UP_SECONDS + 0.3
        self.assertFalse(self.read_late(stopped=7.0, after=after, runs=True))

    def test_busy_loop_refuses_no_orders(self) -> None:
        """No sender gives up within a lag of the event loop."""
        stopped = MIN_STANDSTILL_SECONDS - 0.3
        self.assertFalse(self.read_late(stopped=stopped, after=0.0, runs=True))

    def test_long_start_is_no_standstill(self) -> None:
        """Nothing is accepted before the start has ended."""

        async def main() -> bool:
            watch = StandstillWatch(uptime=asyncio.get_running_loop().time)
            await asyncio.sleep(3.0)
            return watch.may_read_late

        self.assertFalse(run_virtual(main()))
