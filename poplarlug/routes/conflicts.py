"""Finds parts of a valid route table that have no effect or contradict each other."""

import re
from collections.abc import Iterable

from poplarlug.routes.objects import Route, RouteTable
from poplarlug.routes.problems import RouteProblem
from poplarlug.seeded_settings import QuotaSettings
from poplarlug.teams import Quota, Team

MIN_BYTES_PER_TOKEN = 1
"""No tokenizer makes a token of less."""

_NEVER_IN_PATH = re.compile(r"[?#\s]")
_HOST = re.compile(r"[^\s/?#@*]+")


def find_conflicts(table: RouteTable) -> list[RouteProblem]:
    """Return what in a valid table can't have the effect that its operator expects."""
    return [
        *_unmatched_routes(table),
        *_unused_services(table),
        *_route_conflicts(table),
        *_service_conflicts(table),
        *_team_conflicts(table),
    ]


def _unmatched_routes(table: RouteTable) -> Iterable[RouteProblem]:
    teams = table.teams or ()
    names: set[str] = set()
    for index, route in enumerate(table.routes):
        path = f"$.routes[{index}]"
        if route.name in names:
            message = f"the name {route.name!r} stands twice; logs can't tell which"
            yield RouteProblem(f"{path}.name", message)
        names.add(route.name)
        if not _HOST.fullmatch(route.host):
            message = f"no request has the host {route.host!r}; expected a plain name"
            yield RouteProblem(f"{path}.host", message)
        if _NEVER_IN_PATH.search(route.path_prefix):
            message = f"no path begins with {route.path_prefix!r}"
            yield RouteProblem(f"{path}.path_prefix", message)
        if teams and not route.is_open and not _is_used(route, teams):
            message = f"no team may use {', '.join(route.home_regions)}"
            yield RouteProblem(f"{path}.home_regions", message)
        for weighted in route.services:
            if weighted.weight == 0:
                message = f"{weighted.service!r} has the weight 0 and gets no requests"
                yield RouteProblem(f"{path}.services", message)


def _unused_services(table: RouteTable) -> Iterable[RouteProblem]:
    named = {weighted.service for route in table.routes for weighted in route.services}
    for index, service in enumerate(table.services):
        if service.name not in named:
            message = f"no route names {service.name!r}"
            yield RouteProblem(f"$.services[{index}].name", message)


def _route_conflicts(table: RouteTable) -> Iterable[RouteProblem]:
    engines_by_service = {s.name: s.engine for s in table.services}
    body_bytes = table.limits.max_body_bytes
    for index, route in enumerate(table.routes):
        path = f"$.routes[{index}]"
        for field, seconds in (
            ("objective_seconds", route.objective_seconds),
            ("max_pause_seconds", route.max_pause_seconds),
        ):
            if seconds > route.timeout_seconds:
                message = (
                    f"{seconds:g} s is over its timeout, {route.timeout_seconds:g} s"
                )
                yield RouteProblem(f"{path}.{field}", message)
        engines = [engines_by_service[weighted.service] for weighted in route.services]
        needed = max((e.kv_capacity_tokens for e in engines if e), default=0)
        if route.prompts and body_bytes < needed * MIN_BYTES_PER_TOKEN:
            message = (
                f"{body_bytes} bytes can't hold the {needed} tokens that engines of "
                f"route {route.name!r} take"
            )
            yield RouteProblem("$.limits.max_body_bytes", message)


def _service_conflicts(table: RouteTable) -> Iterable[RouteProblem]:
    for index, service in enumerate(table.services):
        engine = service.engine
        if engine is not None and service.warmup_per_second > engine.slots:
            message = (
                f"{service.warmup_per_second:g} a second is over the {engine.slots} "
                f"slots of its engines"
            )
            yield RouteProblem(f"$.services[{index}].warmup_per_second", message)


def _team_conflicts(table: RouteTable) -> Iterable[RouteProblem]:
    for index, team in enumerate(table.teams or ()):
        path = f"$.teams[{index}]"
        if not team.key_digests:
            message = f"{team.name!r} has no keys, so no request is its own"
            yield RouteProblem(f"{path}.keys", message)
        if table.routes and not any(_is_used(r, (team,)) for r in table.routes):
            message = f"no route may be served in {', '.join(team.home_regions)}"
            yield RouteProblem(f"{path}.home_regions", message)
        if team.quota is not None:
            yield from _quota_conflicts(path, team.quota)


def _quota_conflicts(path: str, quota: Quota) -> Iterable[RouteProblem]:
    one = quota.plain_tokens if quota.unit == "token" else 1
    window = QuotaSettings().window_seconds
    most = quota.per_second * window + quota.burst
    if most < one:
        message = (
            f"one request counts {one}, more than the {most:g} of {window:g} s: all "
            f"requests that don't state less are refused"
        )
        yield RouteProblem(f"{path}.quota", message)
    elif 0 < quota.burst < one:
        message = f"a burst of {quota.burst:g} is less than one request, {one}"
        yield RouteProblem(f"{path}.quota", message)


def _is_used(route: Route, teams: Iterable[Team]) -> bool:
    """Return whether one of the teams may use one of the route's regions."""
    homes = set(route.home_regions)
    return any(
        not homes or not team.home_regions or homes & set(team.home_regions)
        for team in teams
    )
