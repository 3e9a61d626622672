"""Compares a route table with the one in force, by its effects on callers."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypeVar

from poplarlug.routes.index import RouteIndex
from poplarlug.routes.objects import CallerLimits, Route, RouteTable
from poplarlug.teams import KeyDigest, Quota, Team
from poplarlug.types import RegionName

T = TypeVar("T")

_NOT_SHOWN = ("key_digests", "home_regions", "quota")


class TableChange(NamedTuple):
    """A difference between two tables; ``subject`` names what changes."""

    subject: str
    effect: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.effect}"


def compare_tables(new: RouteTable, former: RouteTable) -> list[TableChange]:
    """Return how ``new`` differs from ``former``, by name; keys are only counted."""
    return [
        *_compare_versions(new, former),
        *_compare_routes(new, former),
        *_compare_services(new, former),
        *_compare_limits(new.limits, former.limits),
        *_compare_teams(new, former),
    ]


def _compare_versions(new: RouteTable, former: RouteTable) -> Iterable[TableChange]:
    if new.version != former.version:
        old = "none" if former.version < 0 else former.version
        yield TableChange("version", f"{old} -> {new.version}")


def _compare_routes(new: RouteTable, former: RouteTable) -> Iterable[TableChange]:
    news = {route.name: route for route in new.routes}
    formers = {route.name: route for route in former.routes}
    index = RouteIndex(table=new)
    for name, route in formers.items():
        if name not in news:
            yield TableChange(f"route {name}", f"removed; {_now_at(index, route)}")
    for name, route in news.items():
        if name not in formers:
            yield TableChange(
                f"route {name}", f"added at {route.host}{route.path_prefix}"
            )
            continue
        old = formers[name]
        if (old.host.lower(), old.path_prefix) != (
            route.host.lower(),
            route.path_prefix,
        ):
            yield TableChange(f"route {name}", f"moved; {_now_at(index, old)}")
        yield from _compare_homes(f"route {name}", route.home_regions, old.home_regions)
        yield from _compare_fields(f"route {name}", route, old)


def _now_at(index: RouteIndex, route: Route) -> str:
    """Return what becomes of the requests that a route had."""
    other = index.find(route.host, route.path_prefix)
    place = f"requests to {route.host}{route.path_prefix}"
    if other is None:
        return f"{place} get 404"
    return f"{place} are served by route {other.name}"


def _compare_services(new: RouteTable, former: RouteTable) -> Iterable[TableChange]:
    news = {service.name: service for service in new.services}
    formers = {service.name: service for service in former.services}
    for name in formers.keys() - news.keys():
        yield TableChange(f"service {name}", "removed; its upstreams get no requests")
    for name, service in news.items():
        if name not in formers:
            yield TableChange(f"service {name}", "added")
        else:
            yield from _compare_fields(f"service {name}", service, formers[name])


def _compare_limits(new: CallerLimits, former: CallerLimits) -> Iterable[TableChange]:
    for field, value, old in _changed_fields(new, former):
        effect = "more requests are refused" if value < old else "fewer are refused"
        yield TableChange(f"limit {field}", f"{old:g} -> {value:g}; {effect}")


def _compare_teams(new: RouteTable, former: RouteTable) -> Iterable[TableChange]:
    if (new.teams is None) != (former.teams is None):
        need = "need no key" if new.teams is None else "need a key, or get 401"
        yield TableChange("teams", f"callers {need}")
    news = {team.name: team for team in new.teams or ()}
    formers = {team.name: team for team in former.teams or ()}
    owners = {d: team.name for team in news.values() for d in team.key_digests}
    for name, team in formers.items():
        if name not in news:
            lost = _lost_keys(team, (), owners)
            yield TableChange(f"team {name}", f"removed{lost}")
    for name, team in news.items():
        subject = f"team {name}"
        if name not in formers:
            yield TableChange(subject, f"added with {len(team.key_digests)} keys")
            continue
        old = formers[name]
        if lost := _lost_keys(old, team.key_digests, owners):
            yield TableChange(subject, lost.removeprefix("; "))
        added = len(set(team.key_digests) - set(old.key_digests))
        if added:
            yield TableChange(subject, f"{added} keys added")
        yield from _compare_homes(subject, team.home_regions, old.home_regions)
        yield from _compare_quotas(subject, team.quota, old.quota)
        yield from _compare_fields(subject, team, old)


def _lost_keys(
    team: Team, kept: Iterable[KeyDigest], owners: Mapping[KeyDigest, str]
) -> str:
    lost = set(team.key_digests) - set(kept)
    refused = len([digest for digest in lost if digest not in owners])
    text = f"; {refused} keys taken away, their callers get 401" if refused else ""
    moved = len(lost) - refused
    return f"{text}; {moved} keys given to other teams" if moved else text


def _compare_homes(
    subject: str, new: tuple[RegionName, ...], former: tuple[RegionName, ...]
) -> Iterable[TableChange]:
    if set(new) == set(former):
        return
    change = f"home regions {_names(former)} -> {_names(new)}"
    if new and (not former or set(former) - set(new)):
        gone = sorted(set(former) - set(new))
        where = ", ".join(gone) if gone else "any other region"
        change += f"; requests are no longer served in {where}"
    yield TableChange(subject, change)


def _compare_quotas(
    subject: str, new: Quota | None, former: Quota | None
) -> Iterable[TableChange]:
    if new == former:
        return
    if new is None:
        yield TableChange(subject, "quota removed; nothing is refused for it")
        return
    effect = "changed"
    if former is None or new.unit == former.unit:
        old = (float("inf"),) * 2 if former is None else former[:2]
        lowered = new.per_second < old[0] or new.burst < old[1]
        effect = "lowered; what is over it gets 429" if lowered else "raised"
    shown = "none" if former is None else _quota(former)
    yield TableChange(subject, f"quota {shown} -> {_quota(new)}, {effect}")


def _quota(quota: Quota) -> str:
    unit = "tokens" if quota.unit == "token" else "requests"
    return f"{quota.per_second:g} {unit}/s + {quota.burst:g}"


def _compare_fields(subject: str, new: T, former: T) -> Iterable[TableChange]:
    for field, value, old in _changed_fields(new, former):
        if field not in ("host", "path_prefix", *_NOT_SHOWN):
            yield TableChange(subject, f"{field} {_value(old)} -> {_value(value)}")


def _changed_fields(new: Any, former: Any) -> Iterable[tuple[str, Any, Any]]:
    for field, value, old in zip(new._fields, new, former, strict=True):
        if value != old:
            yield field, value, old


def _value(value: Any) -> str:
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ", ".join(_value(item) for item in value) or "none"
    if hasattr(value, "_fields"):
        return " ".join(_value(item) for item in value)
    return f"{value:g}" if isinstance(value, float) else str(value)


def _names(regions: tuple[RegionName, ...]) -> str:
    return ", ".join(sorted(regions)) or "all"
