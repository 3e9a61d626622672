"""Keeps the orders of two leaders apart in time and within a budget."""

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
    Hold back a leader's orders until those of the leader before are over.

    A former leader may send its last order just before its lease ends, and the
    order may take ``ORDER_TIMEOUT_SECONDS``. So a new term's first order waits for
    the longest lease, that timeout and the drift of clocks. This guards upstreams
    that ignore fencing numbers; it is kept for all, since one rule is simpler.

    Parameters
    ----------
    is_leader : callable
        Whether this replica leads now, within its lease.
    """

    def __init__(self, *, is_leader: Callable[[], bool]) -> None:
        self._is_leader = is_leader
        self._term = 0
        self._ready_at: Seconds = 0.0

    async def wait(self, term: int) -> bool:
        """Return whether an order of ``term`` may be sent now."""
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
        """Return whether ``term`` is the last one seen and still leads."""
        return term == self._term and self._is_leader()


class TokenBucket:
    """
    A budget of so many uses a second, with bursts.

    It starts empty, so that a change of leaders does not double the budget.

    Parameters
    ----------
    uses_per_second : float
        Rate at which tokens come back.
    burst : float
        Most tokens held at a time.
    """

    def __init__(self, *, uses_per_second: float, burst: float) -> None:
        self._uses_per_second = uses_per_second
        self._burst = burst
        self._tokens = 0.0
        self._counted_at: Seconds | None = None

    def empty(self) -> None:
        """Take all tokens away."""
        self._tokens = 0.0
        self._counted_at = asyncio.get_running_loop().time()

    async def take(self, timeout_seconds: Seconds) -> bool:
        """Take one token; ``False`` when none comes in ``timeout_seconds``."""
        missing = 1.0 - self._refill()
        if missing > timeout_seconds * self._uses_per_second:
            return False
        # Taken before the wait, so that waiters come one after the other.
        self._tokens -= 1.0
        if missing > 0:
            await asyncio.sleep(missing / self._uses_per_second)
        return True

    def _refill(self) -> float:
        now = asyncio.get_running_loop().time()
        if self._counted_at is None:
            self._counted_at = now
        gained = (now - self._counted_at) * self._uses_per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._counted_at = now
        return self._tokens
