"""Rate limits that upstreams named in their answers, shared among all VMs."""

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds

UNKNOWN_RUN_TTL_SECONDS = 30.0
"""How long a limit is kept while its upstream is unknown; a replica that has just
started knows all upstreams after five announcements, about six seconds."""

MAX_VERSION = 2**48
"""Larger versions are rejected as invalid; an upstream that changed its limit every
millisecond would take thousands of years to reach this one."""

_log = ComponentLogger(prefix="limits")


class NamedLimit(NamedTuple):
    """
    The rate limit that a run of an upstream named last.

    Parameters
    ----------
    run : UpstreamRun
        The run that the limit applies to.
    version : int
        One more than the largest version known to the VM that observed the change;
        the larger version is the newer one.
    rate : float or None
        Requests per second that the upstream accepts from all entries together;
        ``None`` once it no longer names a limit.
    """

    run: UpstreamRun
    version: int
    rate: float | None

    @property
    def is_valid(self) -> bool:
        """Whether a VM of this deployment could have produced this limit."""
        is_rate = self.rate is None or (math.isfinite(self.rate) and self.rate >= 0)
        return is_rate and 0 < self.version <= MAX_VERSION

    def supersedes(self, other: "NamedLimit") -> bool:
        """
        Return whether this limit takes precedence over ``other`` of the same run.

        Limits that VMs observed concurrently have the same version, and the stricter
        one takes precedence. If that is the older one, the upstream's next answer
        replaces it.
        """
        return (self.version, -_rate_or_infinity(self.rate)) > (
            other.version,
            -_rate_or_infinity(other.rate),
        )


class _StoredLimit(NamedTuple):
    limit: NamedLimit
    learned_at: Seconds
    revision: int


class NamedLimits:
    """
    Rate limits of upstreams by run, with a queue of local changes for the other VMs.

    VMs that received the same limits agree on the ones in force, whatever the order of
    arrival. Clocks of VMs are never compared, so that updates delayed by a network
    partition or a frozen VM don't undo later ones.

    Attributes
    ----------
    rates_by_run : dict
        The limits in force, in requests per second.
    revision : Latest of int
        Increases with each change.
    has_pending : asyncio.Event
        Set while local changes wait to be sent; see :meth:`take_pending`.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._stored_by_run: dict[UpstreamRun, _StoredLimit] = {}
        self.rates_by_run: dict[UpstreamRun, float] = {}
        self._pending: dict[UpstreamRun, None] = {}
        self.revision: Latest[int] = Latest(initial=0)
        self.has_pending = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._stored_by_run

    def rate(self, run: UpstreamRun) -> float | None:
        """Return the limit in force for a run, or ``None`` if there is none."""
        return self.rates_by_run.get(run)

    def observe(
        self, run: UpstreamRun, rate: float | None, requested_at: Seconds
    ) -> bool:
        """
        Apply the limit in an upstream's answer; return whether it changed.

        An answer to a request sent before the limit in force was learned may be older
        than that limit, so it can only make the limit stricter.

        Parameters
        ----------
        rate : float or None
            The limit in the answer; ``None`` if it names none.
        requested_at : float
            Time at which the request was sent.
        """
        stored = self._stored_by_run.get(run)
        if stored is None:
            if rate is None:
                return False
            return self._add_and_queue(NamedLimit(run, 1, rate))
        former = stored.limit.rate
        if rate == former:
            return False
        if requested_at < stored.learned_at and _rate_or_infinity(
            rate
        ) > _rate_or_infinity(former):
            return False
        return self._add_and_queue(NamedLimit(run, stored.limit.version + 1, rate))

    def add(self, limit: NamedLimit) -> bool:
        """Apply a limit received from another VM; return whether it took effect."""
        if not limit.is_valid:
            _log.warning("passed over a limit that makes no sense", limit=str(limit))
            return False
        stored = self._stored_by_run.get(limit.run)
        if stored is not None and not limit.supersedes(stored.limit):
            return False
        revision = self.revision.value + 1
        self._stored_by_run[limit.run] = _StoredLimit(limit, self._clock(), revision)
        former = self.rates_by_run.pop(limit.run, None)
        if limit.rate is not None:
            self.rates_by_run[limit.run] = limit.rate
        if limit.rate != former:
            _log.info(
                "an upstream's limit changed",
                upstream=limit.run.id,
                born=limit.run.born,
                version=limit.version,
                rate=limit.rate,
                former=former,
            )
        self.revision.set(revision)
        return True

    def changed_after(self, revision: int) -> tuple[NamedLimit, ...]:
        """Return the limits that changed after a revision."""
        return tuple(
            stored.limit
            for stored in self._stored_by_run.values()
            if stored.revision > revision
        )

    def take_pending(self) -> tuple[NamedLimit, ...]:
        """Remove all local changes from the queue and return them."""
        runs, self._pending = self._pending, {}
        self.has_pending.clear()
        return tuple(
            self._stored_by_run[run].limit for run in runs if run in self._stored_by_run
        )

    def queue_resend(self) -> None:
        """Queue all limits to be sent again."""
        self._queue(self._stored_by_run)

    def requeue(self, limits: Iterable[NamedLimit]) -> None:
        """Queue limits again that could not be sent."""
        self._queue(limit.run for limit in limits)

    def keep_only(self, known: Iterable[UpstreamRun]) -> None:
        """Remove the limits of runs not in ``known``, unless learned only recently."""
        kept = set(known)
        oldest = self._clock() - UNKNOWN_RUN_TTL_SECONDS
        for run, stored in list(self._stored_by_run.items()):
            if run not in kept and stored.learned_at < oldest:
                del self._stored_by_run[run]
                self.rates_by_run.pop(run, None)

    def _add_and_queue(self, limit: NamedLimit) -> bool:
        if not self.add(limit):
            return False
        self._queue([limit.run])
        return True

    def _queue(self, runs: Iterable[UpstreamRun]) -> None:
        self._pending.update(dict.fromkeys(runs))
        if self._pending:
            self.has_pending.set()


def _rate_or_infinity(rate: float | None) -> float:
    return math.inf if rate is None else rate
