"""Validation of route tables."""

from collections.abc import Iterable

from poplarlug.routes.objects import Route, RouteTable
from poplarlug.routes.problems import RouteProblem
from poplarlug.routes.team_checks import check_teams

MAX_ROUTES = 5000
MAX_SERVICES = 500


def check_route_table(table: RouteTable) -> list[RouteProblem]:
    """Return all problems of ``table``, which is valid only if there are none."""
    too_many = list(_size_problems(table))
    if too_many:
        return too_many
    return [
        *_table_problems(table),
        *_route_problems(table),
        *check_teams(table.teams or ()),
    ]


def _size_problems(table: RouteTable) -> Iterable[RouteProblem]:
    if len(table.routes) > MAX_ROUTES:
        message = f"got {len(table.routes)}, expected at most {MAX_ROUTES}"
        yield RouteProblem("$.routes", message)
    if len(table.services) > MAX_SERVICES:
        message = f"got {len(table.services)}, expected at most {MAX_SERVICES}"
        yield RouteProblem("$.services", message)


def _table_problems(table: RouteTable) -> Iterable[RouteProblem]:
    if table.version < 0:
        yield RouteProblem("$.version", f"got {table.version}, expected 0 or more")
    names = [service.name for service in table.services]
    for index, name in enumerate(names):
        if name in names[:index]:
            path = f"$.services[{index}].name"
            yield RouteProblem(path, f"the name {name!r} stands twice")


def _route_problems(table: RouteTable) -> Iterable[RouteProblem]:
    services = {service.name for service in table.services}
    paths_by_host_and_prefix: dict[tuple[str, str], str] = {}
    for index, route in enumerate(table.routes):
        path = f"$.routes[{index}]"
        host_and_prefix = (route.host.lower(), route.path_prefix)
        first_path = paths_by_host_and_prefix.setdefault(host_and_prefix, path)
        if first_path is not path:
            message = f"{first_path} has the same host and prefix"
            yield RouteProblem(f"{path}.path_prefix", message)
        for service_weight in route.services:
            if service_weight.service not in services:
                message = f"no service is named {service_weight.service!r}"
                yield RouteProblem(f"{path}.services", message)
        yield from _value_problems(path, route)


def _value_problems(path: str, route: Route) -> Iterable[RouteProblem]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        message = f"got {prefix!r}, expected a slash at both ends"
        yield RouteProblem(f"{path}.path_prefix", message)
    if route.timeout_seconds <= 0:
        message = f"got {route.timeout_seconds} s, expected more than 0"
        yield RouteProblem(f"{path}.timeout_seconds", message)
    if any(service_weight.weight < 0 for service_weight in route.services):
        yield RouteProblem(f"{path}.services", "got a negative weight")
    if sum(service_weight.weight for service_weight in route.services) <= 0:
        message = "the weights add up to 0; give one service a weight"
        yield RouteProblem(f"{path}.services", message)
