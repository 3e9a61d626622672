"""Baseline policy: a uniformly random upstream."""

from random import Random

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


class RandomChoice(RoutingPolicy):
    """Choose a random local upstream; forward to a random zone when there is none."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng

    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        local = candidates(request, fleet.upstreams)
        if local:
            return LocalRoute(self._rng.choice(local))
        remote_zones = [zone for zone in fleet.zones if zone_serves(request, zone)]
        if not remote_zones:
            return None
        zone = self._rng.choice(remote_zones)
        return ForwardRoute(zone.zone, zone.region, self._rng.choice(zone.entries))
