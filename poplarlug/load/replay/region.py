"""Entries and engines of one region in virtual time, with realistic load reports.

Load reports reach other entries with the delays of polls and gossip.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from returns.result import Failure

from poplarlug.control.routing_state import encode_table
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import EntryLoads, PollReply, RoutingUpdate
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.part_log import PartLog
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.region_loads import RegionLoads
from poplarlug.discovery.registrar import GOSSIP_SECONDS
from poplarlug.discovery.subscriber import HOLD_SECONDS
from poplarlug.load.replay.engines import EngineRun, VirtualEngine
from poplarlug.load.replay.patterns import (
    SERVICE,
    WARMUP_PER_SECOND,
    Arrival,
    Pattern,
    draw_arrivals,
)
from poplarlug.relay.budgets import WarmupLimits
from poplarlug.relay.dispatcher import Dispatcher, LocalTarget, RemoteTarget
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.placement import PlacementPolicy
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.tried import Tried
from poplarlug.relay.view import FleetView
from poplarlug.routes import Engine, RoutedService, RouteTable
from poplarlug.types import Seconds, ZoneName
from poplarlug.virtualtime import run_virtual

REGION = "region"
ZONES: tuple[ZoneName, ...] = ("zone-a", "zone-b")
SEND_SECONDS = 0.002
"""One-way latency between an entry and an engine."""

DRAIN_SECONDS = 16.0
"""Time that a replay waits after the last arrival; longer than any deadline."""


class ArrivalOutcome(NamedTuple):
    """
    Outcome of one arrival.

    Parameters
    ----------
    worth : float
        Value of the answer to the caller; 0 if the request failed.
    max_worth : float
        Value of an answer within its objectives.
    refused : bool
        Whether the request was refused, after one retry if time allowed.
    first_seconds : float or None
        Time from the arrival to the first event.
    error_seconds : float or None
        Delay of the first event relative to the time predicted at the send.
    expected_tokens, cached_tokens : int
        Tokens of the prompt that the engine was expected to have cached, and that it had.
    """

    arrival: Arrival
    worth: float
    max_worth: float
    refused: bool = False
    first_seconds: Seconds | None = None
    error_seconds: Seconds | None = None
    expected_tokens: int = 0
    cached_tokens: int = 0


class ReplayResult(NamedTuple):
    """Outcomes of a replay, and token counts summed over all engines."""

    served: tuple[ArrivalOutcome, ...]
    read_tokens: int
    reread_tokens: int
    cached_tokens: int


class _Entry:
    def __init__(
        self, *, name: str, zone: ZoneName, decide: PlacementPolicy, rng: Random
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.name = name
        self.zone = zone
        self.deployment = Deployment(
            own_region=REGION,
            regions_by_zone=dict.fromkeys(ZONES, REGION),
            clock=clock,
        )
        self.in_flight = InFlightTracker(
            clock=clock,
            others=lambda i: self.deployment.other_entries_loads_by_id.get(i),
        )
        view = FleetView(
            name=name,
            deployment=self.deployment,
            in_flight=self.in_flight,
            warmup=WarmupLimits(),
            limits=NamedLimits(clock=clock),
            rng=rng,
            clock=clock,
        )
        self.dispatcher = Dispatcher(view=view, clock=clock, decide=decide)


def replay(pattern: Pattern, decide: PlacementPolicy, seed: int) -> ReplayResult:
    """
    Replay a pattern with a placement policy.

    Parameters
    ----------
    decide : callable
        :func:`poplarlug.relay.placement.place`, or a baseline.
    """
    return run_virtual(_replay(pattern, decide, Random(seed)))


async def _replay(
    pattern: Pattern, decide: PlacementPolicy, rng: Random
) -> ReplayResult:
    clock = asyncio.get_running_loop().time
    spec = pattern.spec
    known_parts: set[str] = set()
    engines = {
        f"e-{number}": VirtualEngine(
            id=f"e-{number}",
            spec=spec._replace(speed=pattern.speeds[number % len(pattern.speeds)]),
            clock=clock,
            known_parts=known_parts,
        )
        for number in range(pattern.engines)
    }
    entries = [
        _Entry(
            name=f"entry-{number}",
            zone=ZONES[number % len(ZONES)],
            decide=decide,
            rng=Random(rng.random()),
        )
        for number in range(pattern.entries)
    ]
    for entry in entries:
        entry.deployment.apply_reply(_initial_reply(pattern, entries))
    tasks = [
        *(asyncio.ensure_future(engine.run_steps()) for engine in engines.values()),
        *(asyncio.ensure_future(entry.dispatcher.run()) for entry in entries),
        asyncio.ensure_future(_report_loads(entries, rng)),
    ]
    callers = []
    for arrival in draw_arrivals(pattern, rng):
        await asyncio.sleep(max(0.0, arrival.at - clock()))
        caller = _Caller(
            arrival=arrival,
            pattern=pattern,
            entries=entries,
            engines=engines,
            rng=rng,
        )
        callers.append(asyncio.ensure_future(caller.run()))
    await asyncio.wait(callers, timeout=DRAIN_SECONDS)
    for task in tasks:
        task.cancel()
    return ReplayResult(
        tuple(caller.result() for caller in callers if caller.done()),
        sum(engine.read_tokens for engine in engines.values()),
        sum(engine.reread_tokens for engine in engines.values()),
        sum(engine.cached_tokens for engine in engines.values()),
    )


def _initial_reply(pattern: Pattern, entries: list[_Entry]) -> PollReply:
    spec = pattern.spec
    engine = Engine(spec.slots, spec.kv_capacity_tokens, spec.tokens_per_event)
    service = RoutedService(SERVICE, warmup_per_second=WARMUP_PER_SECOND, engine=engine)
    table = RouteTable(1, pattern.routes, (service,))
    return PollReply(
        registry_id="r",
        revision=1,
        whole=True,
        current=True,
        zone=ZONES[0],
        entries=tuple(
            EntryRecord(entry.name, REGION, entry.zone, "", "", 1, "serving")
            for entry in entries
        ),
        upstreams=tuple(
            ServiceUpstream(
                id=f"e-{number}",
                service=SERVICE,
                address=f"10.0.0.{number}:80",
                zone=ZONES[number % 2],
                born=1,
                sequence=1,
                slots=spec.slots,
                cold_seconds=pattern.seconds if number < pattern.cold_engines else 0.0,
            )
            for number in range(pattern.engines)
        ),
        routing=RoutingUpdate(1, encode_table(table), ()),
        settled=True,
    )


async def _report_loads(entries: list[_Entry], rng: Random) -> None:
    """Report loads as polls and gossip do: sooner within a zone than across zones."""
    clock = asyncio.get_running_loop().time
    sums_by_zone = {
        zone: RegionLoads(
            region=REGION, regions_by_zone=dict.fromkeys(ZONES, REGION), clock=clock
        )
        for zone in ZONES
    }
    parts_by_zone = {zone: PartLog(clock=clock) for zone in ZONES}

    async def poll(entry: _Entry) -> None:
        sums, parts = sums_by_zone[entry.zone], parts_by_zone[entry.zone]
        known = 0
        await asyncio.sleep(rng.random() * HOLD_SECONDS)
        while True:
            sums.record_entry(EntryLoads(entry.name, entry.in_flight.own_loads(), ()))
            memories = entry.in_flight.memories
            parts.record(entry.name, memories.take_sent())
            await asyncio.sleep(HOLD_SECONDS)
            news = parts.news_for(entry.name, known)
            memories.note_sent_by_others(news.engines)
            known = news.revision
            loads = sums.loads_of_others(entry.name)
            entry.deployment.other_entries_loads_by_id = {
                load.id: load for load in loads
            }

    async def gossip(zone: ZoneName) -> None:
        names = [entry.name for entry in entries if entry.zone == zone]
        await asyncio.sleep(rng.random() * GOSSIP_SECONDS)
        while True:
            for other in ZONES:
                if other != zone:
                    for loads in sums_by_zone[zone].reports_of(names):
                        sums_by_zone[other].record_entry(loads)
                    parts_by_zone[other].record("", parts_by_zone[zone].take_for(other))
            await asyncio.sleep(GOSSIP_SECONDS)

    async with asyncio.TaskGroup() as tasks:
        for entry in entries:
            tasks.create_task(poll(entry))
        for zone in ZONES:
            tasks.create_task(gossip(zone))


class _Caller:
    """Caller that retries once after a refusal."""

    def __init__(
        self,
        *,
        arrival: Arrival,
        pattern: Pattern,
        entries: list[_Entry],
        engines: dict[str, VirtualEngine],
        rng: Random,
    ) -> None:
        self._arrival = arrival
        self._pattern = pattern
        self._entries = entries
        self._engines = engines
        self._rng = rng
        self._clock: Callable[[], Seconds] = asyncio.get_running_loop().time

    async def run(self) -> ArrivalOutcome:
        arrival = self._arrival
        max_worth = self._pattern.worth_by_route[arrival.route.name]
        for is_last in (False, True):
            entry = self._rng.choice(self._entries)
            request = self._request()
            found = await entry.dispatcher.find(request, Tried())
            if not isinstance(found, Failure):
                place = found.unwrap()
                assert not isinstance(place, RemoteTarget)
                return await self._run_at(entry, place)
            pause = found.failure().retry_after_seconds or 0.0
            if is_last or self._clock() + pause > request.deadline:
                break
            await asyncio.sleep(pause)
        return ArrivalOutcome(arrival, 0.0, max_worth, refused=True)

    def _request(self) -> RelayRequest:
        arrival = self._arrival
        return RelayRequest(
            id=str(arrival.number),
            route=arrival.route,
            service=SERVICE,
            method="POST",
            path="/",
            headers=(),
            body=b"",
            arrived=self._clock(),
            deadline=arrival.at + arrival.route.timeout_seconds,
            prompt=arrival.prompt,
        )

    async def _run_at(self, entry: _Entry, place: LocalTarget) -> ArrivalOutcome:
        arrival, route = self._arrival, self._arrival.route
        max_worth = self._pattern.worth_by_route[route.name]
        engine = self._engines[place.upstream.id]
        run = EngineRun(prompt=arrival.prompt, answer_tokens=arrival.answer_tokens)
        sent = self._clock()
        deadline = arrival.at + route.timeout_seconds
        first: Seconds | None = None
        error: Seconds | None = None
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(SEND_SECONDS)
                engine.start(run)
                first = await run.first_event + SEND_SECONDS
                error = first - sent - place.expected_seconds
                entry.in_flight.note_first_event(
                    place.in_flight_request,
                    ahead_ms=place.ahead_ms,
                    seconds=first - sent,
                )
                place.in_flight_request.follow_stream(
                    lambda: run.decoded_tokens, now=first
                )
                await run.ended
        except TimeoutError:
            engine.cancel(run)
            return ArrivalOutcome(arrival, 0.0, max_worth, False, first, error)
        finally:
            entry.dispatcher.release(place.in_flight_request, failed=False)
        in_time = (
            first - arrival.at <= route.objective_seconds
            and run.longest_pause <= route.max_pause_seconds
        )
        share = 1.0 if in_time else self._pattern.late_share_by_route[route.name]
        return ArrivalOutcome(
            arrival,
            share * max_worth,
            max_worth,
            False,
            first - arrival.at,
            error,
            place.in_flight_request.cached_tokens,
            run.cached_tokens,
        )
