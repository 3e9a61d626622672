"""Tells whether orders may have waited unread while this process stood still."""

import asyncio
from collections.abc import Callable

from poplarlug.membership.pause import PauseDetector
from poplarlug.types import Seconds

CHECK_INTERVAL_SECONDS = 0.25
MIN_STANDSTILL_SECONDS = 0.75
"""Shorter than the 1 s after which a sender sends an order to another replica; only
then can a newer order overtake it."""

CATCH_UP_SECONDS = 1.0
"""How long after a standstill the orders that arrived during it may still be read."""


class StandstillWatch:
    """
    Detect that the process stood still, and that it may still read what came meanwhile.

    The kernel accepts connections and buffers orders while a process is stopped or its
    VM is frozen. Their senders have given up by then and may have sent newer orders to
    other replicas.

    Parameters
    ----------
    uptime : callable
        Returns seconds of uptime, including time while the VM was suspended.
    """

    def __init__(self, *, uptime: Callable[[], Seconds]) -> None:
        self._uptime = uptime
        self._catches_up_until = float("-inf")
        self._detector = PauseDetector(
            clock=uptime,
            on_pause=self._begin_catching_up,
            min_pause_seconds=MIN_STANDSTILL_SECONDS,
        )

    async def run(self) -> None:
        """Check for standstills periodically until cancelled."""
        while True:
            self._detector.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    @property
    def may_read_late(self) -> bool:
        """Whether an order read now may have arrived before or during a standstill."""
        self._detector.check()
        return self._uptime() < self._catches_up_until

    def _begin_catching_up(self, seconds: Seconds) -> None:
        self._catches_up_until = self._uptime() + CATCH_UP_SECONDS
