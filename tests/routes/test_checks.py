"""Tests of the validation of route tables."""

from unittest import TestCase

from poplarlug.routes import (
    Route,
    RoutedService,
    RouteTable,
    ServiceWeight,
    check_route_table,
)


def make_route(**fields: object) -> Route:
    route = Route(
        name="chat",
        host="a.example",
        path_prefix="/chat/",
        kind="safe",
        timeout_seconds=5.0,
        objective_seconds=0.5,
        rank=0,
        services=(ServiceWeight("engine", 1.0),),
    )
    return route._replace(**fields)


def make_table(*routes: Route, version: int = 1) -> RouteTable:
    services = (RoutedService("engine"), RoutedService("desk"))
    return RouteTable(version, routes, services)


class CheckRouteTableTests(TestCase):
    def paths(self, *routes: Route) -> list[str]:
        return [problem.path for problem in check_route_table(make_table(*routes))]

    def test_sound_table_has_no_problems(self) -> None:
        """Routes with different prefixes or hosts don't conflict."""
        routes = (
            make_route(),
            make_route(path_prefix="/chat/long/"),
            make_route(host="b.example"),
        )
        self.assertEqual(self.paths(*routes), [])

    def test_unknown_service_is_a_problem(self) -> None:
        """A route may refer only to services of the same table."""
        route = make_route(services=(ServiceWeight("nobody", 1.0),))
        self.assertEqual(self.paths(route), ["$.routes[0].services"])

    def test_same_place_twice_is_a_problem(self) -> None:
        """Hosts are compared without regard to case."""
        routes = (make_route(), make_route(name="other", host="A.example"))
        self.assertEqual(self.paths(*routes), ["$.routes[1].path_prefix"])

    def test_weights_that_add_up_to_nothing_are_a_problem(self) -> None:
        """At least one service needs a positive weight."""
        services = (ServiceWeight("engine", 0.0), ServiceWeight("desk", 0.0))
        self.assertEqual(
            self.paths(make_route(services=services)), ["$.routes[0].services"]
        )

    def test_no_time_is_a_problem(self) -> None:
        """A timeout of zero is rejected."""
        route = make_route(timeout_seconds=0.0)
        self.assertEqual(self.paths(route), ["$.routes[0].timeout_seconds"])

    def test_prefix_without_slashes_is_a_problem(self) -> None:
        """Prefixes must begin and end with a slash."""
        route = make_route(path_prefix="/chat")
        self.assertEqual(self.paths(route), ["$.routes[0].path_prefix"])
