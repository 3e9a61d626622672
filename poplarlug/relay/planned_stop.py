"""Which requests an entry may still pass on during a planned stop."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from poplarlug.relay.requests import RelayRequest
from poplarlug.types import Seconds

ACCEPT_SHARE = 0.3
"""Share of the grace period during which a stopping entry still accepts requests; the
rest is for the requests in progress."""

LISTEN_SHARE = 0.55
"""Share of the grace period during which a stopping entry keeps listening, even when
idle, so that callers that still connect are told to use another entry."""

DRAIN_LIMIT_SHARE = 0.88
"""Share of the grace period after which the drain ends, even with requests in
progress."""

UNCERTAIN_START_SECONDS = 3.0
"""From this time of a stop on, only requests are passed on whose deadline ends them
within the drain. Whoever sends one so late must get an answer."""

LEAVING_RETRY_SECONDS = 0.1
"""Retry time of a request that a stopping entry refuses; another entry takes it."""

ANSWER_SECONDS = 0.1
"""How long an answer may take to be written once its request has ended."""

REPEATABLE_DEVIATIONS = 2.0
UNREPEATABLE_DEVIATIONS = 4.0
"""Mean deviations above the mean duration within which a request is expected to end."""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
"""Weights of the latest duration in the moving averages, as of TCP's round-trip
estimates (RFC 6298)."""

MAX_ROUTES = 8192
"""Routes whose durations are held; more than a route table has."""


class DurationEstimate(NamedTuple):
    """Moving averages of a route's durations, in seconds."""

    mean: Seconds
    deviation: Seconds

    def updated(self, seconds: Seconds) -> "DurationEstimate":
        error = seconds - self.mean
        deviation = self.deviation + DEVIATION_WEIGHT * (abs(error) - self.deviation)
        return DurationEstimate(self.mean + MEAN_WEIGHT * error, deviation)


class PlannedStop:
    """
    Track a planned stop and decide which requests still end within it.

    Load pattern: entries are restarted in turn under load, while callers keep their
    connections and send bodies slowly. A request that is cut at the end of the grace
    period may have run; one that is refused in time is sent to another entry.

    Attributes
    ----------
    has_drained : bool
        Whether the drain has ended, and all requests with it.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._began_at: Seconds | None = None
        self._grace_seconds: Seconds = 0.0
        self._estimates_by_route: dict[str, DurationEstimate] = {}
        self._scopes: set[asyncio.Timeout] = set()
        self.has_drained = False

    def begin(self, grace_seconds: Seconds) -> None:
        """Begin the stop; the process is killed after ``grace_seconds``."""
        self._began_at = self._clock()
        self._grace_seconds = grace_seconds

    @property
    def is_stopping(self) -> bool:
        return self._began_at is not None

    @property
    def elapsed_share(self) -> float:
        """Share of the grace period that has passed; 0 before the stop."""
        if self._began_at is None:
            return 0.0
        return (self._clock() - self._began_at) / self._grace_seconds

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are read; early in a stop, they still are."""
        return not self.is_stopping or self.elapsed_share < ACCEPT_SHARE

    def end_requests(self) -> None:
        """End all requests in progress and to come, as the drain has ended."""
        self.has_drained = True
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now)

    @asynccontextmanager
    async def scope(self) -> AsyncIterator[asyncio.Timeout]:
        """
        Cancel the block when the drain ends.

        Yields
        ------
        asyncio.Timeout
            Tells behind the block, by ``expired()``, whether it was cancelled.
        """
        scope = asyncio.timeout(0 if self.has_drained else None)
        try:
            async with scope:
                self._scopes.add(scope)
                try:
                    yield scope
                finally:
                    self._scopes.discard(scope)
        except TimeoutError:
            if not scope.expired():
                raise

    def note_duration(self, route: str, seconds: Seconds) -> None:
        """Record how long a request on a route took to its complete answer."""
        known = self._estimates_by_route.get(route)
        if known is None and len(self._estimates_by_route) >= MAX_ROUTES:
            del self._estimates_by_route[next(iter(self._estimates_by_route))]
        self._estimates_by_route[route] = (
            DurationEstimate(seconds, seconds / 2)
            if known is None
            else known.updated(seconds)
        )

    def may_start(self, request: RelayRequest) -> bool:
        """
        Return whether a request may be passed on now.

        During a stop only if its deadline ends it within the drain or, early in the
        stop, if requests on its route usually take less than the time left.
        """
        if self._began_at is None:
            return True
        now = self._clock()
        ends_at = self._began_at + DRAIN_LIMIT_SHARE * self._grace_seconds
        ends_at -= ANSWER_SECONDS
        if request.deadline <= ends_at:
            return True
        estimate = self._estimates_by_route.get(request.route.name)
        if estimate is None or now - self._began_at >= UNCERTAIN_START_SECONDS:
            return False
        deviations = (
            REPEATABLE_DEVIATIONS
            if request.route.is_repeatable
            else UNREPEATABLE_DEVIATIONS
        )
        return now + estimate.mean + deviations * estimate.deviation <= ends_at
