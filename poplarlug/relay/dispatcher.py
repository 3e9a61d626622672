"""Joins placement, waiting and warm-up: where and when a request runs."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple, TypeAlias

import xxhash
from returns.result import Failure, Result, Success

from poplarlug.discovery.records import EntryRecord, RegionLoad, ServiceUpstream
from poplarlug.discovery.subscriber import Deployment
from poplarlug.errors import GatewayError, not_run, overloaded
from poplarlug.relay.affinity import (
    Affinity,
    Holders,
    preferred_upstream,
    shared_tokens,
)
from poplarlug.relay.budgets import WarmupBudget, WarmupLimits
from poplarlug.relay.engine_model import EngineLoad, read_seconds
from poplarlug.relay.in_flight import Flight, InFlight
from poplarlug.relay.part_cache import PartCache
from poplarlug.relay.placement import (
    Away,
    Candidate,
    Demand,
    Full,
    Local,
    Nothing,
    Placement,
    RemoteRegion,
    place,
)
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.waiting import Waiter, WaitingLine, retry_after
from poplarlug.routes import RoutedService
from poplarlug.types import RegionName, Seconds, ServiceName, UpstreamId, VmName

RECHECK_SECONDS = 0.05
"""How often waiting requests look for a place that another entry gave back."""

NO_UPSTREAM_RETRY_SECONDS = 1.2
"""When to come back where no upstream is there; one announces itself in a beat."""

MIN_RUN_SECONDS = 0.05
"""A request with less time left can't be answered."""

REGION_CACHE_TOKENS = 400_000
"""Cached tokens that an entry counts on in another region; two engines hold more."""


class LocalPlace(NamedTuple):
    """A place at an upstream of the region; the caller ends the flight."""

    upstream: ServiceUpstream
    flight: Flight
    expected_seconds: Seconds
    ahead_ms: int
    loss: float


class FarPlace(NamedTuple):
    """An entry of another region that is to serve the request."""

    entry: EntryRecord
    expected_seconds: Seconds
    loss: float


Place: TypeAlias = LocalPlace | FarPlace


class Tried(NamedTuple):
    """Where a request was before: not to be used again."""

    upstreams: frozenset[UpstreamId] = frozenset()
    entries: frozenset[VmName] = frozenset()
    may_forward: bool = True


class _Waiting:
    def __init__(self, *, request: RelayRequest, tried: Tried) -> None:
        self.request = request
        self.tried = tried
        self.placed: asyncio.Future[Result[Place, GatewayError]] = (
            asyncio.get_running_loop().create_future()
        )


class _Line:
    def __init__(self) -> None:
        self.order = WaitingLine()
        self.by_waiter: dict[Waiter, _Waiting] = {}


class Dispatcher:
    """
    Find a place for each request, now or after a wait.

    Parameters
    ----------
    name : VmName
        This entry.
    deployment : Deployment
        Upstreams, entries and loads as this entry knows them.
    """

    def __init__(
        self,
        *,
        name: VmName,
        deployment: Deployment,
        in_flight: InFlight,
        warmup: WarmupLimits,
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._in_flight = in_flight
        self._warmup_limits = warmup
        self._rng = rng
        self._clock = clock
        self._warmups_by_id: dict[UpstreamId, WarmupBudget] = {}
        self._lines_by_service: dict[ServiceName, _Line] = {}
        self._caches_by_region: dict[RegionName, PartCache] = {}
        self._avoided_until_by_entry: dict[VmName, Seconds] = {}

    async def run(self) -> None:
        """Give places to waiting requests until cancelled."""
        while True:
            await asyncio.sleep(RECHECK_SECONDS)
            self._forget_gone()
            for service in list(self._lines_by_service):
                self._serve_line(service)

    def waiting(self) -> Mapping[ServiceName, int]:
        """Return how many requests wait, by service."""
        return {
            service: len(line.by_waiter)
            for service, line in self._lines_by_service.items()
            if line.by_waiter
        }

    def release(self, flight: Flight, *, failed: bool) -> None:
        """Give a place back."""
        self._in_flight.ended(flight, failed=failed)
        upstream = self._deployment.upstream(flight.upstream_id)
        if upstream is not None:
            self._serve_line(upstream.service)

    def avoid_entry(self, name: VmName, seconds: Seconds) -> None:
        """Hand nothing to an entry for a while."""
        self._avoided_until_by_entry[name] = self._clock() + seconds

    async def find(
        self, request: RelayRequest, tried: Tried
    ) -> Result[Place, GatewayError]:
        """
        Return a place, after a wait if none is free.

        Returns
        -------
        Failure(GatewayError)
            At once when no place comes in time; the request has not run.
        """
        now = self._clock()
        if request.deadline - now < MIN_RUN_SECONDS:
            return Failure(not_run("the deadline has come", 0.0))
        line = self._lines_by_service.setdefault(request.service, _Line())
        order = (request.route.rank, request.arrived + request.route.objective_seconds)
        if line.order.position(order) == 0:
            result = self._try(request, tried)
            if not isinstance(result, Full):
                return self._to_result(request, result)
            free_in = result.free_in_seconds
        else:
            free_in = RECHECK_SECONDS
        return await self._wait(line, order, request, tried, free_in)

    async def _wait(
        self,
        line: _Line,
        order: tuple[int, Seconds],
        request: RelayRequest,
        tried: Tried,
        free_in: Seconds,
    ) -> Result[Place, GatewayError]:
        now = self._clock()
        wait = line.order.expected_wait(order, free_in)
        start_by = self._start_by(request)
        if now + wait > start_by:
            return Failure(_turned_away(request, now, wait))
        waiter = line.order.join(order, start_by)
        waiting = _Waiting(request=request, tried=tried)
        line.by_waiter[waiter] = waiting
        try:
            return await waiting.placed
        finally:
            line.order.leave(waiter)
            line.by_waiter.pop(waiter, None)

    def _start_by(self, request: RelayRequest) -> Seconds:
        """Return the latest start that still serves the caller."""
        return request.deadline - max(
            MIN_RUN_SECONDS, 0.5 * request.route.objective_seconds
        )

    def _serve_line(self, service: ServiceName) -> None:
        line = self._lines_by_service.get(service)
        if line is None:
            return
        now = self._clock()
        for waiter in line.order.in_order():
            waiting = line.by_waiter[waiter]
            if waiting.placed.done():
                continue
            result = self._try(waiting.request, waiting.tried)
            if isinstance(result, Full):
                continue
            line.order.started(now)
            line.order.leave(waiter)
            waiting.placed.set_result(self._to_result(waiting.request, result))
        for waiter in line.order.late(now):
            waiting = line.by_waiter[waiter]
            if not waiting.placed.done():
                refusal = _turned_away(waiting.request, now, RECHECK_SECONDS)
                waiting.placed.set_result(Failure(refusal))
        if not line.by_waiter:
            line.order.idle()

    def _try(self, request: RelayRequest, tried: Tried) -> "Place | Full | Nothing":
        deployment = self._deployment
        routes = deployment.routes
        service = (
            None if routes is None else routes.services_by_name.get(request.service)
        )
        if service is None:
            return Nothing()
        demand = self._demand(request, tried)
        affinity = self._affinity(request, demand) if service.engine else None
        candidates = self._candidates(request, service, tried, affinity)
        regions = self._regions(request, affinity) if demand.may_forward else []
        return self._resolve(request, service, tried, demand, candidates, regions)

    def _resolve(
        self,
        request: RelayRequest,
        service: RoutedService,
        tried: Tried,
        demand: Demand,
        candidates: list[Candidate],
        regions: list[RemoteRegion],
    ) -> "Place | Full | Nothing":
        placement: Placement = place(demand, candidates, regions)
        if isinstance(placement, Away):
            entry = self._entry_of(placement.region, tried)
            if entry is not None:
                self._cache_of(placement.region).used(request.prompt)
                return FarPlace(entry, placement.expected_seconds, placement.loss)
            others = [r for r in regions if r.region != placement.region]
            return self._resolve(request, service, tried, demand, candidates, others)
        if not isinstance(placement, Local):
            return placement
        upstream = self._deployment.upstream(placement.upstream_id)
        assert upstream is not None
        if self._is_cold(upstream):
            self._warmup_of(upstream.id).note_sent()
        flight = self._in_flight.started(upstream, service.engine, request)
        ahead = next(c.load.read_ms for c in candidates if c.id == upstream.id)
        return LocalPlace(
            upstream, flight, placement.expected_seconds, ahead, placement.loss
        )

    def _affinity(self, request: RelayRequest, demand: Demand) -> Affinity:
        prompt = request.prompt
        regions_by_id = self._deployment.serving_regions(request.service)
        usable = [
            upstream_id
            for upstream_id, region in regions_by_id.items()
            if request.route.allows(region)
            and (demand.may_forward or region == self._deployment.own_region)
        ]
        holders = Holders(
            {
                upstream_id: self._in_flight.cached_shared_tokens(upstream_id, prompt)
                for upstream_id in usable
            },
            {
                region: cache.hit_tokens(prompt, last=False)
                for region, cache in self._caches_by_region.items()
                if demand.may_forward
            },
        )
        preferred = preferred_upstream(prompt, usable)
        return Affinity(holders, shared_tokens(prompt), preferred)

    def _candidates(
        self,
        request: RelayRequest,
        service: RoutedService,
        tried: Tried,
        affinity: Affinity | None,
    ) -> list[Candidate]:
        upstreams = self._deployment.serving(service.name)
        self._rng.shuffle(upstreams)
        return [
            self._candidate(request, service, upstream.id, upstream.slots, affinity)
            for upstream in upstreams
            if upstream.id not in tried.upstreams and self._bears(upstream, service)
        ]

    def _candidate(
        self,
        request: RelayRequest,
        service: RoutedService,
        upstream_id: UpstreamId,
        slots: int,
        affinity: Affinity | None,
    ) -> Candidate:
        candidate = Candidate(
            id=upstream_id,
            load=self._in_flight.load(upstream_id),
            slots=slots,
            error_share=self._in_flight.error_share(upstream_id),
            avoided=self._in_flight.is_avoided(upstream_id),
        )
        if service.engine is None or affinity is None:
            return candidate
        cached = self._in_flight.cached_tokens(upstream_id, request.prompt)
        held = affinity.holders.by_upstream.get(upstream_id, 0)
        is_preferred = upstream_id == affinity.preferred
        return candidate._replace(
            kv_capacity=service.engine.kv_capacity_tokens,
            read_seconds=read_seconds(max(0, request.prompt.tokens - cached), cached),
            reread_tokens=affinity.reread_tokens(held, is_preferred),
            speed=self._in_flight.speed(upstream_id),
        )

    def _demand(self, request: RelayRequest, tried: Tried) -> Demand:
        now = self._clock()
        prompt = request.prompt
        objective = request.route.objective_seconds
        return Demand(
            kv_tokens=prompt.tokens + prompt.max_tokens if request.route.prompts else 0,
            objective_seconds=request.arrived + objective - now,
            whole_objective_seconds=objective,
            may_forward=request.hops == 0 and tried.may_forward,
            must_forward=not request.route.allows(self._deployment.own_region),
        )

    def _regions(
        self, request: RelayRequest, affinity: Affinity | None
    ) -> list[RemoteRegion]:
        return [
            self._region(request, load, affinity)
            for load in self._deployment.region_loads
            if load.service == request.service and request.route.allows(load.region)
        ]

    def _region(
        self, request: RelayRequest, load: RegionLoad, affinity: Affinity | None
    ) -> RemoteRegion:
        region = RemoteRegion(
            region=load.region,
            slots=load.slots,
            running=load.running,
            waiting=load.waiting,
            calm=EngineLoad(*load.calm[1:]),
            quick=EngineLoad(*load.quick[1:]),
        )
        if affinity is None:
            return region
        prompt = request.prompt
        cached = self._cache_of(load.region).hit_tokens(prompt)
        held = affinity.holders.by_region.get(load.region, 0)
        regions_by_id = self._deployment.serving_regions(request.service)
        is_preferred = regions_by_id.get(affinity.preferred or "") == load.region
        return region._replace(
            read_seconds=read_seconds(max(0, prompt.tokens - cached), cached),
            reread_tokens=affinity.reread_tokens(held, is_preferred),
        )

    def _cache_of(self, region: RegionName) -> PartCache:
        cache = self._caches_by_region.get(region)
        if cache is None:
            cache = PartCache(capacity_tokens=REGION_CACHE_TOKENS, clock=self._clock)
            self._caches_by_region[region] = cache
        return cache

    def _entry_of(self, region: RegionName, tried: Tried) -> EntryRecord | None:
        now = self._clock()
        entries = [
            entry
            for entry in self._deployment.entries_of(region)
            if entry.name not in tried.entries
            and self._avoided_until_by_entry.get(entry.name, now) <= now
        ]
        return self._rng.choice(entries) if entries else None

    def _bears(self, upstream: ServiceUpstream, service: RoutedService) -> bool:
        """Return whether a cold upstream bears one more request from this entry."""
        if not self._is_cold(upstream):
            return True
        names = {*self._deployment.sharers(self._deployment.own_region), self._name}
        ranked = sorted(
            names, key=lambda n: xxhash.xxh3_64_intdigest(f"{upstream.id}/{n}".encode())
        )
        return self._warmup_of(upstream.id).allows(
            rate=service.warmup_per_second,
            entries=len(ranked),
            position=ranked.index(self._name),
        )

    def _is_cold(self, upstream: ServiceUpstream) -> bool:
        return (
            self._deployment.cold_seconds(upstream.id) > 0
            or self._in_flight.cold_seconds(upstream.id) > 0
        )

    def _warmup_of(self, upstream_id: UpstreamId) -> WarmupBudget:
        budget = self._warmups_by_id.get(upstream_id)
        if budget is None:
            budget = WarmupBudget(limits=self._warmup_limits, clock=self._clock)
            self._warmups_by_id[upstream_id] = budget
        return budget

    def _forget_gone(self) -> None:
        known = self._deployment.upstream_ids()
        self._in_flight.keep_only(known)
        for upstream_id in [i for i in self._warmups_by_id if i not in known]:
            del self._warmups_by_id[upstream_id]

    def _to_result(
        self, request: RelayRequest, placed: "Place | Nothing"
    ) -> Result[Place, GatewayError]:
        if not isinstance(placed, Nothing):
            return Success(placed)
        left = request.deadline - self._clock()
        message = f"no upstream of {request.service} is in reach"
        return Failure(not_run(message, retry_after(NO_UPSTREAM_RETRY_SECONDS, left)))


def _turned_away(request: RelayRequest, now: Seconds, wait: Seconds) -> GatewayError:
    message = f"all places are taken; one is expected in {wait:.2f} s"
    return overloaded(message, retry_after(wait, request.deadline - now))
