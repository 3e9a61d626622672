"""The order in which requests wait for a slot, and which of them are refused."""

import bisect
from typing import NamedTuple, TypeAlias

from poplarlug.types import Seconds

SortKey: TypeAlias = tuple[float, ...]
"""Rank, whether its team gives way to others, and end of the objective; requests with
smaller keys get a slot first."""

MIN_RETRY_SECONDS = 0.1
INTERVAL_WEIGHT = 0.3
"""Weight of the latest interval in the moving average of the time between starts."""

MAX_INTERVAL_SECONDS = 2.0
MAX_RETRY_SECONDS = 1.5
"""Upper bound of retry times; they are also at most a third of the time that the caller
has left, so that a retry can still succeed."""


class Waiter(NamedTuple):
    """
    A queued request.

    Parameters
    ----------
    sort_key : SortKey
        Its place in the order.
    start_by : float
        Event loop time after which a start would be too late for the caller.
    number : int
        Sequence number that breaks ties between equal keys in order of arrival.
    """

    sort_key: SortKey
    start_by: Seconds
    number: int


class Pace(NamedTuple):
    """When the first slot becomes free, and the interval between further ones."""

    first_seconds: Seconds
    interval_seconds: Seconds

    def wait(self, position: int) -> Seconds:
        """Return the wait with ``position`` requests ahead."""
        return self.first_seconds + position * self.interval_seconds


class WaitQueue:
    """
    Queue of one service's requests at this entry.

    Load pattern: all slots of a region are taken for some seconds while urgent and
    patient requests keep arriving. The more urgent rank goes first, and within a rank
    teams that have no more than their share waiting, and the request whose objective
    ends first. A request that would start too late is
    refused on arrival, or as soon as that becomes apparent, with the time after which
    a retry is worthwhile.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._last_number = 0
        self._interval: Seconds | None = None
        self._last_start: Seconds | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def position(self, sort_key: SortKey) -> int:
        """Return how many requests would go before one with this key."""
        return bisect.bisect_left(
            self._waiters, (sort_key,), key=lambda w: (w.sort_key,)
        )

    def expected_wait(self, sort_key: SortKey, seconds_per_slot: Seconds) -> Seconds:
        """
        Return the expected wait of a request that joins now.

        Parameters
        ----------
        seconds_per_slot : float
            Interval between free slots, used until one was measured from starts.
        """
        interval = seconds_per_slot if self._interval is None else self._interval
        return (self.position(sort_key) + 1) * interval

    def record_start(self, now: Seconds) -> None:
        """Update the measured interval, as a queued request got a slot."""
        if self._last_start is not None:
            interval = min(MAX_INTERVAL_SECONDS, now - self._last_start)
            former = interval if self._interval is None else self._interval
            self._interval = former + INTERVAL_WEIGHT * (interval - former)
        self._last_start = now

    def reset_pace(self) -> None:
        """Forget the measured interval; called when the queue is empty."""
        self._interval = self._last_start = None

    def too_late(self, now: Seconds, pace: Pace | None = None) -> tuple[Waiter, ...]:
        """
        Return the requests whose slots are expected too late.

        Parameters
        ----------
        pace : Pace, optional
            When slots become free, if known; else the measured interval is used.
        """
        if pace is None:
            pace = Pace(0.0, 0.0 if self._interval is None else self._interval)
        return tuple(
            waiter
            for position, waiter in enumerate(self._waiters)
            if now + pace.wait(position) > waiter.start_by
        )

    def join(self, sort_key: SortKey, start_by: Seconds) -> Waiter:
        """Add a request to the queue."""
        self._last_number += 1
        waiter = Waiter(sort_key, start_by, self._last_number)
        bisect.insort(self._waiters, waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that got a slot or whose caller left; a no-op if it is gone."""
        index = bisect.bisect_left(self._waiters, waiter)
        if index < len(self._waiters) and self._waiters[index] == waiter:
            del self._waiters[index]

    def first(self) -> Waiter | None:
        return self._waiters[0] if self._waiters else None

    def in_order(self) -> tuple[Waiter, ...]:
        return tuple(self._waiters)


def retry_after(wait_seconds: Seconds, deadline_seconds: Seconds) -> Seconds:
    """
    Return after how long a refused request should be retried.

    Parameters
    ----------
    wait_seconds : float
        Time until a slot is expected to be free.
    deadline_seconds : float
        Time left until the caller's deadline.
    """
    bound = min(MAX_RETRY_SECONDS, deadline_seconds / 3)
    return max(MIN_RETRY_SECONDS, min(wait_seconds, bound))
