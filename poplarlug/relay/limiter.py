"""Keeps this entry's sends within its share of the limits that upstreams name."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from prometheus_client import Counter, Gauge

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import ServiceDemand
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.placement import Full
from poplarlug.relay.rate_shares import (
    Demand,
    RateShare,
    parse_limit,
    share_of_rate,
)
from poplarlug.types import Seconds, ServiceName, UpstreamId, VmName

SHARE_SECONDS = 0.1
"""How long a share stays as it was worked out; what it depends on is told a few times
a second."""

NO_SHARE_SECONDS = 3600.0
"""When an entry without a share may send; longer than any request waits."""

MAX_LOGGED_CHARACTERS = 32
"""Of a limit as it came; a proper one has a few digits."""

_LIMITED = Gauge(
    "poplarlug_relay_limited_upstreams",
    "Upstreams that named a limit on their requests, which is in force here.",
    registry=REGISTRY,
)
_SENDS = Counter(
    "poplarlug_relay_limited_sends_total",
    "Sends to upstreams while they had a limit.",
    registry=REGISTRY,
)
_SPENT = Counter(
    "poplarlug_relay_limit_spent_total",
    "Placements without a limited upstream, as this entry's share was spent.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class _Held(NamedTuple):
    share: RateShare
    limit: float
    at: Seconds


class Limiter:
    """
    Hear limits in upstreams' answers, and divide them among the region's entries.

    Every send counts, whatever it is for: all of them are placed, and a limited
    upstream is no place for one beyond the share.

    Parameters
    ----------
    name : VmName
        This entry.
    limits : NamedLimits
        Shared with all VMs.
    """

    def __init__(
        self,
        *,
        name: VmName,
        deployment: Deployment,
        limits: NamedLimits,
        clock: Callable[[], Seconds],
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._limits = limits
        self._clock = clock
        self._held_by_run: dict[UpstreamRun, _Held] = {}
        self._demands_by_service: dict[ServiceName, Demand] = {}
        self._unreadable: set[UpstreamRun] = set()
        limits.revision.subject.subscribe(
            lambda _: _LIMITED.set(len(limits.rates_by_run))
        )

    def hear(
        self,
        upstream: ServiceUpstream,
        values: Sequence[str],
        *,
        asked: Seconds,
        has_run: bool,
    ) -> None:
        """
        Take in what an upstream's own answer says of its limit.

        Parameters
        ----------
        values : sequence of str
            Values of the header; none of them ends a limit.
        asked : float
            Loop time at which the request was sent.
        has_run : bool
            Whether the upstream ran the request. A refusal without a limit ends none.
        """
        if values:
            rate = parse_limit(values)
            if rate is None:
                self._note_unreadable(upstream, values)
                return
        elif self._limits.is_empty or not has_run:
            return
        else:
            rate = None
        self._limits.hear(upstream.run, rate, asked)

    def note_request(self, service: ServiceName) -> None:
        """Count a request for a service, which is this entry's demand for it."""
        demand = self._demands_by_service.get(service)
        if demand is None:
            demand = self._demands_by_service[service] = Demand(clock=self._clock)
        demand.note_request()

    def demands(self) -> tuple[ServiceDemand, ...]:
        """Return the demand for services whose upstreams in the region have limits."""
        if self.is_idle:
            return ()
        services = {
            upstream.service
            for service in self._demands_by_service
            for upstream in self._deployment.serving(service)
            if self._limits.rate(upstream.run) is not None
        }
        return tuple(
            ServiceDemand(service, round(self._demand(service), 2))
            for service in sorted(services)
        )

    @property
    def is_idle(self) -> bool:
        """Whether no upstream has a limit."""
        return not self._limits.rates_by_run

    def is_limited(self, upstream: ServiceUpstream) -> bool:
        """Return whether an upstream named a limit that is in force."""
        return self._limits.rate(upstream.run) is not None

    def is_limited_id(self, upstream_id: UpstreamId) -> bool:
        """Return the same for an upstream that is known by its id."""
        upstream = self._deployment.upstream(upstream_id)
        return upstream is not None and self.is_limited(upstream)

    def bears(self, upstream: ServiceUpstream) -> bool:
        """Return whether one more request may go to an upstream from this entry."""
        share = self._share(upstream)
        if share is None or share.allows_one:
            return True
        _SPENT.inc()
        return False

    def next_place(self, upstreams: Iterable[ServiceUpstream]) -> Full | None:
        """
        Return when limits let this entry send to one of ``upstreams``.

        Returns
        -------
        Full or None
            ``None`` if one of them has no limit.
        """
        free_in = NO_SHARE_SECONDS
        rate = 0.0
        for upstream in upstreams:
            share = self._share(upstream)
            if share is None:
                return None
            free_in = min(free_in, share.next_in)
            rate += share.rate
        return Full(free_in, 1.0 / rate if rate > 0 else NO_SHARE_SECONDS)

    def note_sent(self, upstream: ServiceUpstream) -> None:
        """Count a send to an upstream."""
        share = self._share(upstream)
        if share is not None:
            share.note_sent()
            _SENDS.inc()

    def describe(self, upstream: ServiceUpstream) -> dict[str, float]:
        """Return fields for the log line of a send."""
        share = self._share(upstream)
        rate = self._limits.rate(upstream.run)
        if share is None or rate is None:
            return {}
        return {"limit": rate, "share": round(share.rate, 2)}

    def forget_gone(self) -> None:
        """Drop what is held of upstreams that are gone or have no limit any more."""
        if self._limits.is_empty and not self._unreadable:
            return
        known = self._deployment.upstream_runs()
        self._limits.keep_only(known)
        self._unreadable &= known
        for run in list(self._held_by_run):
            if self._limits.rate(run) is None:
                del self._held_by_run[run]

    def _share(self, upstream: ServiceUpstream) -> RateShare | None:
        """Return the share of a limited upstream as it is now."""
        rate = self._limits.rate(upstream.run)
        if rate is None:
            return None
        held = self._held_by_run.get(upstream.run)
        now = self._clock()
        if held is not None and held.limit == rate and now < held.at + SHARE_SECONDS:
            return held.share
        share = RateShare(clock=self._clock) if held is None else held.share
        share.set_rate(self._own_rate(upstream, rate))
        self._held_by_run[upstream.run] = _Held(share, rate, now)
        return share

    def _own_rate(self, upstream: ServiceUpstream, rate: float) -> float:
        deployment = self._deployment
        if not deployment.knows_all_entries:
            # As many as there may be would send as much as this one.
            return 0.0
        return share_of_rate(
            self._name,
            rate=rate,
            upstream_id=upstream.id,
            demand_by_entry={
                **deployment.demands_of_others(upstream.service),
                self._name: self._demand(upstream.service),
            },
            sharers=deployment.sharers(deployment.own_region),
        )

    def _demand(self, service: ServiceName) -> float:
        demand = self._demands_by_service.get(service)
        return 0.0 if demand is None else demand.per_second

    def _note_unreadable(
        self, upstream: ServiceUpstream, values: Sequence[str]
    ) -> None:
        if upstream.run in self._unreadable:
            return
        self._unreadable.add(upstream.run)
        _log.warning(
            "an upstream's limit can't be read, and changes nothing",
            upstream=upstream.id,
            value=", ".join(values)[:MAX_LOGGED_CHARACTERS],
        )
