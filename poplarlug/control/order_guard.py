"""Separation in time of the orders of two leaders, and their rate limit."""

import asyncio
from collections.abc import Callable

from poplarlug.types import Seconds

MAX_LEASE_SECONDS = 3.0
ORDER_TIMEOUT_SECONDS = 2.0
MAX_DRIFT_SECONDS = 0.5
GUARD_SECONDS = MAX_LEASE_SECONDS + ORDER_TIMEOUT_SECONDS + MAX_DRIFT_SECONDS
GUARD_CHECK_SECONDS = 0.1


class OrderGuard:
    """
    Delay a new leader's orders until those of the previous leader are finished.

    A former leader may send its last order just before its lease ends, and the order
    may take ``ORDER_TIMEOUT_SECONDS``. The first order of a new term therefore waits
    for the maximum lease, that timeout and the maximum clock drift. This protects
    upstreams that ignore fencing numbers; it applies to all upstreams, because a
    single rule is simpler.

    Parameters
    ----------
    is_leader : callable
        Returns whether this replica currently leads within its lease.
    """

    def __init__(self, *, is_leader: Callable[[], bool]) -> None:
        self._is_leader = is_leader
        self._term = 0
        self._ready_at: Seconds = 0.0

    async def wait(self, term: int) -> bool:
        """Wait out the delay; return whether an order of ``term`` may be sent now."""
        loop = asyncio.get_running_loop()
        if term > self._term:
            self._term = term
            self._ready_at = loop.time() + GUARD_SECONDS
        while loop.time() < self._ready_at:
            if not self.may_send(term):
                return False
            remaining = self._ready_at - loop.time()
            await asyncio.sleep(min(GUARD_CHECK_SECONDS, max(0.0, remaining)))
        return self.may_send(term)

    def may_send(self, term: int) -> bool:
        """Return whether ``term`` is the latest term seen and this replica leads."""
        return term == self._term and self._is_leader()


class TokenBucket:
    """
    Token bucket rate limiter.

    It starts empty, so that a change of leader does not double the budget.

    Parameters
    ----------
    uses_per_second : float
        Rate at which tokens are refilled.
    burst : float
        Capacity of the bucket in tokens.
    """

    def __init__(self, *, uses_per_second: float, burst: float) -> None:
        self._uses_per_second = uses_per_second
        self._burst = burst
        self._tokens = 0.0
        self._refilled_at: Seconds | None = None

    def empty(self) -> None:
        """Remove all tokens."""
        self._tokens = 0.0
        self._refilled_at = asyncio.get_running_loop().time()

    async def take(self, timeout_seconds: Seconds) -> bool:
        """Take one token; ``False`` if none is due within ``timeout_seconds``."""
        missing = 1.0 - self._refill()
        if missing > timeout_seconds * self._uses_per_second:
            return False
        # Taken before the wait, so that concurrent waiters get successive tokens.
        self._tokens -= 1.0
        if missing > 0:
            await asyncio.sleep(missing / self._uses_per_second)
        return True

    def _refill(self) -> float:
        now = asyncio.get_running_loop().time()
        if self._refilled_at is None:
            self._refilled_at = now
        gained = (now - self._refilled_at) * self._uses_per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        return self._tokens
