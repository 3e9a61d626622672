"""Per-entry shares of retry and warm-up budgets common to all entries."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from poplarlug.types import Seconds


class RetryLimits(NamedTuple):
    """
    Limits on retries to a service, summed over all entries.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window.
    extra : float
        Retries allowed in a window in addition to the ratio.
    window_seconds : float
        Length of the sliding window.
    share : float
        Fraction of the limits that all entries together use; the rest is a margin
        for what an entry can't see.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_seconds: Seconds = 10.0
    share: float = 0.7


class RetryBudget:
    """
    One entry's share of the retry budget of a service.

    Load pattern: upstreams fail many requests while their load is high, and retrying
    each request would double the load. The ratio applies to this entry's own requests,
    so it holds regardless of what other entries see. The extra retries are divided
    among the recently seen entries; while their number is unknown (``None``), an entry
    gets none of the extra retries.
    """

    def __init__(self, *, limits: RetryLimits, clock: Callable[[], Seconds]) -> None:
        self._limits = limits
        self._clock = clock
        self._requests: deque[Seconds] = deque()
        self._retries: deque[Seconds] = deque()

    def note_request(self) -> None:
        """Count a request from a caller to the service."""
        self._requests.append(self._clock())

    def has_room(self, entries: int | None) -> bool:
        """Return whether one more retry is within the share."""
        self._drop_old()
        limits = self._limits
        allowed = limits.ratio * len(self._requests)
        if entries is not None:
            allowed += limits.extra / max(1, entries)
        return len(self._retries) + 1 <= limits.share * allowed

    def try_acquire(self, entries: int | None) -> bool:
        """Count one more retry if it is within the share; return whether it is."""
        if not self.has_room(entries):
            return False
        self._retries.append(self._clock())
        return True

    def _drop_old(self) -> None:
        oldest = self._clock() - self._limits.window_seconds
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()


class WarmupLimits(NamedTuple):
    """
    Limits on the requests per second to a cold upstream, summed over all entries.

    Parameters
    ----------
    overage : float
        Multiplier for the service's warm-up rate.
    slack : float
        Requests allowed in addition.
    """

    overage: float = 1.5
    slack: float = 3.0


class WarmupBudget:
    """
    One entry's share of the requests allowed to a cold upstream.

    Load pattern: a zone's upstreams restart cold while its callers wait. The integer
    number of requests per second is divided among the region's entries; the remainder
    goes to the entries with the lowest ``position``.
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
            Requests per second that the service accepts while cold, above 0.
        entries : int
            Number of entries in the region.
        position : int
            Rank of this entry among them for this upstream, starting at 0.
        """
        total = int(rate * self._limits.overage + self._limits.slack)
        share, remainder = divmod(total, max(1, entries))
        share += position < remainder
        self._drop_old()
        return len(self._sent) < share

    @property
    def is_unused(self) -> bool:
        """Whether no request was sent within the window."""
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
"""One second plus the variation in the time that requests take to reach an upstream."""
