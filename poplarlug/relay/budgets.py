"""Shares of budgets that all entries spend from together."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from poplarlug.types import Seconds


class RetryLimits(NamedTuple):
    """
    Bounds on repeated sends to a service, summed over all entries.

    Parameters
    ----------
    ratio : float
        Repeats for each request of the window.
    extra : int
        Repeats beyond that in a window.
    window_seconds : float
        Length of the sliding window.
    share : float
        Part of the bounds that all entries together use; the rest is for what
        an entry can't see.
    """

    ratio: float = 0.2
    extra: int = 50
    window_seconds: Seconds = 10.0
    share: float = 0.7


class RetryBudget:
    """
    An entry's share of the repeats to one service.

    Load pattern: upstreams that fail many requests while their load is high; a
    repeat of each would double the load. The ratio counts this entry's own
    requests, which holds whatever the other entries see. The extra repeats are
    divided by the entries that were there lately; while these are not known
    (``None``) an entry has no part of them.
    """

    def __init__(self, *, limits: RetryLimits, clock: Callable[[], Seconds]) -> None:
        self._limits = limits
        self._clock = clock
        self._requests: deque[Seconds] = deque()
        self._repeats: deque[Seconds] = deque()

    def note_request(self) -> None:
        """Count a caller's request to the service."""
        self._requests.append(self._clock())

    def has_room(self, entries: int | None) -> bool:
        """Return whether one more repeat is within the share."""
        self._drop_old()
        limits = self._limits
        allowed = limits.ratio * len(self._requests)
        if entries is not None:
            allowed += limits.extra / max(1, entries)
        return len(self._repeats) + 1 <= limits.share * allowed

    def try_acquire(self, entries: int | None) -> bool:
        """Return whether one more repeat is within the share, and count it."""
        if not self.has_room(entries):
            return False
        self._repeats.append(self._clock())
        return True

    def _drop_old(self) -> None:
        oldest = self._clock() - self._limits.window_seconds
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


class WarmupLimits(NamedTuple):
    """
    Bounds on the requests to a cold upstream in any second, over all entries.

    Parameters
    ----------
    overage : float
        Factor on the service's rate.
    slack : float
        Requests beyond that.
    """

    overage: float = 1.5
    slack: float = 3.0


class WarmupBudget:
    """
    An entry's share of the requests that one cold upstream bears.

    Load pattern: a zone's upstreams come back cold while its callers wait. The
    whole number of requests in a second is divided among the region's entries;
    what is left over goes to the first ones by ``position``.
    """

    def __init__(self, *, limits: WarmupLimits, clock: Callable[[], Seconds]) -> None:
        self._limits = limits
        self._clock = clock
        self._sent: deque[Seconds] = deque()

    def allows(self, *, rate: float, entries: int, position: int) -> bool:
        """
        Return whether one more request may be sent now.

        Parameters
        ----------
        rate : float
            Requests a second that the service says it bears while cold, above 0.
        entries : int
            Entries of the region.
        position : int
            Rank of this entry among them for this upstream, from 0.
        """
        whole = int(rate * self._limits.overage + self._limits.slack)
        share, rest = divmod(whole, max(1, entries))
        share += position < rest
        self._drop_old()
        return len(self._sent) < share

    @property
    def is_unused(self) -> bool:
        """Whether nothing was sent within the window."""
        self._drop_old()
        return not self._sent

    def note_sent(self) -> None:
        """Count a request to the upstream."""
        self._sent.append(self._clock())

    def _drop_old(self) -> None:
        oldest = self._clock() - WINDOW_SECONDS
        while self._sent and self._sent[0] < oldest:
            self._sent.popleft()


WINDOW_SECONDS = 1.25
"""A second, and the spread of the times that requests take to an upstream."""
