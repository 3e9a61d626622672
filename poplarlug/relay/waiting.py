"""The order in which requests wait for a place, and who is turned away."""

import bisect
from typing import NamedTuple

from poplarlug.types import Seconds

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.5
"""Callers come back within a third of the time that they have left."""


class Waiter(NamedTuple):
    """
    A request that waits.

    Parameters
    ----------
    order : tuple
        Smaller ones get a place first.
    start_by : float
        Loop time after which a start would come too late for the caller.
    number : int
        Tells equal orders apart, in the order of arrival.
    """

    order: tuple[int, Seconds]
    start_by: Seconds
    number: int


class WaitingLine:
    """
    Requests of one service that wait at this entry.

    Load pattern: all places of a region are taken for some seconds while urgent
    and patient requests keep coming. The more urgent rank goes first, and within
    a rank the one whose objective ends first. A request whose start would come
    too late is turned away when it comes, or as soon as that shows, with the time
    at which it is worth coming back.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def position(self, order: tuple[int, Seconds]) -> int:
        """Return how many would go before a request of this order."""
        return bisect.bisect_left(self._waiters, (order,), key=lambda w: (w.order,))

    def expected_wait(
        self, order: tuple[int, Seconds], seconds_a_place: Seconds
    ) -> Seconds:
        """Return the wait of a request that joins now."""
        return (self.position(order) + 1) * seconds_a_place

    def join(self, order: tuple[int, Seconds], start_by: Seconds) -> Waiter:
        """Add a request and return its place in the line."""
        self._last_number += 1
        waiter = Waiter(order, start_by, self._last_number)
        bisect.insort(self._waiters, waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Take a request out, because it got a place or its caller left."""
        index = bisect.bisect_left(self._waiters, waiter)
        if index < len(self._waiters) and self._waiters[index] == waiter:
            del self._waiters[index]

    def first(self) -> Waiter | None:
        return self._waiters[0] if self._waiters else None

    def in_order(self) -> tuple[Waiter, ...]:
        return tuple(self._waiters)


def retry_after(wait_seconds: Seconds, deadline_seconds: Seconds) -> Seconds:
    """
    Return when a request that is turned away should come back.

    Parameters
    ----------
    wait_seconds : float
        When a place is expected to be free.
    deadline_seconds : float
        How long the caller will still wait.
    """
    bound = min(MAX_RETRY_SECONDS, deadline_seconds / 3)
    return max(MIN_RETRY_SECONDS, min(wait_seconds, bound))
