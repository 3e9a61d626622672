"""What a placement is decided on: upstreams, regions and caches as this entry sees them."""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

import xxhash

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import EntryRecord, RegionLoad, ServiceUpstream
from poplarlug.logs import ComponentLogger
from poplarlug.relay.affinity import (
    FAR_HELD_SHARE,
    Affinity,
    Homes,
    make_affinity,
    shared_tokens,
)
from poplarlug.relay.budgets import WarmupBudget, WarmupLimits
from poplarlug.relay.engine_model import (
    ANSWER_TOKEN_SECONDS,
    EngineLoad,
    read_seconds,
)
from poplarlug.relay.in_flight import Flight, InFlight
from poplarlug.relay.limiter import Limiter
from poplarlug.relay.part_cache import PartCache
from poplarlug.relay.placement import Candidate, Demand, Full, RemoteRegion
from poplarlug.relay.rate_shares import rank_by_hash
from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.routes import RoutedService
from poplarlug.types import (
    Fingerprint,
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
)

_log = ComponentLogger(prefix="relay")

ANSWER_SHARE = 0.2
"""Part of a route's time that is kept for the answer after its first event."""

MIN_PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
"""Callers leave a stream that gives nothing for the longest of these: a time, some
objectives, some of the longest pauses; the users' deployments say so."""

COLD_RETRY_SECONDS = 0.5
"""When a cold upstream bears the next request; its bound counts by the second."""

REGION_CACHE_TOKENS = 400_000
"""Cached tokens that an entry counts on in another region; two engines hold more."""


class Tried(NamedTuple):
    """Where a request was before, or was refused: not to be used again."""

    upstreams: frozenset[UpstreamId] = frozenset()
    regions: frozenset[RegionName] = frozenset()

    def with_upstream(self, upstream_id: UpstreamId) -> "Tried":
        return self._replace(upstreams=self.upstreams | {upstream_id})

    def with_region(self, region: RegionName) -> "Tried":
        return self._replace(regions=self.regions | {region})


REGION_PAUSE_SECONDS = 0.5
"""First time for which a region that failed is the last choice for a service."""

MAX_REGION_PAUSE_SECONDS = 4.0
"""The time doubles with each failure in a row up to this; an upstream that gives no
sign is known to be lost after six seconds."""


class _Pause(NamedTuple):
    until: Seconds
    failures: int


class FleetView:
    """
    Views of the deployment for one request's placement, and what they depend on.

    Parameters
    ----------
    name : VmName
        This entry.
    limits : NamedLimits
        Limits that upstreams named, shared with all VMs.
    """

    def __init__(
        self,
        *,
        name: VmName,
        deployment: Deployment,
        in_flight: InFlight,
        warmup: WarmupLimits,
        limits: NamedLimits,
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self.deployment = deployment
        self.in_flight = in_flight
        self.limiter = Limiter(
            name=name, deployment=deployment, limits=limits, clock=clock
        )
        self._name = name
        self._warmup_limits = warmup
        self._rng = rng
        self._clock = clock
        self._warmups_by_id: dict[UpstreamId, WarmupBudget] = {}
        self._caches_by_region: dict[RegionName, PartCache] = {}
        self._homes_by_service: dict[ServiceName, Homes] = {}
        self._avoided_until_by_entry: dict[VmName, Seconds] = {}
        self._pauses_by_region: dict[tuple[ServiceName, RegionName], _Pause] = {}

    def send_to(
        self, candidate: Candidate, service: RoutedService, request: RelayRequest
    ) -> tuple[ServiceUpstream, Flight]:
        """Note that a request goes to an upstream of the region."""
        upstream = self.deployment.upstream(candidate.id)
        assert upstream is not None
        if self._is_cold(upstream):
            self._warmup_of(upstream.id).note_sent()
        if not self.limiter.is_idle:
            self.limiter.note_sent(upstream)
        flight = self.in_flight.started(
            upstream, service.engine, request, candidate.read_seconds
        )
        return upstream, flight

    def hand_to(self, region: RegionName, request: RelayRequest) -> None:
        """Note that a request goes to another region, whose caches get its parts."""
        self._cache_of(region).used(request.prompt)

    def avoid_entry(self, name: VmName, seconds: Seconds) -> None:
        """Hand nothing to an entry for a while."""
        self._avoided_until_by_entry[name] = self._clock() + seconds

    def note_region_failed(self, service: ServiceName, region: RegionName) -> None:
        """Make a region the last choice for a while; it may be cut off or empty."""
        key = service, region
        failures = self._pauses_by_region.get(key, _Pause(0.0, 0)).failures
        seconds = min(MAX_REGION_PAUSE_SECONDS, REGION_PAUSE_SECONDS * 2**failures)
        pause = _Pause(self._clock() + seconds, min(failures + 1, 10))
        self._pauses_by_region[key] = pause
        _log.info(
            "a region is the last choice",
            service=service,
            region=region,
            seconds=seconds,
            failures=pause.failures,
        )

    def note_entry_failed(self, service: ServiceName, region: RegionName) -> None:
        """Make a region the last choice once two of its entries are avoided."""
        now = self._clock()
        entries = self.deployment.entries_of(region)
        avoided = sum(
            self._avoided_until_by_entry.get(entry.name, now) > now for entry in entries
        )
        if avoided >= min(2, len(entries)):
            self.note_region_failed(service, region)

    def note_region_served(self, service: ServiceName, region: RegionName) -> None:
        """Trust a region again that took a request."""
        pause = self._pauses_by_region.pop((service, region), None)
        if pause is not None:
            _log.info(
                "a region serves again",
                service=service,
                region=region,
                failures=pause.failures,
            )

    def forget_gone(self) -> None:
        """
        Drop what is held of upstreams that are gone.

        A replica that has just started may not know an upstream that is there, so
        what was sent to a cold one counts until its window is over.
        """
        known = self.deployment.upstream_ids()
        self.in_flight.keep_only(known)
        self.limiter.forget_gone()
        for upstream_id, budget in list(self._warmups_by_id.items()):
            if upstream_id not in known and budget.is_unspent:
                del self._warmups_by_id[upstream_id]

    def affinity(self, request: RelayRequest, demand: Demand) -> Affinity:
        """Return who holds, or should hold, the shared parts of a prompt."""
        prompt = request.prompt
        shared = shared_tokens(prompt)
        if not shared:
            return Affinity()
        own = self.deployment.own_region
        regions_by_id = self.deployment.serving_regions(request.service)
        if not self.limiter.is_idle:
            # A limited upstream bears too few requests to be a home.
            regions_by_id = {
                upstream_id: region
                for upstream_id, region in regions_by_id.items()
                if not self.limiter.is_limited_id(upstream_id)
            }
        homes = self._homes_by_service.setdefault(request.service, Homes()).of(
            prompt, regions_by_id
        )
        return make_affinity(
            shared=shared,
            home=None if demand.must_forward else homes.get(own),
            entries=len(self.deployment.sharers(own)),
            known_by_id={
                upstream_id: self.in_flight.cached_shared_tokens(upstream_id, prompt)
                for upstream_id, region in regions_by_id.items()
                if region == own
            },
            held_elsewhere=[
                self._held_in(region, prompt)
                for region in homes
                if demand.may_forward and region != own and request.route.allows(region)
            ],
        )

    def _held_in(self, region: RegionName, prompt: Prompt) -> int:
        """Return the shared tokens expected at the best engine of another region."""
        known = self._cache_of(region).hit_tokens(prompt, last=False)
        return max(int(FAR_HELD_SHARE * shared_tokens(prompt)), known)

    def next_place(
        self, request: RelayRequest, service: RoutedService, tried: Tried
    ) -> Full | None:
        """
        Return when the own region's upstreams bear a request, if they bear none now.

        Returns
        -------
        Full or None
            ``None`` where there are none for it.
        """
        if not request.route.allows(self.deployment.own_region):
            return None
        upstreams = [
            upstream
            for upstream in self.deployment.serving(service.name)
            if upstream.id not in tried.upstreams
        ]
        if not upstreams:
            return None
        return self.limiter.next_place(upstreams) or Full(COLD_RETRY_SECONDS)

    def candidates(
        self,
        request: RelayRequest,
        service: RoutedService,
        tried: Tried,
        affinity: Affinity | None,
    ) -> list[Candidate]:
        """Return the own region's upstreams that may serve a request."""
        upstreams = [
            upstream
            for upstream in self.deployment.serving(service.name)
            if upstream.id not in tried.upstreams and self._bears(upstream, service)
        ]
        self._rng.shuffle(upstreams)
        candidates = [
            self._candidate(request, service, upstream.id, upstream.slots, affinity)
            for upstream in upstreams
        ]
        # Speeds come out too low where entries don't see each other's latest
        # sends, but alike for all upstreams: the fastest counts as nominal.
        fastest = max((c.speed for c in candidates), default=1.0)
        if fastest == 1.0:
            return candidates
        return [c._replace(speed=c.speed / fastest) for c in candidates]

    def _candidate(
        self,
        request: RelayRequest,
        service: RoutedService,
        upstream_id: UpstreamId,
        slots: int,
        affinity: Affinity | None,
    ) -> Candidate:
        in_flight = self.in_flight
        load = in_flight.load(upstream_id)
        error_share = in_flight.error_share(upstream_id)
        avoided = in_flight.is_avoided(upstream_id)
        if service.engine is None or affinity is None:
            return Candidate(
                upstream_id, load, slots, error_share=error_share, avoided=avoided
            )
        held = affinity.held_tokens(upstream_id)
        cached = max(held, in_flight.cached_tokens(upstream_id, request.prompt))
        return Candidate(
            id=upstream_id,
            load=load,
            slots=slots,
            kv_capacity=service.engine.kv_capacity_tokens,
            read_seconds=read_seconds(max(0, request.prompt.tokens - cached), cached),
            reread_tokens=affinity.reread_tokens(held),
            speed=in_flight.speed(upstream_id),
            error_share=error_share,
            avoided=avoided,
        )

    def demand(self, request: RelayRequest) -> Demand:
        """Return what a request needs now."""
        now = self._clock()
        prompt = request.prompt
        objective = request.route.objective_seconds
        return Demand(
            kv_tokens=prompt.tokens + prompt.max_tokens if request.route.prompts else 0,
            objective_seconds=request.arrived + objective - now,
            whole_objective_seconds=objective,
            latest_seconds=latest_first_answer(request) - now,
            may_forward=request.hops == 0,
            must_forward=not request.route.allows(self.deployment.own_region),
        )

    def regions(
        self, request: RelayRequest, tried: Tried, affinity: Affinity | None
    ) -> list[RemoteRegion]:
        """Return the other regions that may serve a request."""
        return [
            self._region(request, load, affinity)
            for load in self.deployment.region_loads
            if load.service == request.service
            and load.region not in tried.regions
            and request.route.allows(load.region)
        ]

    def _region(
        self, request: RelayRequest, load: RegionLoad, affinity: Affinity | None
    ) -> RemoteRegion:
        pause = self._pauses_by_region.get((load.service, load.region))
        region = RemoteRegion(
            region=load.region,
            avoided=pause is not None and self._clock() < pause.until,
            spared=load.is_limited and bool(self.deployment.serving(load.service)),
            slots=load.slots,
            running=load.running,
            waiting=load.waiting,
            calm=EngineLoad(*load.calm[1:]),
            quick=EngineLoad(*load.quick[1:]),
        )
        if affinity is None:
            return region
        prompt = request.prompt
        held = self._held_in(load.region, prompt)
        cached = max(held, self._cache_of(load.region).hit_tokens(prompt))
        return region._replace(
            read_seconds=read_seconds(max(0, prompt.tokens - cached), cached),
            reread_tokens=affinity.reread_tokens(held),
        )

    def _cache_of(self, region: RegionName) -> PartCache:
        cache = self._caches_by_region.get(region)
        if cache is None:
            cache = PartCache(capacity_tokens=REGION_CACHE_TOKENS, clock=self._clock)
            self._caches_by_region[region] = cache
        return cache

    def entry_of(self, region: RegionName) -> EntryRecord | None:
        """Return an entry of another region that a request can be handed to."""
        now = self._clock()
        entries = [
            entry
            for entry in self.deployment.entries_of(region)
            if self._avoided_until_by_entry.get(entry.name, now) <= now
        ]
        return self._rng.choice(entries) if entries else None

    def holder_of(
        self, request: RelayRequest, fingerprint: Fingerprint, tried: Tried
    ) -> EntryRecord | None:
        """
        Return the entry at which a suspect runs, ``None`` for this one.

        The request tells the region, of those that have upstreams for it, and the
        service the entry there: so all suspects that may meet at an upstream take
        their turns at one entry. Entries that know of the same ones agree without
        asking each other, in a cut those of each side.
        """
        own = self.deployment.own_region
        now = self._clock()
        entries_by_region: dict[RegionName, dict[VmName, EntryRecord | None]] = {}
        for region in set(self.deployment.serving_regions(request.service).values()):
            if request.route.allows(region) and region not in tried.regions:
                entries_by_name: dict[VmName, EntryRecord | None] = {
                    entry.name: entry
                    for entry in self.deployment.entries_of(region)
                    if self._avoided_until_by_entry.get(entry.name, now) <= now
                }
                if region == own:
                    entries_by_name[self._name] = None
                if entries_by_name:
                    entries_by_region[region] = entries_by_name
        if not entries_by_region:
            return None
        region = _first_by_hash(fingerprint, entries_by_region)
        entries_by_name = entries_by_region[region]
        return entries_by_name[rank_by_hash(entries_by_name, request.service)[0]]

    def _bears(self, upstream: ServiceUpstream, service: RoutedService) -> bool:
        """Return whether an upstream bears one more request from this entry."""
        if not self.limiter.is_idle and not self.limiter.bears(upstream):
            return False
        if not self._is_cold(upstream) or service.warmup_per_second <= 0:
            return True
        if not self.deployment.knows_all_entries:
            return False
        names = {*self.deployment.sharers(self.deployment.own_region), self._name}
        ranked = rank_by_hash(names, upstream.id)
        return self._warmup_of(upstream.id).allows(
            rate=service.warmup_per_second,
            entries=len(ranked),
            position=ranked.index(self._name),
        )

    def _is_cold(self, upstream: ServiceUpstream) -> bool:
        return (
            self.deployment.cold_seconds(upstream.id) > 0
            or self.in_flight.cold_seconds(upstream.id) > 0
        )

    def _warmup_of(self, upstream_id: UpstreamId) -> WarmupBudget:
        budget = self._warmups_by_id.get(upstream_id)
        if budget is None:
            budget = WarmupBudget(limits=self._warmup_limits, clock=self._clock)
            self._warmups_by_id[upstream_id] = budget
        return budget


def _first_by_hash(fingerprint: Fingerprint, names: Iterable[str]) -> str:
    """Return the name that rendezvous hashing puts first for a request."""
    return max(
        names, key=lambda n: xxhash.xxh3_64_intdigest(f"{fingerprint:x}/{n}".encode())
    )


def latest_first_answer(request: RelayRequest) -> Seconds:
    """
    Return the loop time after which a first answer is of no use any more.

    The rest of it would come after the deadline, or the caller of a stream that has
    not begun has left by then.
    """
    latest = request.deadline - answer_seconds(request)
    route = request.route
    if route.kind != "streaming":
        return latest
    patience = max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective_seconds,
        PATIENCE_PAUSES * route.max_pause_seconds,
    )
    return min(latest, request.arrived + patience)


def answer_seconds(request: RelayRequest) -> Seconds:
    """
    Return how long a request's answer takes after its first event.

    Callers allow for more tokens than most answers have, so that the most tokens
    tell little beyond a part of the route's time.
    """
    if not request.route.prompts:
        return 0.0
    longest = request.prompt.max_tokens * ANSWER_TOKEN_SECONDS
    return min(longest, ANSWER_SHARE * request.route.timeout_seconds)
