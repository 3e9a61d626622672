"""Route lookup."""

from collections import defaultdict
from collections.abc import Sequence
from random import Random

from poplarlug.routes.objects import Route, RoutedService, RouteTable
from poplarlug.teams import QuotaUnit, Team, TeamDirectory
from poplarlug.types import ServiceName


class RouteIndex:
    """
    Look up routes by host and longest matching path prefix.

    Parameters
    ----------
    table : RouteTable
        A valid table.
    """

    def __init__(self, *, table: RouteTable) -> None:
        self.table = table
        self.services_by_name: dict[ServiceName, RoutedService] = {
            service.name: service for service in table.services
        }
        self.teams: TeamDirectory | None = None
        if table.teams is not None:
            self.teams = TeamDirectory(teams=table.teams)
        self.quota_rates_by_unit: dict[QuotaUnit, float] = defaultdict(float)
        for team in table.teams or ():
            if team.quota is not None:
                self.quota_rates_by_unit[team.quota.unit] += team.quota.per_second
        self._prompt_ranks_by_service: dict[ServiceName, set[int]] = {}
        for route in table.routes:
            if route.prompts:
                for weighted in route.services:
                    ranks = self._prompt_ranks_by_service.setdefault(
                        weighted.service, set()
                    )
                    ranks.update(_ranks_of(route, table.teams))
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._routes_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.path_prefix] = route

    @property
    def version(self) -> int:
        return self.table.version

    def is_most_urgent(self, rank: int, service: ServiceName) -> bool:
        """Return whether a service's other prompts are of lower or equal rank, some lower."""
        ranks = self._prompt_ranks_by_service.get(service, set())
        return len(ranks) > 1 and rank == min(ranks)

    def find(self, host: str, path: str) -> Route | None:
        """
        Return the route of ``path``, or ``None`` if no route matches.

        Parameters
        ----------
        host : str
            The ``Host`` header, with or without a port.
        path : str
            Path without the query.
        """
        by_prefix = self._routes_by_prefix_by_host.get(host.lower())
        if by_prefix is None:
            name = host.rpartition(":")[0] if ":" in host else host
            by_prefix = self._routes_by_prefix_by_host.get(name.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _ranks_of(route: Route, teams: Sequence[Team] | None) -> set[int]:
    """Return the ranks that requests on a route may have."""
    ranks = {route.rank if team.rank is None else team.rank for team in teams or ()}
    return ranks | {route.rank} if not teams or route.is_open else ranks


def draw_service(route: Route, rng: Random) -> ServiceName:
    """Return one of the route's services, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [service_weight.weight for service_weight in route.services]
    return rng.choices(route.services, weights)[0].service
