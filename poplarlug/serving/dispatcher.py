"""Placement of requests, combining routing and admission."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Failure, Result, Success

from poplarlug.admission import Admission, AdmissionRequest, Permit
from poplarlug.admission.base import Slots
from poplarlug.errors import GatewayError, not_run, overloaded
from poplarlug.membership.upstreams import Announcement
from poplarlug.routing import (
    Fleet,
    ForwardRoute,
    RouteRequest,
    RoutingPolicy,
    UpstreamLoads,
)
from poplarlug.routing.base import candidates, without_entries

RETRY_AFTER_SECONDS = 1.0
DEFAULT_MAX_TOKENS = 256
DEFAULT_TOKEN_SECONDS = 0.027
SERVICE_COST_SECONDS = 0.1


class LocalPlacement:
    """A slot at an upstream of the local zone, held until :meth:`release`."""

    def __init__(
        self, *, upstream: Announcement, permit: Permit, loads: UpstreamLoads
    ) -> None:
        self.upstream = upstream
        self._permit = permit
        self._loads = loads
        self._released = False
        loads.record_start(upstream)
        permit.mark_placed()

    def release(self) -> None:
        """Return the slot; idempotent."""
        if not self._released:
            self._released = True
            self._loads.record_end(self.upstream)
            self._permit.release()


Placement: TypeAlias = LocalPlacement | ForwardRoute


class _CachedSlots(NamedTuple):
    """Slot totals, valid until an announcement or a request's start or end."""

    upstreams: tuple[Announcement, ...]
    version: int
    name: str | None
    slots: Slots


class DispatchParts(NamedTuple):
    """Policy, admission and load estimates that a dispatcher combines."""

    policy: RoutingPolicy
    admission: Admission
    loads: UpstreamLoads


class Dispatcher:
    """
    Place each request at a local upstream or forward it.

    Parameters
    ----------
    fleet : callable
        Returns the current upstreams and zones.
    """

    def __init__(self, *, parts: DispatchParts, fleet: Callable[[], Fleet]) -> None:
        self._policy = parts.policy
        self._admission = parts.admission
        self._loads = parts.loads
        self._fleet = fleet
        self._cached_slots: _CachedSlots | None = None

    async def place(self, request: RouteRequest) -> Result[Placement, GatewayError]:
        """
        Choose a route and, for a local one, wait for admission.

        Returns
        -------
        Success(LocalPlacement or ForwardRoute) or Failure(GatewayError)
            The caller must release a local placement.
        """
        admission_request = self._admission_request(request)
        wait = self._admission.expected_wait(admission_request)
        fleet = without_entries(self._fleet(), request.excluded_entries)
        route = self._policy.choose(request._replace(local_wait_seconds=wait), fleet)
        if route is None:
            return Failure(not_run("no upstream serves this now", RETRY_AFTER_SECONDS))
        if isinstance(route, ForwardRoute):
            self._policy.record_sent(request, route)
            return Success(route)
        admitted = await self._admission.admit(admission_request)
        if isinstance(admitted, Failure):
            refusal = admitted.failure()
            return Failure(overloaded(refusal.message, refusal.retry_after_seconds))
        permit = admitted.unwrap()
        if wait > 0:
            # The upstreams may have changed during the wait, so route again.
            local_request = request._replace(may_forward=False)
            route = self._policy.choose(local_request, self._fleet())
        if route is None or isinstance(route, ForwardRoute):
            permit.release()
            return Failure(not_run("the upstreams have left", RETRY_AFTER_SECONDS))
        self._policy.record_sent(request, route)
        return Success(
            LocalPlacement(upstream=route.upstream, permit=permit, loads=self._loads)
        )

    def _admission_request(self, request: RouteRequest) -> AdmissionRequest:
        pool = request.model or f"service {request.service}"
        if request.service is not None:
            cost = SERVICE_COST_SECONDS
        else:
            cost = (request.max_tokens or DEFAULT_MAX_TOKENS) * DEFAULT_TOKEN_SECONDS
        any_upstream = request._replace(excluded=frozenset())
        return AdmissionRequest(
            pool=pool,
            account=request.account.name,
            rank=request.rank,
            slots=lambda: self._slots(any_upstream),
            cost=cost,
        )

    def _slots(self, request: RouteRequest) -> Slots:
        upstreams = self._fleet().upstreams
        name = request.model or request.service
        cached = self._cached_slots
        if (
            cached is None
            or cached.upstreams is not upstreams
            or cached.version != self._loads.version
            or cached.name != name
        ):
            sums = self._loads.slots(candidates(request, upstreams))
            slots = Slots(*sums, self._loads.entry_count)
            cached = _CachedSlots(upstreams, self._loads.version, name, slots)
            self._cached_slots = cached
        return cached.slots
