"""The order in which requests wait for a place, and who is turned away."""

import bisect
from typing import NamedTuple

from poplarlug.types import Seconds

MIN_RETRY_SECONDS = 0.1
INTERVAL_WEIGHT = 0.3
"""Weight of the latest start in the running mean of the time between starts."""

MAX_INTERVAL_SECONDS = 2.0
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

    sort_key: tuple[int, Seconds]
    start_by: Seconds
    number: int


class Pace(NamedTuple):
    """When the first place comes, and the time between further ones."""

    first_seconds: Seconds
    interval_seconds: Seconds

    def wait(self, position: int) -> Seconds:
        """Return the wait behind so many others."""
        return self.first_seconds + position * self.interval_seconds


class WaitQueue:
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
        self._interval: Seconds | None = None
        self._last_start: Seconds | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def position(self, sort_key: tuple[int, Seconds]) -> int:
        """Return how many would go before a request of this order."""
        return bisect.bisect_left(
            self._waiters, (sort_key,), key=lambda w: (w.sort_key,)
        )

    def expected_wait(
        self, sort_key: tuple[int, Seconds], seconds_per_slot: Seconds
    ) -> Seconds:
        """
        Return the wait of a request that joins now.

        Parameters
        ----------
        seconds_a_place : float
            Time between two places while nothing was learned from starts.
        """
        interval = seconds_per_slot if self._interval is None else self._interval
        return (self.position(sort_key) + 1) * interval

    def record_start(self, now: Seconds) -> None:
        """Note that a waiting request got its place."""
        if self._last_start is not None:
            interval = min(MAX_INTERVAL_SECONDS, now - self._last_start)
            former = interval if self._interval is None else self._interval
            self._interval = former + INTERVAL_WEIGHT * (interval - former)
        self._last_start = now

    def reset_pace(self) -> None:
        """Forget the pace of the places, since nobody waits."""
        self._interval = self._last_start = None

    def too_late(self, now: Seconds, pace: Pace | None = None) -> tuple[Waiter, ...]:
        """
        Return those whose place is expected too late.

        Parameters
        ----------
        pace : Pace, optional
            When places come, if that is known; else it is learned from starts.
        """
        if pace is None:
            pace = Pace(0.0, 0.0 if self._interval is None else self._interval)
        return tuple(
            waiter
            for position, waiter in enumerate(self._waiters)
            if now + pace.wait(position) > waiter.start_by
        )

    def join(self, sort_key: tuple[int, Seconds], start_by: Seconds) -> Waiter:
        """Add a request and return its place in the line."""
        self._last_number += 1
        waiter = Waiter(sort_key, start_by, self._last_number)
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
