"""Zones of emulated engines with the gateway's decision logic, in virtual time."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from poplarlug.fakes.emulator import EngineEmulator, EngineJob, EngineStream
from poplarlug.load.deployments import ENGINE, MODEL, DeploymentPlan, ZonePlan
from poplarlug.membership.upstreams import Announcement
from poplarlug.routing import Fleet, ForwardRoute, RouteRequest, ZoneView
from poplarlug.serving.dispatcher import Dispatcher, DispatchParts, LocalPlacement
from poplarlug.types import Seconds, UpstreamId

REPORT_SECONDS = 1.0
SUMMARY_SECONDS = 1.0
SUMMARY_LIFE_SECONDS = 5.0
LEASE_SECONDS = 4.0

MakeParts = Callable[[Random, int], DispatchParts]
"""Creates the decision components of an entry, given its zone's number of entries."""


class CacheUse(NamedTuple):
    """Cached prompt blocks at the chosen engine and at the best engine of its zone."""

    chosen: int
    best: int


class SimulatedEngine:
    """Emulated engine that announces itself as the fake engine process does."""

    def __init__(self, *, name: UpstreamId, batch_limit: int, rng: Random) -> None:
        self.profile = ENGINE._replace(batch_limit=batch_limit)
        self.emulator = EngineEmulator(profile=self.profile, rng=rng, models=(MODEL,))
        self.name = name
        self.lost = False
        self.announced_at: Seconds = 0.0
        self.announcement = Announcement(
            id=name,
            kind="engine",
            address="",
            models=(MODEL,),
            capacity=batch_limit,
            prefill_tokens_per_second=ENGINE.prefill_tokens_per_second,
            token_seconds=ENGINE.token_seconds,
        )

    def announce(self, now: Seconds) -> None:
        """Renew the announcement with the current load and cache events."""
        if self.lost:
            return
        load = self.emulator.reported_load()
        events = self.emulator.publish_cache_events()
        previous = self.announcement
        self.announced_at = now
        self.announcement = previous._replace(
            sequence=previous.sequence + 1,
            running=load.running,
            queued=load.queued,
            cache_sequence=events.sequence if events else previous.cache_sequence,
            cache_stored=events.stored if events else previous.cache_stored,
            cache_removed=events.removed if events else previous.cache_removed,
        )

    def lose(self) -> None:
        """Abort all requests and stop announcing."""
        self.lost = True
        self.emulator.crash()

    def recover(self) -> None:
        """Restart with a cold cache."""
        self.lost = False
        incarnation = self.announcement.incarnation + 1
        self.announcement = self.announcement._replace(incarnation=incarnation)


class SimulatedZone:
    """Engines of one zone and the dispatchers of its entries."""

    def __init__(
        self, *, plan: ZonePlan, entries: int, make_parts: MakeParts, rng: Random
    ) -> None:
        self.plan = plan
        self.cut = False
        self.engines_by_id = {
            name: SimulatedEngine(name=name, batch_limit=limit, rng=rng)
            for name, limit in (
                (f"{plan.zone}-e{index}", limit)
                for index, limit in enumerate(plan.engines)
            )
        }
        self.zone_views: dict[str, tuple[Seconds, ZoneView]] = {}
        self.entry_names = tuple(f"{plan.zone}-{index}" for index in range(entries))
        self.parts = [make_parts(rng, entries) for _ in range(entries)]
        self.dispatchers = [
            Dispatcher(parts=parts, fleet=partial(self._fleet_of, parts))
            for parts in self.parts
        ]
        self._fleet = Fleet((), {})

    def _fleet_of(self, parts: DispatchParts) -> Fleet:
        return self._fleet._replace(in_flight_by_id=parts.loads.in_flight_by_id)

    def refresh(self, now: Seconds) -> None:
        """Rebuild the fleet from unexpired announcements and zone summaries."""
        upstreams = tuple(
            engine.announcement
            for engine in self.engines_by_id.values()
            if engine.announcement.sequence
            and now - engine.announced_at < LEASE_SECONDS
        )
        zones = tuple(
            view
            for taken, view in self.zone_views.values()
            if now - taken < SUMMARY_LIFE_SECONDS
        )
        self._fleet = Fleet(upstreams, {}, zones)

    def summary(self) -> ZoneView:
        upstreams = self._fleet.upstreams
        return ZoneView(
            zone=self.plan.zone,
            region=self.plan.region,
            entries=self.entry_names,
            models=(MODEL,) if upstreams else (),
            services=(),
            running=sum(upstream.running for upstream in upstreams),
            queued=sum(upstream.queued for upstream in upstreams),
            capacity=sum(upstream.capacity for upstream in upstreams),
        )


class SimulatedDeployment:
    """All zones of a deployment."""

    def __init__(
        self, *, plan: DeploymentPlan, make_parts: MakeParts, rng: Random
    ) -> None:
        self.zones = [
            SimulatedZone(
                plan=zone,
                entries=plan.entries_per_zone,
                make_parts=make_parts,
                rng=rng,
            )
            for zone in plan.zones
        ]
        self._zones_by_name = {zone.plan.zone: zone for zone in self.zones}
        self.cache_use: list[CacheUse] = []

    def zone(self, name: str) -> SimulatedZone:
        return self._zones_by_name[name]

    async def run_reports(self) -> None:
        """Renew announcements and summaries periodically until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for zone in self.zones:
                for engine in zone.engines_by_id.values():
                    engine.announce(now)
                zone.refresh(now)
            for zone in self.zones:
                for other in self.zones:
                    if other is not zone and not zone.cut and not other.cut:
                        other.zone_views[zone.plan.zone] = (now, zone.summary())
            await asyncio.sleep(REPORT_SECONDS)

    def reachable(self, source: SimulatedZone, target: SimulatedZone) -> bool:
        return source is target or not (source.cut or target.cut)

    def start(
        self, zone: SimulatedZone, placement: LocalPlacement, request: RouteRequest
    ) -> EngineStream | None:
        """Start a placed request; return ``None`` if its engine is lost."""
        engine = zone.engines_by_id[placement.upstream.id]
        if engine.lost:
            return None
        best = max(
            other.emulator.cache.hit_blocks(request.prefix_hashes)
            for other in zone.engines_by_id.values()
        )
        chosen = engine.emulator.cache.hit_blocks(request.prefix_hashes)
        self.cache_use.append(CacheUse(chosen, best))
        return engine.emulator.submit(
            EngineJob(
                prompt_tokens=request.prompt_tokens,
                max_tokens=request.max_tokens,
                prefix_hashes=request.prefix_hashes,
                priority=request.rank.priority,
            )
        )


def forward_target(
    deployment: SimulatedDeployment, route: ForwardRoute
) -> tuple[SimulatedZone, Dispatcher]:
    """Return the target zone of a forward and the dispatcher of its entry."""
    zone = deployment.zone(route.zone)
    return zone, zone.dispatchers[zone.entry_names.index(route.entry)]
