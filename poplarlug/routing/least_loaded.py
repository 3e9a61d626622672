"""Baseline policy: the upstream with the fewest requests in progress."""

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


class LeastLoaded(RoutingPolicy):
    """Prefer local upstreams; forward only when none of them serves the request."""

    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        local = candidates(request, fleet.upstreams)
        if local:
            in_flight = fleet.in_flight_by_id
            return LocalRoute(
                min(local, key=lambda u: u.running + in_flight.get(u.id, 0))
            )
        remote_zones = [zone for zone in fleet.zones if zone_serves(request, zone)]
        if not remote_zones:
            return None
        zone = min(remote_zones, key=lambda view: view.running)
        return ForwardRoute(zone.zone, zone.region, zone.entries[0])
