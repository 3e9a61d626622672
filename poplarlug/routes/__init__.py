"""Routes by host and path prefix, which operators replace in one atomic change."""

from poplarlug.routes.checks import check_route_table
from poplarlug.routes.index import RouteIndex
from poplarlug.routes.objects import (
    CallerLimits,
    Engine,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceWeight,
)

__all__ = [
    "CallerLimits",
    "Engine",
    "Route",
    "RouteIndex",
    "RouteKind",
    "RouteTable",
    "RoutedService",
    "ServiceWeight",
    "check_route_table",
]
