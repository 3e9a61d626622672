"""Interface of routing policies and the load views they read."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypeAlias

from poplarlug.catalog import Account, Rank
from poplarlug.membership.upstreams import Announcement
from poplarlug.types import (
    ModelName,
    RegionName,
    Seconds,
    ServiceName,
    UpstreamId,
    VmName,
    ZoneName,
)


class RouteRequest(NamedTuple):
    """
    Properties of a request that routing policies read.

    Parameters
    ----------
    prompt_tokens, max_tokens : int
        Estimated prompt length and upper bound of the answer length.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, shortest first.
    excluded : frozenset of UpstreamId
        Upstreams at which this request has already failed.
    excluded_entries : frozenset of VmName
        Entries of other zones through which this request has already failed.
    may_forward : bool
        Whether it may be forwarded to another zone; false for a request that was
        forwarded here.
    body_bytes : int
        Body size, counted against the bandwidth between regions.
    local_wait_seconds : float
        Expected admission wait in the local zone.
    """

    account: Account
    rank: Rank
    model: ModelName | None = None
    service: ServiceName | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[UpstreamId] = frozenset()
    may_forward: bool = True
    body_bytes: int = 0
    local_wait_seconds: Seconds = 0.0
    excluded_entries: frozenset[VmName] = frozenset()


class ZoneView(NamedTuple):
    """
    State of another zone according to its latest summary.

    Parameters
    ----------
    running, queued, capacity : int
        Totals over the zone's upstreams; ``capacity`` is 0 when not reported.
    """

    zone: ZoneName
    region: RegionName
    entries: tuple[VmName, ...]
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    running: int
    queued: int = 0
    capacity: int = 0


class Fleet(NamedTuple):
    """
    Upstreams and zones that a policy can choose from.

    Parameters
    ----------
    in_flight_by_id : mapping
        Requests that this entry has in flight, by upstream.
    """

    upstreams: tuple[Announcement, ...]
    in_flight_by_id: Mapping[UpstreamId, int]
    zones: tuple[ZoneView, ...] = ()


class LocalRoute(NamedTuple):
    """Send to an upstream of the local zone."""

    upstream: Announcement


class ForwardRoute(NamedTuple):
    """Send to an entry of another zone."""

    zone: ZoneName
    region: RegionName
    entry: VmName


Route: TypeAlias = LocalRoute | ForwardRoute


class RoutingPolicy(ABC):
    """
    Choose a route for each request.

    Implementations do no I/O, never await, and take time linear in the number of
    candidates.
    """

    @abstractmethod
    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        """Return the route of ``request``, or ``None`` when nothing can serve it."""

    def record_sent(self, request: RouteRequest, route: Route) -> None:  # noqa: B027
        """Record that ``request`` was sent along ``route``; a no-op by default."""


def candidates(
    request: RouteRequest, upstreams: Iterable[Announcement]
) -> list[Announcement]:
    """Return the ``upstreams`` that serve the model or service of ``request``."""
    if request.service is not None:
        service = request.service
        matching = [u for u in upstreams if service in u.services]
    else:
        model = request.model
        matching = [u for u in upstreams if model in u.models]
    if request.excluded:
        matching = [u for u in matching if u.id not in request.excluded]
    return matching


def without_entries(fleet: Fleet, excluded: frozenset[VmName]) -> Fleet:
    """Return ``fleet`` without the entries in ``excluded`` and zones left empty."""
    if not excluded:
        return fleet
    zones = []
    for zone in fleet.zones:
        entries = tuple(entry for entry in zone.entries if entry not in excluded)
        if entries:
            zones.append(zone._replace(entries=entries))
    return fleet._replace(zones=tuple(zones))


def zone_serves(request: RouteRequest, zone: ZoneView) -> bool:
    """Return whether ``zone`` serves ``request`` and the account allows its region."""
    if not request.may_forward or zone.region not in request.account.regions:
        return False
    if request.service is not None:
        return request.service in zone.services
    return request.model in zone.models
