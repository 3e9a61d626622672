"""Joins placement and waiting: where and when a request runs."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from returns.result import Failure, Result, Success

from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.errors import GatewayError, not_run, overloaded
from poplarlug.relay.in_flight import InFlightRequest
from poplarlug.relay.limiter import NO_SHARE_SECONDS
from poplarlug.relay.placement import (
    Away,
    Candidate,
    Decide,
    Demand,
    Full,
    Local,
    Nothing,
    RemoteRegion,
    place,
)
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.view import FleetView, Tried, latest_first_answer
from poplarlug.relay.waiting import Pace, Waiter, WaitingLine, retry_after
from poplarlug.routes import RoutedService
from poplarlug.types import Seconds, ServiceName

RECHECK_SECONDS = 0.05
"""How often waiting requests look for a place that another entry gave back."""

FORGET_SECONDS = 1.0
"""How often what is held of upstreams that are gone is dropped."""

NO_UPSTREAM_RETRY_SECONDS = 1.2
"""When to come back where no upstream is there; one announces itself in a beat."""

PACE_MARGIN = 2.0
"""Who waits behind others for a limit has to bear so many times the wait for them: an
entry's share of the limit moves with the demand at the others."""

MIN_RUN_SECONDS = 0.05
"""A request with less time left can't be answered."""


class LocalPlace(NamedTuple):
    """A place at an upstream of the region; the caller ends the flight."""

    upstream: ServiceUpstream
    flight: InFlightRequest
    expected_seconds: Seconds
    ahead_ms: int
    loss: float


class FarPlace(NamedTuple):
    """An entry of another region that is to serve the request."""

    entry: EntryRecord
    expected_seconds: Seconds
    loss: float


Place: TypeAlias = LocalPlace | FarPlace


class _Options(NamedTuple):
    service: RoutedService
    demand: Demand
    candidates: Sequence[Candidate]
    regions: Sequence[RemoteRegion]


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
        self.pace: Pace | None = None
        self.by_waiter: dict[Waiter, _Waiting] = {}

    def note(self, result: "Place | Full | Nothing") -> None:
        """Take in what a request at the head of the line got."""
        self.pace = None
        if isinstance(result, Full) and result.pace_seconds is not None:
            self.pace = Pace(result.free_in_seconds, result.pace_seconds)

    def expected_wait(self, order: tuple[int, Seconds], free_in: Seconds) -> Seconds:
        if self.pace is None:
            return self.order.expected_wait(order, free_in)
        first, interval = self.pace
        return first + PACE_MARGIN * interval * self.order.position(order)


class Dispatcher:
    """
    Find a place for each request, now or after a wait.

    Parameters
    ----------
    view : FleetView
        Upstreams, regions and loads as this entry knows them.
    decide : callable
        Another decision than the product's, for comparisons.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        clock: Callable[[], Seconds],
        decide: Decide = place,
    ) -> None:
        self._view = view
        self._clock = clock
        self._decide = decide
        self._lines_by_service: dict[ServiceName, _Line] = {}
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Give places to waiting requests until cancelled; idle while none waits."""
        forgot_at = self._clock()
        while True:
            await self._wait_for_waiters()
            if self._has_waiters.is_set():
                await asyncio.sleep(RECHECK_SECONDS)
                for service in list(self._lines_by_service):
                    self._serve_line(service)
                if not self.waiting():
                    self._has_waiters.clear()
            if self._clock() - forgot_at >= FORGET_SECONDS:
                forgot_at = self._clock()
                self._view.forget_gone()

    async def _wait_for_waiters(self) -> None:
        try:
            async with asyncio.timeout(FORGET_SECONDS):
                await self._has_waiters.wait()
        except TimeoutError:
            # It is time to forget what is gone.
            pass

    def waiting(self) -> Mapping[ServiceName, int]:
        """Return how many requests wait, by service."""
        return {
            service: len(line.by_waiter)
            for service, line in self._lines_by_service.items()
            if line.by_waiter
        }

    def release(self, flight: InFlightRequest, *, failed: bool) -> None:
        """Give a place back."""
        self._view.in_flight.note_ended(flight, failed=failed)
        upstream = self._view.deployment.upstream(flight.upstream_id)
        if upstream is not None:
            self._serve_line(upstream.service)

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
        self._view.limiter.note_request(request.service)
        line = self._lines_by_service.setdefault(request.service, _Line())
        order = (request.route.rank, request.arrived + request.route.objective_seconds)
        if line.order.position(order) == 0:
            result = self._try(request, tried)
            line.note(result)
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
        wait = line.expected_wait(order, free_in)
        start_by = self._start_by(request)
        if now + wait > start_by:
            return Failure(_turned_away(request, now, wait))
        waiter = line.order.join(order, start_by)
        waiting = _Waiting(request=request, tried=tried)
        line.by_waiter[waiter] = waiting
        self._has_waiters.set()
        try:
            return await waiting.placed
        except asyncio.CancelledError:
            self._give_back(waiting.placed)
            raise
        finally:
            line.order.leave(waiter)
            line.by_waiter.pop(waiter, None)

    def _give_back(self, placed: "asyncio.Future[Result[Place, GatewayError]]") -> None:
        """Release a place that came together with the end of its caller."""
        if placed.cancelled() or not placed.done():
            return
        place = placed.result().value_or(None)
        if isinstance(place, LocalPlace):
            self.release(place.flight, failed=False)

    def _start_by(self, request: RelayRequest) -> Seconds:
        """Return the latest start that still serves the caller."""
        first = max(MIN_RUN_SECONDS, 0.5 * request.route.objective_seconds)
        latest = latest_first_answer(request)
        # The entry that handed it on could not tell later that it had only waited.
        return min(latest, request.answer_by) - first

    def _serve_line(self, service: ServiceName) -> None:
        line = self._lines_by_service.get(service)
        if line is None:
            return
        now = self._clock()
        is_head = True
        for waiter in line.order.in_order():
            waiting = line.by_waiter[waiter]
            if waiting.placed.done():
                continue
            result = self._try(waiting.request, waiting.tried)
            if is_head:
                line.note(result)
            if isinstance(result, Full):
                is_head = False
                continue
            line.order.started(now)
            line.order.leave(waiter)
            waiting.placed.set_result(self._to_result(waiting.request, result))
        wait = RECHECK_SECONDS if line.pace is None else line.pace.first_seconds
        for waiter in line.order.late(now, line.pace):
            waiting = line.by_waiter[waiter]
            if not waiting.placed.done():
                refusal = _turned_away(waiting.request, now, wait)
                waiting.placed.set_result(Failure(refusal))
        if not line.by_waiter:
            line.order.idle()

    def has_place(self, request: RelayRequest, tried: Tried) -> bool:
        """Return whether a request would get a place now, without taking it."""
        options = self._options(request, tried)
        if options is None:
            return False
        placement = self._decide(options.demand, options.candidates, options.regions)
        return isinstance(placement, Local | Away)

    def _options(self, request: RelayRequest, tried: Tried) -> "_Options | None":
        view = self._view
        routes = view.deployment.routes
        service = (
            None if routes is None else routes.services_by_name.get(request.service)
        )
        if service is None:
            return None
        demand = view.demand(request)
        affinity = view.affinity(request, demand) if service.engine else None
        candidates = view.candidates(request, service, tried, affinity)
        regions = view.regions(request, tried, affinity) if demand.may_forward else []
        return _Options(service, demand, candidates, regions)

    def _try(self, request: RelayRequest, tried: Tried) -> "Place | Full | Nothing":
        view = self._view
        options = self._options(request, tried)
        if options is None:
            return Nothing()
        service, demand, candidates, regions = options
        while True:
            placement = self._decide(demand, candidates, regions)
            if not isinstance(placement, Away):
                break
            entry = view.entry_of(placement.region)
            if entry is not None:
                view.hand_to(placement.region, request)
                return FarPlace(entry, placement.expected_seconds, placement.loss)
            regions = [r for r in regions if r.region != placement.region]
        if isinstance(placement, Nothing):
            # Cold or limited ones may have got what they bear for now.
            return view.next_place(request, service, tried) or placement
        if not isinstance(placement, Local):
            return placement
        chosen = next(c for c in candidates if c.id == placement.upstream_id)
        upstream, flight = view.send_to(chosen, service, request)
        return LocalPlace(
            upstream,
            flight,
            placement.expected_seconds,
            chosen.load.read_ms,
            placement.loss,
        )

    def _to_result(
        self, request: RelayRequest, placed: "Place | Nothing"
    ) -> Result[Place, GatewayError]:
        if not isinstance(placed, Nothing):
            return Success(placed)
        left = request.deadline - self._clock()
        message = f"no upstream of {request.service} is in reach"
        return Failure(not_run(message, retry_after(NO_UPSTREAM_RETRY_SECONDS, left)))


def _turned_away(request: RelayRequest, now: Seconds, wait: Seconds) -> GatewayError:
    message = "all places are taken; none comes to this entry"
    if wait < NO_SHARE_SECONDS:
        message = f"all places are taken; one is expected in {wait:.2f} s"
    return overloaded(message, retry_after(wait, request.deadline - now))
