"""Where a request goes: upstreams of the zone or another zone."""

from poplarlug.routing.base import (
    Fleet,
    ForwardRoute,
    LocalRoute,
    Route,
    RouteRequest,
    RoutingPolicy,
    ZoneView,
)
from poplarlug.routing.least_loaded import LeastLoaded

__all__ = [
    "Fleet",
    "ForwardRoute",
    "LeastLoaded",
    "LocalRoute",
    "Route",
    "RouteRequest",
    "RoutingPolicy",
    "ZoneView",
]
