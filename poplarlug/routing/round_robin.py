"""Baseline policy: round robin over the upstreams."""

from poplarlug.routing.base import (
    Fleet,
    ForwardRoute,
    LocalRoute,
    Route,
    RouteRequest,
    RoutingPolicy,
    candidates,
    zone_serves,
)


class RoundRobin(RoutingPolicy):
    """Cycle through local upstreams; through other zones when there are none."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        self._turn += 1
        local = candidates(request, fleet.upstreams)
        if local:
            return LocalRoute(local[self._turn % len(local)])
        remote_zones = [zone for zone in fleet.zones if zone_serves(request, zone)]
        if not remote_zones:
            return None
        zone = remote_zones[self._turn % len(remote_zones)]
        return ForwardRoute(
            zone.zone, zone.region, zone.entries[self._turn % len(zone.entries)]
        )
