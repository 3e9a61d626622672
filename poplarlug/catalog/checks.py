"""Validation of operators' changes."""

import math
import re
from collections.abc import Callable, Iterable
from typing import Any, cast

from returns.result import Failure

from poplarlug.catalog.catalog import Catalog, decode_object
from poplarlug.catalog.changes import Change, ChangeOutcome, ChangeStatus
from poplarlug.catalog.objects import (
    Account,
    Adapter,
    CatalogObject,
    Kind,
    Model,
    Placement,
    Rank,
    Region,
    Service,
)

MAX_NAME_CHARACTERS = 128
MAX_LIST_ITEMS = 1000
MAX_OBJECT_BYTES = 64 * 1024
MAX_OBJECTS_PER_KIND = 100_000
MAX_TOKENS = 10_000_000
MAX_TARGET_SECONDS = 30 * 24 * 3600.0
MAX_PLACED_UPSTREAMS = 100_000

_NAME = re.compile(r"[^\s,\x00-\x1f\x7f]+")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_CALL = re.compile(r"[A-Z]+ /\S*")

_Problems = Iterable[str]


def check_change(catalog: Catalog, change: Change) -> ChangeOutcome | None:
    """Return why ``change`` is rejected, or ``None`` if it is valid."""
    current_version = catalog.object_version(change.kind, change.name)
    if change.expected_version != current_version:
        return ChangeOutcome(
            ChangeStatus.CONFLICT,
            current_version,
            f"expected version {change.expected_version}, "
            f"{change.kind} {change.name!r} is at {current_version}; read it again",
        )
    problem = _first_problem(catalog, change)
    if problem is None:
        return None
    return ChangeOutcome(ChangeStatus.INVALID, current_version, problem)


def _first_problem(catalog: Catalog, change: Change) -> str | None:
    if change.value is None:
        return next(iter(_deletion_problems(catalog, change)), None)
    if len(change.value) > MAX_OBJECT_BYTES:
        return f"got {len(change.value)} bytes, expected at most {MAX_OBJECT_BYTES}"
    decoded = decode_object(change.kind, change.value)
    if isinstance(decoded, Failure):
        return decoded.failure()
    value = decoded.unwrap()
    if value.name != change.name:
        return f"got name {value.name!r}, expected {change.name!r}"
    return next(iter(_object_problems(catalog, change.kind, value)), None)


def _object_problems(catalog: Catalog, kind: Kind, value: CatalogObject) -> _Problems:
    yield from _name_problems(kind, value.name)
    is_new = catalog.object_version(kind, value.name) == 0
    if is_new and catalog.count(kind) >= MAX_OBJECTS_PER_KIND:
        yield f"got one more {kind}, expected at most {MAX_OBJECTS_PER_KIND}"
    for field, items in value._asdict().items():
        if isinstance(items, tuple):
            yield from _list_problems(field, items)
    yield from _CHECKS_BY_KIND[kind](catalog, value)


def _name_problems(what: str, name: str) -> _Problems:
    if len(name) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(name):
        yield (
            f"got {what} {name!r}, expected a name of 1 to {MAX_NAME_CHARACTERS} "
            "characters without spaces and commas"
        )


def _list_problems(field: str, items: tuple[str, ...]) -> _Problems:
    if len(items) > MAX_LIST_ITEMS:
        yield f"got {len(items)} {field}, expected at most {MAX_LIST_ITEMS}"
    if len(set(items)) < len(items):
        yield f"got an item of {field} twice, expected each once"


def _check_account(catalog: Catalog, account: Account) -> _Problems:
    if account.home_region not in account.regions:
        yield (
            f"got home_region {account.home_region!r}, expected one of the account's "
            f"regions {', '.join(account.regions)!r}"
        )
    yield from _missing_problems(catalog, "region", account.regions)
    yield from _missing_problems(catalog, "model", account.models)
    yield from _missing_problems(catalog, "adapter", account.adapters)
    yield from _missing_problems(catalog, "service", account.services)
    for key_hash in account.key_hashes:
        if not _KEY_HASH.fullmatch(key_hash):
            yield f"got key hash {key_hash!r}, expected a SHA-256 in lower-case hex"
        key_owner = catalog.account_by_key_hash(key_hash)
        if key_owner is not None and key_owner.name != account.name:
            yield f"a key of account {key_owner.name!r} can't be another account's too"


def _check_adapter(catalog: Catalog, adapter: Adapter) -> _Problems:
    yield from _missing_problems(catalog, "model", (adapter.model,))


def _check_model(catalog: Catalog, model: Model) -> _Problems:
    yield from _range_problems("max_tokens", model.max_tokens, 1, MAX_TOKENS)


def _check_placement(catalog: Catalog, placement: Placement) -> _Problems:
    expected = f"{placement.zone}/{placement.model}"
    if placement.name != expected:
        yield f"got name {placement.name!r}, expected {expected!r}"
    yield from _missing_problems(catalog, "model", (placement.model,))
    regions = cast(Iterable[Region], catalog.values("region"))
    if not any(placement.zone in region.zones for region in regions):
        yield f"no region has the zone {placement.zone!r}; create or change a region"
    yield from _range_problems(
        "upstreams", placement.upstreams, 0, MAX_PLACED_UPSTREAMS
    )


def _check_rank(catalog: Catalog, rank: Rank) -> _Problems:
    yield from _range_problems("priority", rank.priority, 0, 1000)
    for field in ("first_token_target_seconds", "target_seconds"):
        yield from _range_problems(
            field, getattr(rank, field), 1e-3, MAX_TARGET_SECONDS
        )
    yield from _range_problems("floor_share", rank.floor_share, 0.0, 1.0)
    yield from _range_problems("objective", rank.objective, 0.0, 1.0)
    others = cast(Iterable[Rank], catalog.values("rank"))
    floors = sum(other.floor_share for other in others if other.name != rank.name)
    if floors + rank.floor_share > 1.0:
        yield f"the floors of all ranks make {floors + rank.floor_share}, expected <= 1"


def _check_region(catalog: Catalog, region: Region) -> _Problems:
    for zone in region.zones:
        yield from _name_problems("zone", zone)
    for other in cast(Iterable[Region], catalog.values("region")):
        shared = set(other.zones) & set(region.zones)
        if other.name != region.name and shared:
            yield f"zone {min(shared)!r} is in region {other.name!r} already"
    placements = cast(Iterable[Placement], catalog.values("placement"))
    previous = catalog.get("region", region.name)
    removed_zones = set(previous.zones if isinstance(previous, Region) else ()) - set(
        region.zones
    )
    for placement in placements:
        if placement.zone in removed_zones:
            yield f"placement {placement.name!r} still names zone {placement.zone!r}"


def _check_service(catalog: Catalog, service: Service) -> _Problems:
    for call in service.non_repeatable:
        if not _CALL.fullmatch(call):
            yield f"got call {call!r}, expected a method and a path, 'POST /bookings'"


def _deletion_problems(catalog: Catalog, change: Change) -> _Problems:
    """Yield the objects that still reference the one to be deleted."""
    if change.expected_version == 0:
        yield f"no {change.kind} is named {change.name!r}"
    for kind, field in _REFERENCES_BY_KIND.get(change.kind, ()):
        for value in catalog.values(kind):
            named = getattr(value, field)
            if named == change.name or (
                isinstance(named, tuple) and change.name in named
            ):
                yield f"{kind} {value.name!r} still names it in {field}; change it first"
    if change.kind == "region":
        previous = cast(Region, catalog.get("region", change.name))
        for placement in cast(Iterable[Placement], catalog.values("placement")):
            if previous is not None and placement.zone in previous.zones:
                yield f"placement {placement.name!r} still names one of its zones"


def _missing_problems(catalog: Catalog, kind: Kind, names: Iterable[str]) -> _Problems:
    for name in names:
        if catalog.object_version(kind, name) == 0:
            yield f"no {kind} is named {name!r}; create it first"


def _range_problems(field: str, value: float, low: float, high: float) -> _Problems:
    if not math.isfinite(value) or not low <= value <= high:
        yield f"got {field} {value!r}, expected {low} to {high}"


_CHECKS_BY_KIND: dict[Kind, Callable[[Catalog, Any], _Problems]] = {
    "account": _check_account,
    "adapter": _check_adapter,
    "model": _check_model,
    "placement": _check_placement,
    "rank": _check_rank,
    "region": _check_region,
    "service": _check_service,
}

_REFERENCES_BY_KIND: dict[Kind, tuple[tuple[Kind, str], ...]] = {
    "adapter": (("account", "adapters"),),
    "model": (("account", "models"), ("adapter", "model"), ("placement", "model")),
    "region": (("account", "regions"),),
    "service": (("account", "services"),),
}
