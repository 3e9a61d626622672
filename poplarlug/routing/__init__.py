"""Route selection: a local upstream or an entry of another zone."""

from poplarlug.routing.base import (
    Fleet,
    ForwardRoute,
    LocalRoute,
    Route,
    RouteRequest,
    RoutingPolicy,
    ZoneView,
)
from poplarlug.routing.expected_finish import ExpectedFinish
from poplarlug.routing.least_loaded import LeastLoaded
from poplarlug.routing.prefix_index import PrefixIndex
from poplarlug.routing.random_choice import RandomChoice
from poplarlug.routing.round_robin import RoundRobin
from poplarlug.routing.upstream_loads import UpstreamLoads
from poplarlug.routing.wan_budget import WanBudget
from poplarlug.routing.zone_ramp import ZoneRamp

__all__ = [
    "ExpectedFinish",
    "Fleet",
    "ForwardRoute",
    "LeastLoaded",
    "LocalRoute",
    "PrefixIndex",
    "RandomChoice",
    "RoundRobin",
    "Route",
    "RouteRequest",
    "RoutingPolicy",
    "UpstreamLoads",
    "WanBudget",
    "ZoneRamp",
    "ZoneView",
]
