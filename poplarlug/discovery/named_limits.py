"""Which upstreams named a limit on their requests, as all VMs tell each other."""

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun
from poplarlug.latest import Latest
from poplarlug.logs import PartLog
from poplarlug.types import Seconds

UNKNOWN_RUN_SECONDS = 30.0
"""How long a limit stays whose upstream isn't known; a replica that has just started
knows all that are there after five announcements, some six seconds."""

MAX_VERSION = 2**48
"""An upstream that changed its limit each millisecond would take an age to get there."""

_log = PartLog(prefix="limits")


class NamedLimit(NamedTuple):
    """
    What a run of an upstream last said of its limit.

    Parameters
    ----------
    run : UpstreamRun
        Who said it.
    version : int
        Grows with each change that the upstream said, as far as the VM that heard
        it knew of the others; the larger one is the newer one.
    rate : float or None
        Requests a second that it takes from all entries together; ``None`` once it
        names no limit any more.
    """

    run: UpstreamRun
    version: int
    rate: float | None

    @property
    def is_valid(self) -> bool:
        """Whether a VM of ours could have said this."""
        is_rate = self.rate is None or (math.isfinite(self.rate) and self.rate >= 0)
        return is_rate and 0 < self.version <= MAX_VERSION

    def supersedes(self, other: "NamedLimit") -> bool:
        """
        Return whether this one is in force where both are known.

        Of two that VMs heard at the same time the stricter one is: the next answer
        of the upstream ends it if it was the older one.
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
    The limits of upstreams by run, with what is to be told to others.

    All VMs that know the same limits hold the same ones, whatever the order in which
    they learned of them. No clocks are compared, so that news which a cut or a frozen
    VM held up undoes nothing that came later.

    Attributes
    ----------
    rates_by_run : dict
        The limits in force, in requests a second.
    revision : Latest of int
        Grows with each change.
    has_news : asyncio.Event
        Set while own changes wait to be told; see :meth:`take_news`.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._held_by_run: dict[UpstreamRun, _StoredLimit] = {}
        self.rates_by_run: dict[UpstreamRun, float] = {}
        self._pending: dict[UpstreamRun, None] = {}
        self.revision: Latest[int] = Latest(initial=0)
        self.has_pending = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._held_by_run

    def rate(self, run: UpstreamRun) -> float | None:
        """Return the limit in force, ``None`` where there is none."""
        return self.rates_by_run.get(run)

    def observe(
        self, run: UpstreamRun, rate: float | None, requested_at: Seconds
    ) -> bool:
        """
        Take in what an answer of an upstream said; return whether it was news.

        An answer to a request that was sent before the limit in force was learned
        may be older than that one, so it can only make it stricter.

        Parameters
        ----------
        rate : float or None
            ``None`` for an answer that names no limit.
        asked : float
            Time at which the request was sent.
        """
        held = self._held_by_run.get(run)
        if held is None:
            if rate is None:
                return False
            return self._add_local(NamedLimit(run, 1, rate))
        former = held.limit.rate
        if rate == former:
            return False
        if requested_at < held.learned_at and _rate_or_infinity(
            rate
        ) > _rate_or_infinity(former):
            return False
        return self._add_local(NamedLimit(run, held.limit.version + 1, rate))

    def add(self, limit: NamedLimit) -> bool:
        """Take in what another VM told; return whether it was news."""
        if not limit.is_valid:
            _log.warning("passed over a limit that makes no sense", limit=str(limit))
            return False
        held = self._held_by_run.get(limit.run)
        if held is not None and not limit.supersedes(held.limit):
            return False
        revision = self.revision.value + 1
        self._held_by_run[limit.run] = _StoredLimit(limit, self._clock(), revision)
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
        """Return what changed after a revision."""
        return tuple(
            held.limit
            for held in self._held_by_run.values()
            if held.revision > revision
        )

    def take_pending(self) -> tuple[NamedLimit, ...]:
        """Return own changes that were not told yet."""
        runs, self._pending = self._pending, {}
        self.has_pending.clear()
        return tuple(
            self._held_by_run[run].limit for run in runs if run in self._held_by_run
        )

    def queue_resend(self) -> None:
        """Tell others all limits."""
        self._queue(self._held_by_run)

    def requeue(self, limits: Iterable[NamedLimit]) -> None:
        """Keep what could not be told."""
        self._queue(limit.run for limit in limits)

    def keep_only(self, known: Iterable[UpstreamRun]) -> None:
        """Forget the limits of runs that are over."""
        kept = set(known)
        oldest = self._clock() - UNKNOWN_RUN_SECONDS
        for run, held in list(self._held_by_run.items()):
            if run not in kept and held.learned_at < oldest:
                del self._held_by_run[run]
                self.rates_by_run.pop(run, None)

    def _add_local(self, limit: NamedLimit) -> bool:
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
