"""Termination of attempts that stall or whose caller has disconnected."""

import asyncio
from collections.abc import Callable

from poplarlug.types import Seconds

CHECK_SECONDS = 0.5
IDLE_TIMEOUT_SECONDS = 60.0


class WatchedAttempt:
    """
    One attempt monitored by a :class:`Watchdog`.

    Parameters
    ----------
    scope : asyncio.Timeout
        Timeout that is rescheduled to now in order to end the attempt.
    is_abandoned : callable
        Returns whether the receiver of the answer is gone.

    Attributes
    ----------
    count_reads : callable
        Returns the number of reads from the upstream; 0 until the answer starts.
    reason : str
        Why the watchdog ended the attempt; empty if it did not.
    """

    def __init__(
        self, *, scope: asyncio.Timeout, is_abandoned: Callable[[], bool]
    ) -> None:
        self.count_reads: Callable[[], int] = lambda: 0
        self.reason = ""
        self._scope = scope
        self._is_abandoned = is_abandoned
        self._last_reads = 0
        self._idle_seconds = 0.0

    def check(self, now: Seconds) -> None:
        """End the attempt if it has been idle for too long or was abandoned."""
        reads = self.count_reads()
        progressed = reads != self._last_reads
        self._last_reads = reads
        self._idle_seconds = 0.0 if progressed else self._idle_seconds + CHECK_SECONDS
        if self._is_abandoned():
            self._end("the caller is gone", now)
        elif self._idle_seconds > IDLE_TIMEOUT_SECONDS:
            self._end(f"the upstream sent nothing for {IDLE_TIMEOUT_SECONDS} s", now)

    def _end(self, reason: str, now: Seconds) -> None:
        if not self.reason and not self._scope.expired():
            self.reason = reason
            self._scope.reschedule(now)


class Watchdog:
    """
    Check all attempts with one timer, which is stopped while there are none.

    A deadline per chunk would cost two timer operations for each token; this way
    a token only increments a counter.
    """

    def __init__(self) -> None:
        self._watched: set[WatchedAttempt] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, watched: WatchedAttempt) -> None:
        self._watched.add(watched)
        if self._timer is None:
            self._schedule()

    def remove(self, watched: WatchedAttempt) -> None:
        self._watched.discard(watched)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_SECONDS, self._check_all)

    def _check_all(self) -> None:
        self._timer = None
        now = asyncio.get_running_loop().time()
        for watched in tuple(self._watched):
            watched.check(now)
        if self._watched:
            self._schedule()
