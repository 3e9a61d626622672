"""Places requests on upstreams or regions, and queues those that find no free slot."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from prometheus_client import Counter as MetricCounter
from returns.result import Failure, Result, Success

from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.errors import (
    GatewayError,
    leaving,
    not_run,
    overloaded,
    version_gone,
)
from poplarlug.metrics import REGISTRY
from poplarlug.relay.in_flight import InFlightRequest
from poplarlug.relay.limiter import NO_SHARE_SECONDS
from poplarlug.relay.patience import latest_response_start
from poplarlug.relay.placement import (
    Candidate,
    Full,
    Local,
    NoUpstream,
    Paused,
    PlacementPolicy,
    Remote,
    RemoteRegion,
    Requirements,
    Unfinishable,
    place,
)
from poplarlug.relay.planned_stop import LEAVING_RETRY_SECONDS, PlannedStop
from poplarlug.relay.requests import RelayRequest
from poplarlug.relay.team_turns import TeamTurns
from poplarlug.relay.tried import Tried
from poplarlug.relay.view import FleetView
from poplarlug.relay.waiting import Pace, SortKey, Waiter, WaitQueue, retry_after
from poplarlug.routes import RoutedService
from poplarlug.types import Seconds, ServiceName, SoftwareVersion

RECHECK_SECONDS = 0.05
"""How often queued requests are placed again, as other entries may have freed slots."""

CLEANUP_INTERVAL_SECONDS = 1.0
"""How often the state of upstreams that are gone is dropped."""

NO_UPSTREAM_RETRY_SECONDS = 1.2
"""Retry time while the service has no upstream; an upstream announces itself within one
heartbeat interval."""

PACE_MARGIN = 2.0
"""Factor on the expected wait behind other requests for a rate limit. The wait may grow,
since this entry's share of the limit changes with the demand at the other entries."""

UNFINISHABLE_RETRY_SECONDS = 1.0
"""Retry time of a stream that can't end before its deadline; measured rates of engines
follow their load within seconds."""

MAX_UNPLACED = 8
"""How many queued requests of a route find no slot until the rest of the route isn't
looked at in the same pass; requests of a route and software version need about the
same."""

MIN_RUN_SECONDS = 0.05
"""A request with less time left is refused, as no response would be in time."""


_UNFINISHABLE = MetricCounter(
    "poplarlug_relay_unfinishable_streams_total",
    "Streams refused as no engine in reach could end them before their deadline.",
    ["service"],
    registry=REGISTRY,
)


class LocalTarget(NamedTuple):
    """A reserved slot at an upstream of the own region; the caller must release it."""

    upstream: ServiceUpstream
    in_flight_request: InFlightRequest
    expected_seconds: Seconds
    ahead_ms: int
    loss: float


class RemoteTarget(NamedTuple):
    """An entry of another region to which the request is forwarded."""

    entry: EntryRecord
    expected_seconds: Seconds
    loss: float


Target: TypeAlias = LocalTarget | RemoteTarget


_NoTarget: TypeAlias = Full | Paused | Unfinishable | NoUpstream


class _PlacementInputs(NamedTuple):
    service: RoutedService
    requirements: Requirements
    candidates: Sequence[Candidate]
    regions: Sequence[RemoteRegion]


class _WaitingRequest:
    def __init__(self, *, request: RelayRequest, tried: Tried) -> None:
        self.request = request
        self.tried = tried
        self.placed: asyncio.Future[Result[Target, GatewayError]] = (
            asyncio.get_running_loop().create_future()
        )


class _ServiceQueue:
    def __init__(self) -> None:
        self.waiters = WaitQueue()
        self.turns = TeamTurns()
        self.pace: Pace | None = None
        self.by_waiter: dict[Waiter, _WaitingRequest] = {}

    def update_pace(self, result: "Target | _NoTarget") -> None:
        """Update the pace from the placement of the request at the head of the queue."""
        self.pace = None
        if isinstance(result, Full) and result.interval_seconds is not None:
            self.pace = Pace(result.free_in_seconds, result.interval_seconds)

    def expected_wait(self, sort_key: SortKey, free_in: Seconds) -> Seconds:
        if self.pace is None:
            return self.waiters.expected_wait(sort_key, free_in)
        first, interval = self.pace
        return first + PACE_MARGIN * interval * self.waiters.position(sort_key)


class Dispatcher:
    """
    Find a target for each request, at once or after a wait in the queue.

    Parameters
    ----------
    view : FleetView
        Upstreams, regions and loads as known to this entry.
    stop : PlannedStop, optional
        Tells which requests a stopping entry still passes on.
    decide : callable
        Placement policy; another one than the default is used for comparisons only.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        clock: Callable[[], Seconds],
        stop: PlannedStop | None = None,
        decide: PlacementPolicy = place,
    ) -> None:
        self._view = view
        self._clock = clock
        self._stop = stop or PlannedStop(clock=clock)
        self._decide = decide
        self._queues_by_service: dict[ServiceName, _ServiceQueue] = {}
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Place queued requests until cancelled; sleeps while the queues are empty."""
        cleaned_at = self._clock()
        while True:
            await self._wait_for_waiters()
            if self._has_waiters.is_set():
                await asyncio.sleep(RECHECK_SECONDS)
                for service in list(self._queues_by_service):
                    self._serve_queue(service)
                if not self.waiting():
                    self._has_waiters.clear()
            if self._clock() - cleaned_at >= CLEANUP_INTERVAL_SECONDS:
                cleaned_at = self._clock()
                self._view.forget_gone()

    async def _wait_for_waiters(self) -> None:
        try:
            async with asyncio.timeout(CLEANUP_INTERVAL_SECONDS):
                await self._has_waiters.wait()
        except TimeoutError:
            # The cleanup is due.
            pass

    def waiting(self) -> Mapping[ServiceName, int]:
        """Return the number of queued requests by service."""
        return {
            service: len(queue.by_waiter)
            for service, queue in self._queues_by_service.items()
            if queue.by_waiter
        }

    def release(self, in_flight_request: InFlightRequest, *, failed: bool) -> None:
        """Release a slot and place queued requests of its service."""
        self._view.in_flight.note_ended(in_flight_request, failed=failed)
        upstream = self._view.deployment.upstream(in_flight_request.upstream_id)
        if upstream is not None:
            self._serve_queue(upstream.service)

    async def find(
        self, request: RelayRequest, tried: Tried
    ) -> Result[Target, GatewayError]:
        """
        Return a target, after a wait if no slot is free.

        Returns
        -------
        Failure(GatewayError)
            As soon as no slot is expected in time; the request has not run.
        """
        now = self._clock()
        if request.deadline - now < MIN_RUN_SECONDS:
            return Failure(not_run("the deadline has come", 0.0))
        if not self._may_pass_on(request, tried):
            return Failure(leaving(LEAVING_RETRY_SECONDS))
        self._view.limiter.note_request(request.service)
        queue = self._queues_by_service.setdefault(request.service, _ServiceQueue())
        sort_key = (
            request.rank,
            self._gives_way(queue, request),
            request.arrived + request.route.objective_seconds,
        )
        if queue.waiters.position(sort_key) == 0:
            result = self._place_now(request, tried)
            queue.update_pace(result)
            if not isinstance(result, Full):
                return self._to_result(request, result)
            free_in = result.free_in_seconds
        else:
            free_in = RECHECK_SECONDS
        return await self._wait(queue, sort_key, request, tried, free_in)

    async def _wait(
        self,
        queue: _ServiceQueue,
        sort_key: SortKey,
        request: RelayRequest,
        tried: Tried,
        free_in: Seconds,
    ) -> Result[Target, GatewayError]:
        now = self._clock()
        wait = queue.expected_wait(sort_key, free_in)
        start_by = self._start_by(request)
        if now + wait > start_by:
            return Failure(_overload_refusal(request, now, wait))
        waiter = queue.waiters.join(sort_key, start_by)
        queue.turns.join(request.team, request.quota_amount)
        waiting = _WaitingRequest(request=request, tried=tried)
        queue.by_waiter[waiter] = waiting
        self._has_waiters.set()
        try:
            return await waiting.placed
        except asyncio.CancelledError:
            self._release_unused(waiting.placed)
            raise
        finally:
            queue.waiters.leave(waiter)
            queue.turns.leave(request.team, request.quota_amount)
            queue.by_waiter.pop(waiter, None)

    def _gives_way(self, queue: _ServiceQueue, request: RelayRequest) -> bool:
        """Return whether a request waits behind those of other teams of its rank."""
        team = request.team
        routes = self._view.deployment.routes
        if routes is None or team is None or team.quota is None:
            return False
        all_rates = routes.quota_rates_by_unit.get(team.quota.unit, 0.0)
        return queue.turns.gives_way(team, request.quota_amount, all_rates)

    def _release_unused(
        self, placed: "asyncio.Future[Result[Target, GatewayError]]"
    ) -> None:
        """Release a slot that was assigned just as its caller was cancelled."""
        if placed.cancelled() or not placed.done():
            return
        target = placed.result().value_or(None)
        if isinstance(target, LocalTarget):
            self.release(target.in_flight_request, failed=False)

    def _start_by(self, request: RelayRequest) -> Seconds:
        """Return the latest start at which the caller can still be served."""
        first = max(MIN_RUN_SECONDS, 0.5 * request.route.objective_seconds)
        latest = latest_response_start(request)
        if request.broke_off_at is None:
            # After ``answer_by`` the entry that forwarded the request gives up on it and
            # can no longer learn that it never ran.
            latest = min(latest, request.answer_by)
        return latest - first

    def _serve_queue(self, service: ServiceName) -> None:
        queue = self._queues_by_service.get(service)
        if queue is None:
            return
        if self._stop.is_stopping:
            self._refuse_unfinishable(queue)
        now = self._clock()
        with self._view.one_moment():
            self._place_in_order(queue, now)
        wait = RECHECK_SECONDS if queue.pace is None else queue.pace.first_seconds
        for waiter in queue.waiters.too_late(now, queue.pace):
            waiting = queue.by_waiter[waiter]
            if not waiting.placed.done():
                refusal = _overload_refusal(waiting.request, now, wait)
                waiting.placed.set_result(Failure(refusal))
        if not queue.by_waiter:
            queue.waiters.reset_pace()

    def _place_in_order(self, queue: _ServiceQueue, now: Seconds) -> None:
        """Place the queued requests that find a slot, the most urgent one first."""
        is_head = True
        unplaced: Counter[tuple[str, SoftwareVersion | None]] = Counter()
        for waiter in queue.waiters.in_order():
            waiting = queue.by_waiter[waiter]
            kind = waiting.request.route.name, waiting.request.version
            if waiting.placed.done() or unplaced[kind] >= MAX_UNPLACED:
                continue
            result = self._place_now(waiting.request, waiting.tried)
            if is_head:
                queue.update_pace(result)
            if isinstance(result, Full):
                is_head = False
                unplaced[kind] += 1
                continue
            if not isinstance(result, Unfinishable):
                queue.waiters.record_start(now)
            queue.waiters.leave(waiter)
            waiting.placed.set_result(self._to_result(waiting.request, result))

    def _refuse_unfinishable(self, queue: _ServiceQueue) -> None:
        """Refuse the queued requests that would no longer end within a planned stop."""
        for waiter, waiting in queue.by_waiter.items():
            if waiting.placed.done() or self._may_pass_on(
                waiting.request, waiting.tried
            ):
                continue
            queue.waiters.leave(waiter)
            waiting.placed.set_result(Failure(leaving(LEAVING_RETRY_SECONDS)))

    def _may_pass_on(self, request: RelayRequest, tried: Tried) -> bool:
        """Return whether a request may be passed on, during a planned stop or else."""
        # Only its upstream can tell that a stream was whole, which needs a moment.
        return bool(tried.only) or self._stop.may_start(request)

    def may_start(self, request: RelayRequest) -> bool:
        """Return whether a request that waited elsewhere may still be passed on."""
        return self._stop.may_start(request)

    def can_place(self, request: RelayRequest, tried: Tried) -> bool:
        """Return whether a request would get a target now, without reserving it."""
        inputs = self._placement_inputs(request, tried)
        if inputs is None:
            return False
        placement = self._decide(inputs.requirements, inputs.candidates, inputs.regions)
        return isinstance(placement, Local | Remote)

    def _placement_inputs(
        self, request: RelayRequest, tried: Tried
    ) -> "_PlacementInputs | None":
        view = self._view
        routes = view.deployment.routes
        service = (
            None if routes is None else routes.services_by_name.get(request.service)
        )
        if service is None:
            return None
        requirements = view.requirements(request)
        affinity = view.affinity(request, requirements) if service.engine else None
        candidates = view.candidates(request, service, tried, affinity)
        regions = (
            view.regions(request, tried, affinity) if requirements.may_forward else []
        )
        return _PlacementInputs(service, requirements, candidates, regions)

    def _place_now(self, request: RelayRequest, tried: Tried) -> "Target | _NoTarget":
        view = self._view
        inputs = self._placement_inputs(request, tried)
        if inputs is None:
            return NoUpstream()
        service, requirements, candidates, regions = inputs
        while True:
            placement = self._decide(requirements, candidates, regions)
            if isinstance(placement, Unfinishable) and view.may_end_later(
                request, service, tried
            ):
                # As beside a quick engine that is full.
                requirements = requirements._replace(answer=None)
                continue
            if not isinstance(placement, Remote):
                break
            entry = view.pick_entry(placement.region)
            if entry is not None:
                view.note_forwarded(placement.region, request)
                return RemoteTarget(entry, placement.expected_seconds, placement.loss)
            regions = [r for r in regions if r.region != placement.region]
        if isinstance(placement, NoUpstream):
            # Upstreams may be paused, or cold or limited without any budget left.
            free = view.next_free_slot(request, service, tried)
            wait = self._wait_for_discovery(tried) or self._wait_for_entry(
                request, tried
            )
            return free or wait or placement
        if not isinstance(placement, Local):
            return placement
        chosen = next(c for c in candidates if c.id == placement.upstream_id)
        upstream, in_flight_request = view.start_request(chosen, service, request)
        return LocalTarget(
            upstream,
            in_flight_request,
            placement.expected_seconds,
            chosen.load.read_ms,
            placement.loss,
        )

    def _wait_for_discovery(self, tried: Tried) -> Full | None:
        """
        Return when to look for upstreams again, ``None`` if all are known.

        Load pattern: all processes restart at once and all callers come back, while the
        control replicas still compare what they knew. Refused callers would come back
        later than the upstreams are known, and some have no retry left.
        """
        left = self._view.deployment.discovery_seconds_left
        if left <= 0 or tried != Tried():
            return None
        # They may be known at any moment, so nobody is refused who can wait a moment.
        return Full(min(left, RECHECK_SECONDS), interval_seconds=0.0)

    def _wait_for_entry(self, request: RelayRequest, tried: Tried) -> Full | None:
        """Return when to look again for an entry of the only regions for a stream."""
        if not self._view.awaits_entry(request, tried):
            return None
        return Full(RECHECK_SECONDS, interval_seconds=0.0)

    def _to_result(
        self,
        request: RelayRequest,
        placed: "Target | Paused | Unfinishable | NoUpstream",
    ) -> Result[Target, GatewayError]:
        if isinstance(placed, Paused):
            message = f"all upstreams of {request.service} asked for a pause"
            return Failure(overloaded(message, placed.seconds))
        if isinstance(placed, Unfinishable):
            _UNFINISHABLE.labels(request.service).inc()
            message = "no engine in reach can end the stream before its deadline"
            left = request.deadline - self._clock()
            return Failure(
                overloaded(message, retry_after(UNFINISHABLE_RETRY_SECONDS, left))
            )
        if not isinstance(placed, NoUpstream):
            return Success(placed)
        left = request.deadline - self._clock()
        if not self._view.may_return(request):
            message = f"no upstream has version {request.version!r} any more"
            return Failure(version_gone(message))
        message = f"no upstream of {request.service} is in reach"
        return Failure(not_run(message, retry_after(NO_UPSTREAM_RETRY_SECONDS, left)))


def _overload_refusal(
    request: RelayRequest, now: Seconds, wait: Seconds
) -> GatewayError:
    message = "all places are taken; none comes to this entry"
    if wait < NO_SHARE_SECONDS:
        message = f"all places are taken; one is expected in {wait:.2f} s"
    return overloaded(message, retry_after(wait, request.deadline - now))
