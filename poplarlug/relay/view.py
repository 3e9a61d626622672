"""Inputs of a placement: upstreams, regions and caches as known to this entry."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import AbstractContextManager
from random import Random
from typing import NamedTuple

import xxhash

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.ranking import pick_by_room
from poplarlug.discovery.records import (
    EntryRecord,
    RegionLoad,
    ServiceUpstream,
    UpstreamLoad,
)
from poplarlug.logs import ComponentLogger
from poplarlug.relay.affinity import (
    REMOTE_HIT_PROBABILITY,
    Affinity,
    HomeEngines,
    make_affinity,
    shared_tokens,
)
from poplarlug.relay.answer_time import MIN_END_PROBABILITY, ExpectedAnswer
from poplarlug.relay.budgets import WarmupBudget, WarmupLimits
from poplarlug.relay.ended_runs import EndedRuns
from poplarlug.relay.engine_memory import EngineMemory
from poplarlug.relay.engine_model import (
    FIRST_EVENT_SECONDS,
    PRIOR_TOKENS,
    EngineLoad,
    prefill_seconds,
)
from poplarlug.relay.engine_rates import NOMINAL_RATE, EngineRate, EngineRates
from poplarlug.relay.events import LAST_EVENT_HEADER
from poplarlug.relay.held_clock import HeldClock
from poplarlug.relay.in_flight import InFlightRequest, InFlightTracker
from poplarlug.relay.limiter import Limiter
from poplarlug.relay.patience import latest_response_start
from poplarlug.relay.placement import (
    Candidate,
    Full,
    Paused,
    RemoteRegion,
    Requirements,
)
from poplarlug.relay.rate_shares import rank_by_hash
from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.relay.tried import Tried
from poplarlug.relay.upstream_backoff import UpstreamBackoff
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

URGENT_HARM_WEIGHT = 0.15
"""Weight of the pauses that a request of the most urgent rank causes: most of the
streams that pause are of a lower rank, and worth less to their callers."""

COLD_RETRY_SECONDS = 0.5
"""Retry time for a cold upstream; its warm-up budget is counted per second."""

REGION_CACHE_TOKENS = 400_000
"""Capacity of the modeled cache of another region; two engines hold more tokens."""


REGION_BACKOFF_SECONDS = 0.5
"""Initial time for which a region that failed is the last choice for a service."""

MAX_REGION_BACKOFF_SECONDS = 4.0
"""Upper bound of that time, which doubles with each consecutive failure; a silent
upstream is considered lost after six seconds."""


class _Backoff(NamedTuple):
    until: Seconds
    failures: int


class _WarmupRank(NamedTuple):
    """Rank of this entry among those that share the budget of a cold upstream."""

    sharing: Sequence[VmName]
    entries: int
    position: int


class _AvoidedEntry(NamedTuple):
    """The run of an entry to which nothing is forwarded for some time."""

    incarnation: int
    until: Seconds


class FleetView:
    """
    Derives the inputs of placements from the deployment and from what this entry did.

    Parameters
    ----------
    name : VmName
        This entry.
    limits : NamedLimits
        Rate limits that upstreams named, shared with all VMs.
    """

    def __init__(
        self,
        *,
        name: VmName,
        deployment: Deployment,
        in_flight: InFlightTracker,
        warmup: WarmupLimits,
        limits: NamedLimits,
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self.deployment = deployment
        self.in_flight = in_flight
        self._clock = HeldClock(clock=clock)
        self.limiter = Limiter(
            name=name, deployment=deployment, limits=limits, clock=self._clock
        )
        self.backoff = UpstreamBackoff(clock=self._clock)
        self._rates = EngineRates(work=in_flight.work, clock=clock)
        self.ended_runs = EndedRuns(deployment=deployment, clock=clock)
        self._name = name
        self._warmup_limits = warmup
        self._rng = rng
        self._warmups_by_id: dict[UpstreamId, WarmupBudget] = {}
        self._warmup_ranks_by_id: dict[UpstreamId, _WarmupRank] = {}
        self._memories_by_region: dict[RegionName, EngineMemory] = {}
        self._homes_by_service: dict[ServiceName, HomeEngines] = {}
        self._avoided_by_entry: dict[VmName, _AvoidedEntry] = {}
        self._backoffs_by_region: dict[tuple[ServiceName, RegionName], _Backoff] = {}

    def one_moment(self) -> AbstractContextManager[None]:
        """Let what is placed inside have the rights of this moment, however long it takes."""
        return self._clock.held()

    def start_request(
        self, candidate: Candidate, service: RoutedService, request: RelayRequest
    ) -> tuple[ServiceUpstream, InFlightRequest]:
        """Record that a request is sent to an upstream of the own region."""
        upstream = self.deployment.upstream(candidate.id)
        assert upstream is not None
        if self._is_cold(upstream):
            self._warmup_of(upstream.id).note_sent()
        if not self.limiter.has_no_limits:
            self.limiter.note_sent(upstream)
        in_flight_request = self.in_flight.note_started(
            upstream,
            service.engine,
            request,
            candidate.prefill_seconds,
            cached_tokens=candidate.cached_tokens,
        )
        return upstream, in_flight_request

    def note_forwarded(self, region: RegionName, request: RelayRequest) -> None:
        """Record a forward to another region, whose caches will get the prompt's parts."""
        self._memory_of(region).note_sent(request.prompt, REGION_CACHE_TOKENS)

    def avoid_entry(self, name: VmName, seconds: Seconds) -> None:
        """Forward nothing to the current run of an entry for ``seconds``."""
        entry = self.deployment.entries_by_name.get(name)
        incarnation = 0 if entry is None else entry.incarnation
        until = self._clock() + seconds
        self._avoided_by_entry[name] = _AvoidedEntry(incarnation, until)

    def _is_avoided(self, entry: EntryRecord) -> bool:
        avoided = self._avoided_by_entry.get(entry.name)
        return (
            avoided is not None
            and avoided.until > self._clock()
            and avoided.incarnation >= entry.incarnation
        )

    def note_region_failed(self, service: ServiceName, region: RegionName) -> None:
        """Make a region the last choice for a while; it may be unreachable or empty."""
        key = service, region
        failures = self._backoffs_by_region.get(key, _Backoff(0.0, 0)).failures
        seconds = min(MAX_REGION_BACKOFF_SECONDS, REGION_BACKOFF_SECONDS * 2**failures)
        backoff = _Backoff(self._clock() + seconds, min(failures + 1, 10))
        self._backoffs_by_region[key] = backoff
        _log.info(
            "a region is the last choice",
            service=service,
            region=region,
            seconds=seconds,
            failures=backoff.failures,
        )

    def note_entry_failed(self, service: ServiceName, region: RegionName) -> None:
        """Make a region the last choice once two of its entries are avoided."""
        entries = self.deployment.entries_of(region)
        avoided = sum(map(self._is_avoided, entries))
        if avoided >= min(2, len(entries)):
            self.note_region_failed(service, region)

    def note_region_served(self, service: ServiceName, region: RegionName) -> None:
        """End the backoff of a region that took a request."""
        backoff = self._backoffs_by_region.pop((service, region), None)
        if backoff is not None:
            _log.info(
                "a region serves again",
                service=service,
                region=region,
                failures=backoff.failures,
            )

    def forget_gone(self) -> None:
        """
        Drop the state of upstreams that are gone.

        A control replica that has just started may not know a live upstream yet, so the
        sends to a cold upstream are counted until their window is over.
        """
        known = self.deployment.upstream_ids()
        self.in_flight.keep_only(known)
        self.limiter.forget_gone()
        self.backoff.keep_only(self.deployment.upstream_runs())
        self.ended_runs.forget_gone()
        for upstream_id, budget in list(self._warmups_by_id.items()):
            if upstream_id not in known and budget.is_unused:
                del self._warmups_by_id[upstream_id]
                self._warmup_ranks_by_id.pop(upstream_id, None)

    def affinity(self, request: RelayRequest, requirements: Requirements) -> Affinity:
        """Return which upstreams cache, or should cache, the shared parts of a prompt."""
        prompt = request.prompt
        shared = shared_tokens(prompt)
        if not shared:
            return Affinity()
        own = self.deployment.own_region
        capacity = self._capacity_tokens(request.service)
        regions_by_id = self.deployment.serving_regions(request.service)
        if not self.limiter.has_no_limits or not self.backoff.is_empty:
            regions_by_id = {
                upstream_id: region
                for upstream_id, region in regions_by_id.items()
                if self._may_be_home(upstream_id)
            }
        homes = self._homes_by_service.setdefault(request.service, HomeEngines()).find(
            prompt, regions_by_id
        )
        return make_affinity(
            shared=shared,
            last_shared=prompt.parts[-2].tokens,
            home=None if requirements.must_forward else homes.get(own),
            entries=len(self.deployment.entries_sharing_budgets(own)),
            expected_by_id={
                upstream.id: self.in_flight.memories.expected_tokens(
                    upstream, prompt, capacity, last=False
                )
                for upstream in self.deployment.serving(request.service)
                if upstream.id in regions_by_id
            },
            counted_elsewhere=[
                self._counted_tokens(region, prompt)
                for region in homes
                if requirements.may_forward
                and region != own
                and request.may_reach(region)
            ],
        )

    def _may_be_home(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream accepts enough requests to be a home engine."""
        upstream = self.deployment.upstream(upstream_id)
        return (
            upstream is not None
            and not self.limiter.is_limited(upstream)
            and self.backoff.allows_send(upstream)
        )

    def _capacity_tokens(self, service: ServiceName) -> int:
        routes = self.deployment.routes
        routed = None if routes is None else routes.services_by_name.get(service)
        engine = None if routed is None else routed.engine
        return 0 if engine is None else engine.kv_capacity_tokens

    def _counted_tokens(self, region: RegionName, prompt: Prompt) -> int:
        """Return the shared tokens that a region's best engine has, or should have."""
        known = self._memory_of(region).expected_tokens(
            prompt, REGION_CACHE_TOKENS, last=False
        )
        return max(int(REMOTE_HIT_PROBABILITY * shared_tokens(prompt)), known)

    def next_free_slot(
        self, request: RelayRequest, service: RoutedService, tried: Tried
    ) -> Full | Paused | None:
        """
        Return when the own region can serve a request, if no upstream accepts one now.

        Returns
        -------
        Full, Paused or None
            ``None`` if the own region has no upstream for the request.
        """
        if not request.may_reach(self.deployment.own_region):
            return None
        staying = [
            upstream
            for upstream in self.deployment.serving(service.name)
            if self._allows(request, upstream) and not self.backoff.is_leaving(upstream)
        ]
        upstreams = [
            upstream
            for upstream in staying
            if tried.allows(upstream.id) and self.backoff.allows_send(upstream)
        ]
        if upstreams:
            return self.limiter.next_allowed_send(upstreams) or Full(COLD_RETRY_SECONDS)
        pause = self.backoff.shortest_pause(staying)
        return None if pause is None else Paused(pause)

    def may_end_later(
        self, request: RelayRequest, service: RoutedService, tried: Tried
    ) -> bool:
        """
        Return whether a stream may end in time at an engine that accepts none now.

        It is paused, cold or has a rate limit; the pause counts as a wait.
        """
        answer = _expected_answer(request, self._clock())
        if answer is None or not request.may_reach(self.deployment.own_region):
            return False
        serving = self.deployment.serving(service.name)
        rates_by_id = self._rates.of(service.name, (u.id for u in serving))
        return any(
            answer.end_probability(
                self.backoff.pause_left(upstream) + FIRST_EVENT_SECONDS,
                rates_by_id.get(upstream.id, NOMINAL_RATE).token_seconds,
            )
            >= MIN_END_PROBABILITY
            for upstream in serving
            if tried.allows(upstream.id)
            and self._allows(request, upstream)
            and not self.backoff.is_leaving(upstream)
            and not self._accepts_request(upstream, service)
        )

    def candidates(
        self,
        request: RelayRequest,
        service: RoutedService,
        tried: Tried,
        affinity: Affinity | None,
    ) -> list[Candidate]:
        """Return the upstreams of the own region that may serve a request."""
        upstreams = [
            upstream
            for upstream in self.deployment.serving(service.name)
            if tried.allows(upstream.id)
            and self._allows(request, upstream)
            and self._accepts_request(upstream, service)
        ]
        self._rng.shuffle(upstreams)
        rates_by_id: Mapping[UpstreamId, EngineRate] = {}
        if service.engine is not None:
            serving = self.deployment.serving(service.name)
            rates_by_id = self._rates.of(service.name, (u.id for u in serving))
        return [
            self._candidate(
                request,
                service,
                upstream,
                affinity,
                rates_by_id.get(upstream.id, NOMINAL_RATE),
            )
            for upstream in upstreams
        ]

    def _candidate(
        self,
        request: RelayRequest,
        service: RoutedService,
        upstream: ServiceUpstream,
        affinity: Affinity | None,
        rate: EngineRate,
    ) -> Candidate:
        in_flight = self.in_flight
        upstream_id, slots = upstream.id, upstream.slots
        load = in_flight.load(upstream_id)
        error_share = in_flight.error_share(upstream_id)
        avoided = in_flight.is_avoided(upstream_id)
        if service.engine is None or affinity is None:
            return Candidate(
                upstream_id, load, slots, error_share=error_share, avoided=avoided
            )
        capacity = service.engine.kv_capacity_tokens
        counted = affinity.counted_tokens(upstream_id)
        expected = in_flight.memories.expected_tokens(
            upstream, request.prompt, capacity
        )
        cached = max(counted, expected)
        return Candidate(
            id=upstream_id,
            load=load,
            slots=slots,
            kv_capacity=capacity,
            prefill_seconds=prefill_seconds(
                max(0, request.prompt.tokens - cached), cached
            ),
            recomputed_tokens=affinity.recomputed_tokens(
                affinity.counted_tokens(upstream_id)
            ),
            speed=rate.speed,
            token_seconds=rate.token_seconds,
            error_share=error_share,
            avoided=avoided,
            cached_tokens=expected,
        )

    def rate_fields(self, upstream: ServiceUpstream) -> dict[str, float]:
        """Return the measured rate of an engine, for logs; empty if there is none."""
        rate = self._rates.last_of(upstream.service, upstream.id)
        if rate is NOMINAL_RATE:
            return {}
        return {
            "speed": round(rate.speed, 2),
            "token_ms": round(rate.token_seconds * 1000, 1),
        }

    def requirements(self, request: RelayRequest) -> Requirements:
        """Return what a request needs now."""
        now = self._clock()
        prompt = request.prompt
        objective = request.route.objective_seconds
        return Requirements(
            kv_tokens=prompt.tokens + prompt.max_tokens if request.route.prompts else 0,
            objective_seconds=request.arrived + objective - now,
            route_objective_seconds=objective,
            latest_seconds=latest_response_start(request) - now,
            may_forward=request.hops == 0,
            must_forward=not request.may_reach(self.deployment.own_region),
            harm_weight=URGENT_HARM_WEIGHT if self._is_most_urgent(request) else 1.0,
            answer=_expected_answer(request, now),
        )

    def _is_most_urgent(self, request: RelayRequest) -> bool:
        routes = self.deployment.routes
        return routes is not None and routes.is_most_urgent(
            request.rank, request.service
        )

    def regions(
        self, request: RelayRequest, tried: Tried, affinity: Affinity | None
    ) -> list[RemoteRegion]:
        """Return the other regions that may serve a request."""
        able = None
        if request.version is not None or tried.upstreams or tried.only:
            able = self._able_regions(request, tried)
        return [
            self._region(request, load, affinity)
            for load in self.deployment.region_loads
            if load.service == request.service
            # A replica of another region lists this one among the others.
            and load.region != self.deployment.own_region
            and load.region not in tried.regions
            and request.may_reach(load.region)
            and (able is None or load.region in able)
        ]

    def _able_regions(self, request: RelayRequest, tried: Tried) -> set[RegionName]:
        """Return the regions with upstreams that may run a request."""
        regions_by_id = self.deployment.serving_regions(request.service)
        return {
            regions_by_id[upstream.id]
            for upstream in self.deployment.upstreams_of(request.service)
            if upstream.id in regions_by_id
            and tried.allows(upstream.id)
            and self._allows(request, upstream)
        }

    def _allows(self, request: RelayRequest, upstream: ServiceUpstream) -> bool:
        """Return whether an upstream has the required version, as far as is known."""
        if request.keeps_version and self.ended_runs.has(upstream):
            return False
        return request.allows(upstream)

    def awaits_entry(self, request: RelayRequest, tried: Tried) -> bool:
        """
        Return whether a stream can go on only in regions without an entry right now.

        Load pattern: a region's entries are killed during a release, and only that
        region has upstreams of the version that began the stream. They are back within
        seconds, and callers have few retries.
        """
        if request.version is None or request.hops or tried.only:
            return False
        return any(
            request.may_reach(region) and region not in tried.regions
            for region in self._able_regions(request, tried)
            if region != self.deployment.own_region
        )

    def may_return(self, request: RelayRequest) -> bool:
        """Return whether an upstream of the required version may accept it later."""
        return request.version is None or any(
            request.allows(upstream) and upstream.phase == "serving"
            for upstream in self.deployment.upstreams_of(request.service)
        )

    def _region(
        self, request: RelayRequest, load: RegionLoad, affinity: Affinity | None
    ) -> RemoteRegion:
        backoff = self._backoffs_by_region.get((load.service, load.region))
        region = RemoteRegion(
            region=load.region,
            avoided=backoff is not None and self._clock() < backoff.until,
            excluded_by_limits=load.is_limited
            and bool(self.deployment.serving(load.service)),
            slots=load.slots,
            running=load.running,
            waiting=load.waiting,
            calm=_engine_load(load.calm),
            quick=_engine_load(load.quick),
            calm_token_seconds=_token_seconds(load.calm),
            quick_token_seconds=_token_seconds(load.quick),
        )
        if affinity is None:
            return region
        prompt = request.prompt
        counted = self._counted_tokens(load.region, prompt)
        expected = self._memory_of(load.region).expected_tokens(
            prompt, REGION_CACHE_TOKENS
        )
        cached = max(counted, expected)
        return region._replace(
            prefill_seconds=prefill_seconds(max(0, prompt.tokens - cached), cached),
            recomputed_tokens=affinity.recomputed_tokens(counted),
        )

    def _memory_of(self, region: RegionName) -> EngineMemory:
        memory = self._memories_by_region.get(region)
        if memory is None:
            memory = self._memories_by_region[region] = EngineMemory(clock=self._clock)
        return memory

    def pick_entry(self, region: RegionName) -> EntryRecord | None:
        """Return an entry of another region that can be forwarded to, drawn by room."""
        entries = [
            entry
            for entry in self.deployment.entries_of(region)
            if not self._is_avoided(entry)
        ]
        return pick_by_room(entries, self._rng) if entries else None

    def suspect_entry(
        self, request: RelayRequest, fingerprint: Fingerprint, tried: Tried
    ) -> EntryRecord | None:
        """
        Return the entry at which a suspect runs, ``None`` for this one.

        The region is chosen by the request, among those with upstreams for it, and the
        entry there by the service: so all suspects that could run at the same upstream
        run at one entry, which holds their locks. Entries with the same view agree
        without communication; in a network partition, those of each side do.
        """
        own = self.deployment.own_region
        entries_by_region: dict[RegionName, dict[VmName, EntryRecord | None]] = {}
        for region in self._able_regions(request, tried):
            if request.may_reach(region) and region not in tried.regions:
                entries_by_name: dict[VmName, EntryRecord | None] = {
                    entry.name: entry
                    for entry in self.deployment.entries_of(region)
                    if not self._is_avoided(entry)
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

    def _accepts_request(
        self, upstream: ServiceUpstream, service: RoutedService
    ) -> bool:
        """Return whether an upstream accepts one more request from this entry."""
        if not self.backoff.is_empty and not self.backoff.allows_send(upstream):
            return False
        if not self.limiter.has_no_limits and not self.limiter.allows_send(upstream):
            return False
        if not self._is_cold(upstream) or service.warmup_per_second <= 0:
            return True
        if not self.deployment.knows_all_entries:
            return False
        rank = self._warmup_rank(upstream.id)
        return self._warmup_of(upstream.id).allows(
            rate=service.warmup_per_second, entries=rank.entries, position=rank.position
        )

    def _warmup_rank(self, upstream_id: UpstreamId) -> _WarmupRank:
        """Return this entry's rank among those that share a cold upstream's budget."""
        sharing = self.deployment.entries_sharing_budgets(self.deployment.own_region)
        rank = self._warmup_ranks_by_id.get(upstream_id)
        if rank is None or rank.sharing is not sharing:
            ranked = rank_by_hash({*sharing, self._name}, upstream_id)
            rank = _WarmupRank(sharing, len(ranked), ranked.index(self._name))
            self._warmup_ranks_by_id[upstream_id] = rank
        return rank

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


def _expected_answer(request: RelayRequest, now: Seconds) -> ExpectedAnswer | None:
    """Return the length of a stream, ``None`` if nothing tells how much is missing."""
    prompt = request.prompt
    if not prompt.expected_tokens or request.route.kind != "streaming":
        return None
    header = LAST_EVENT_HEADER.lower()
    if any(name.lower() == header for name, _ in request.headers):
        return None
    return ExpectedAnswer(
        prompt.expected_tokens, prompt.max_tokens, request.deadline - now
    )


def _engine_load(load: UpstreamLoad) -> EngineLoad:
    return EngineLoad(load.running, load.long, load.read_ms, load.kv_tokens)


def _token_seconds(load: UpstreamLoad) -> Seconds:
    """Return the time between two tokens at an engine; 0 if hardly any was measured."""
    if load.tokens < PRIOR_TOKENS:
        return 0.0
    return load.decode_ms / 1000 / load.tokens


def _first_by_hash(fingerprint: Fingerprint, names: Iterable[str]) -> str:
    """Return the name that rendezvous hashing ranks first for a request."""
    return max(
        names, key=lambda n: xxhash.xxh3_64_intdigest(f"{fingerprint:x}/{n}".encode())
    )
