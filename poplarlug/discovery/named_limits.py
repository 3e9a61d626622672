"""Which upstreams named a limit on their requests, as all VMs tell each other."""

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds

UNKNOWN_RUN_SECONDS = 30.0
"""How long a limit stays whose upstream isn't known; a replica that has just started
knows all that are there after five announcements, some six seconds."""

MAX_VERSION = 2**48
"""An upstream that changed its limit each millisecond would take an age to get there."""

_log = ComponentLogger(prefix="limits")


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
    def is_sound(self) -> bool:
        """Whether a VM of ours could have said this."""
        is_rate = self.rate is None or (math.isfinite(self.rate) and self.rate >= 0)
        return is_rate and 0 < self.version <= MAX_VERSION

    def overrides(self, other: "NamedLimit") -> bool:
        """
        Return whether this one is in force where both are known.

        Of two that VMs heard at the same time the stricter one is: the next answer
        of the upstream ends it if it was the older one.
        """
        return (self.version, -_bound(self.rate)) > (
            other.version,
            -_bound(other.rate),
        )


class _Held(NamedTuple):
    limit: NamedLimit
    learned: Seconds
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
        self._held_by_run: dict[UpstreamRun, _Held] = {}
        self.rates_by_run: dict[UpstreamRun, float] = {}
        self._news: dict[UpstreamRun, None] = {}
        self.revision: Latest[int] = Latest(initial=0)
        self.has_news = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._held_by_run

    def rate(self, run: UpstreamRun) -> float | None:
        """Return the limit in force, ``None`` where there is none."""
        return self.rates_by_run.get(run)

    def hear(self, run: UpstreamRun, rate: float | None, asked: Seconds) -> bool:
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
            return self._note(NamedLimit(run, 1, rate))
        former = held.limit.rate
        if rate == former:
            return False
        if asked < held.learned and _bound(rate) > _bound(former):
            return False
        return self._note(NamedLimit(run, held.limit.version + 1, rate))

    def add(self, limit: NamedLimit) -> bool:
        """Take in what another VM told; return whether it was news."""
        if not limit.is_sound:
            _log.warning("passed over a limit that makes no sense", limit=str(limit))
            return False
        held = self._held_by_run.get(limit.run)
        if held is not None and not limit.overrides(held.limit):
            return False
        revision = self.revision.value + 1
        self._held_by_run[limit.run] = _Held(limit, self._clock(), revision)
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

    def take_news(self) -> tuple[NamedLimit, ...]:
        """Return own changes that were not told yet."""
        runs, self._news = self._news, {}
        self.has_news.clear()
        return tuple(
            self._held_by_run[run].limit for run in runs if run in self._held_by_run
        )

    def tell_again(self) -> None:
        """Tell others all limits."""
        self._tell(self._held_by_run)

    def put_back(self, limits: Iterable[NamedLimit]) -> None:
        """Keep what could not be told."""
        self._tell(limit.run for limit in limits)

    def keep_only(self, known: Iterable[UpstreamRun]) -> None:
        """Forget the limits of runs that are over."""
        kept = set(known)
        oldest = self._clock() - UNKNOWN_RUN_SECONDS
        for run, held in list(self._held_by_run.items()):
            if run not in kept and held.learned < oldest:
                del self._held_by_run[run]
                self.rates_by_run.pop(run, None)

    def _note(self, limit: NamedLimit) -> bool:
        if not self.add(limit):
            return False
        self._tell([limit.run])
        return True

    def _tell(self, runs: Iterable[UpstreamRun]) -> None:
        self._news.update(dict.fromkeys(runs))
        if self._news:
            self.has_news.set()


def _bound(rate: float | None) -> float:
    return math.inf if rate is None else rate
