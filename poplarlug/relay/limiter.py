"""Limits this entry's sends to its share of the rate limits set by upstreams."""

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
    RequestRate,
    TokenBucket,
    parse_limit,
    share_of_rate,
)
from poplarlug.types import Seconds, ServiceName, VmName

SHARE_CACHE_SECONDS = 0.1
"""Lifetime of a computed share; its inputs are reported a few times per second."""

NO_SHARE_SECONDS = 3600.0
"""Delay reported by an entry without a share; longer than any request waits."""

MAX_LOGGED_CHARACTERS = 32
"""Length to which a malformed limit is cut; a valid one has a few digits."""

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


class _CachedShare(NamedTuple):
    share: TokenBucket
    limit: float
    at: Seconds


class Limiter:
    """
    Read rate limits from upstream responses and divide them among the region's entries.

    Every send counts, whatever its purpose: all sends go through placement, which skips
    a limited upstream once this entry's share is used up.

    Parameters
    ----------
    name : VmName
        Name of this entry.
    limits : NamedLimits
        Limits in force, shared with all VMs.
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
        self._cached_shares_by_run: dict[UpstreamRun, _CachedShare] = {}
        self._demands_by_service: dict[ServiceName, RequestRate] = {}
        self._malformed: set[UpstreamRun] = set()
        limits.revision.subject.subscribe(
            lambda _: _LIMITED.set(len(limits.rates_by_run))
        )

    def note_limit(
        self,
        upstream: ServiceUpstream,
        values: Sequence[str],
        *,
        requested_at: Seconds,
        has_run: bool,
    ) -> None:
        """
        Update the limit of an upstream from one of its own responses.

        Parameters
        ----------
        values : sequence of str
            Values of the limit header; an empty sequence ends the limit.
        requested_at : float
            Event loop time at which the request was sent.
        has_run : bool
            Whether the upstream ran the request. A refusal without the header doesn't
            end a limit.
        """
        if values:
            rate = parse_limit(values)
            if rate is None:
                self._log_malformed(upstream, values)
                return
        elif self._limits.is_empty or not has_run:
            return
        else:
            rate = None
        self._limits.observe(upstream.run, rate, requested_at)

    def note_request(self, service: ServiceName) -> None:
        """Count a request towards this entry's demand for a service."""
        demand = self._demands_by_service.get(service)
        if demand is None:
            demand = self._demands_by_service[service] = RequestRate(clock=self._clock)
        demand.note_request()

    def demands(self) -> tuple[ServiceDemand, ...]:
        """Return the demand for services that have limited upstreams in the region."""
        if self.has_no_limits:
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
    def has_no_limits(self) -> bool:
        """Whether no upstream has a limit."""
        return not self._limits.rates_by_run

    def is_limited(self, upstream: ServiceUpstream) -> bool:
        """Return whether a limit is in force for an upstream."""
        return self._limits.rate(upstream.run) is not None

    def allows_send(self, upstream: ServiceUpstream) -> bool:
        """Return whether this entry may send one more request to an upstream."""
        share = self._share(upstream)
        if share is None or share.allows_request:
            return True
        _SPENT.inc()
        return False

    def next_allowed_send(self, upstreams: Iterable[ServiceUpstream]) -> Full | None:
        """
        Return when the limits next allow a send to one of ``upstreams``.

        Returns
        -------
        Full or None
            ``None`` if one of the upstreams has no limit.
        """
        free_in = NO_SHARE_SECONDS
        rate = 0.0
        for upstream in upstreams:
            share = self._share(upstream)
            if share is None:
                return None
            free_in = min(free_in, share.seconds_until_allowed)
            rate += share.rate
        return Full(free_in, 1.0 / rate if rate > 0 else NO_SHARE_SECONDS)

    def note_sent(self, upstream: ServiceUpstream) -> None:
        """Count a send to an upstream."""
        share = self._share(upstream)
        if share is not None:
            share.note_sent()
            _SENDS.inc()

    def log_fields(self, upstream: ServiceUpstream) -> dict[str, float]:
        """Return the limit and share as fields for the log line of a send."""
        share = self._share(upstream)
        rate = self._limits.rate(upstream.run)
        if share is None or rate is None:
            return {}
        return {"limit": rate, "share": round(share.rate, 2)}

    def forget_gone(self) -> None:
        """Drop the state of upstreams that are gone or no longer limited."""
        if self._limits.is_empty and not self._malformed:
            return
        known = self._deployment.upstream_runs()
        self._limits.keep_only(known)
        self._malformed &= known
        for run in list(self._cached_shares_by_run):
            if self._limits.rate(run) is None:
                del self._cached_shares_by_run[run]

    def _share(self, upstream: ServiceUpstream) -> TokenBucket | None:
        """Return this entry's current share of an upstream's limit, if it has one."""
        rate = self._limits.rate(upstream.run)
        if rate is None:
            return None
        cached = self._cached_shares_by_run.get(upstream.run)
        now = self._clock()
        if (
            cached is not None
            and cached.limit == rate
            and now < cached.at + SHARE_CACHE_SECONDS
        ):
            return cached.share
        share = TokenBucket(clock=self._clock) if cached is None else cached.share
        share.set_rate(self._own_rate(upstream, rate))
        self._cached_shares_by_run[upstream.run] = _CachedShare(share, rate, now)
        return share

    def _own_rate(self, upstream: ServiceUpstream, rate: float) -> float:
        deployment = self._deployment
        if not deployment.knows_all_entries:
            # Each of an unknown number of entries would otherwise use the full rate.
            return 0.0
        return share_of_rate(
            self._name,
            rate=rate,
            upstream_id=upstream.id,
            demand_by_entry={
                **deployment.demands_of_others(upstream.service),
                self._name: self._demand(upstream.service),
            },
            sharers=deployment.entries_sharing_budgets(deployment.own_region),
        )

    def _demand(self, service: ServiceName) -> float:
        demand = self._demands_by_service.get(service)
        return 0.0 if demand is None else demand.per_second

    def _log_malformed(self, upstream: ServiceUpstream, values: Sequence[str]) -> None:
        if upstream.run in self._malformed:
            return
        self._malformed.add(upstream.run)
        _log.warning(
            "an upstream's limit can't be read, and changes nothing",
            upstream=upstream.id,
            value=", ".join(values)[:MAX_LOGGED_CHARACTERS],
        )
