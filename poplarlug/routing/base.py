"""Interface of routing policies and the views that they decide on."""

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
    What routing knows of a request.

    Parameters
    ----------
    prompt_tokens, max_tokens : int
        Estimated length of the prompt and upper bound of the answer.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, shortest first.
    excluded : frozenset of UpstreamId
        Upstreams that failed this request already.
    excluded_entries : frozenset of VmName
        Other zones' entries that failed this request already.
    may_forward : bool
        Whether it may go to another zone; false for a forwarded request.
    body_bytes : int
        Size of its body, for the links between regions.
    local_wait_seconds : float
        Expected wait for admission in the own zone.
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
    Another zone as its summary shows it.

    Parameters
    ----------
    running, queued, capacity : int
        Of all its upstreams; capacity is 0 when it doesn't say.
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
    All that a policy may send to.

    Parameters
    ----------
    in_flight_by_id : mapping
        Requests that this entry has in progress, by upstream.
    """

    upstreams: tuple[Announcement, ...]
    in_flight_by_id: Mapping[UpstreamId, int]
    zones: tuple[ZoneView, ...] = ()


class LocalRoute(NamedTuple):
    """Send to an upstream of the own zone."""

    upstream: Announcement


class ForwardRoute(NamedTuple):
    """Send to an entry of another zone."""

    zone: ZoneName
    region: RegionName
    entry: VmName


Route: TypeAlias = LocalRoute | ForwardRoute


class RoutingPolicy(ABC):
    """Choose a route; no I/O, no await, work proportional to the candidates."""

    @abstractmethod
    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        """Return the route of ``request``, ``None`` when there is none."""

    def record_sent(self, request: RouteRequest, route: Route) -> None:  # noqa: B027
        """Take note that ``request`` went along ``route``; nothing by default."""


def candidates(
    request: RouteRequest, upstreams: Iterable[Announcement]
) -> list[Announcement]:
    """Return those of ``upstreams`` that hold what ``request`` asks for."""
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
    """Return ``fleet`` without the other zones' entries in ``excluded``."""
    if not excluded:
        return fleet
    zones = []
    for zone in fleet.zones:
        entries = tuple(entry for entry in zone.entries if entry not in excluded)
        if entries:
            zones.append(zone._replace(entries=entries))
    return fleet._replace(zones=tuple(zones))


def zone_serves(request: RouteRequest, zone: ZoneView) -> bool:
    """Return whether ``request`` may go to ``zone`` and finds its model there."""
    if not request.may_forward or zone.region not in request.account.regions:
        return False
    if request.service is not None:
        return request.service in zone.services
    return request.model in zone.models
