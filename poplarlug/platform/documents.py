"""Decodes the platform's documents into poplarlug's own types."""

from typing import (
    Annotated,
    Literal,
    NotRequired,
    TypedDict,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.discovery.record_checks import find_problem
from poplarlug.discovery.records import ServiceUpstream, UpstreamPhase
from poplarlug.discovery.registry import ANY_RUN
from poplarlug.routes import (
    CallerLimits,
    Engine,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceWeight,
    check_route_table,
)
from poplarlug.routes.problems import RouteProblem
from poplarlug.teams import Quota, QuotaUnit, Team, digest_of_key

MILLISECONDS_PER_SECOND = 1000.0
MAX_PROBLEM_CHARACTERS = 300

Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer that the messages between processes can hold."""


class _WeightedService(TypedDict):
    service: str
    weight: float


class _Route(TypedDict):
    name: str
    host: str
    path_prefix: str
    route_kind: RouteKind
    # Maximum time that a caller waits.
    timeout_ms: float
    target_latency_ms: NotRequired[float]
    # The rank; 0 is the most urgent.
    priority: NotRequired[Integer]
    service: NotRequired[str]
    weighted_services: NotRequired[list[_WeightedService]]
    max_attempts: NotRequired[Integer]
    # Requests name the parts of their prompt; this does not mean session affinity.
    sticky: NotRequired[bool]
    resumable: NotRequired[bool]
    # Maximum gap between two events of a stream that is still on time.
    gap_target_ms: NotRequired[float]
    # Regions that may serve the route; empty for all.
    home_regions: NotRequired[list[str]]
    # Callers need no key.
    anonymous: NotRequired[bool]


class _Tenant(TypedDict):
    name: str
    api_keys: NotRequired[list[str]]
    # Takes precedence over the rank of a route.
    priority: NotRequired[Integer]
    unit: NotRequired[QuotaUnit]
    # Tokens of a request that doesn't state them.
    plain_tokens: NotRequired[Integer]
    # Quota; 0 for none.
    rate_per_s: NotRequired[float]
    burst: NotRequired[float]
    home_regions: NotRequired[list[str]]


class _Engine(TypedDict):
    slots: Integer
    kv_capacity_tokens: Integer
    # Tokens per event of a stream.
    stride: NotRequired[Integer]


class _Service(TypedDict):
    name: str
    health_path: NotRequired[str]
    max_connections: NotRequired[Integer]
    cold_start_s: NotRequired[float]
    # Requests per second that an upstream can handle while cold.
    warmup_per_s: NotRequired[float]
    engine: NotRequired[_Engine | None]


class _Limits(TypedDict):
    max_header_bytes: NotRequired[Integer]
    max_body_bytes: NotRequired[Integer]
    header_timeout_ms: NotRequired[float]
    idle_timeout_ms: NotRequired[float]


class _Configuration(TypedDict):
    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: NotRequired[_Limits]
    tenants: NotRequired[list[_Tenant]]


class _Heartbeat(TypedDict):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    # How much longer the upstream is slow after it started or became cold again.
    cold_left_ms: float
    # Increases with each heartbeat of one run.
    sequence: int
    # Of its software, not of the weights.
    version: NotRequired[str]
    # Start of this run, in milliseconds since 1970.
    born: NotRequired[int]
    # Time until the upstream terminates, even with requests in progress.
    remaining_ms: NotRequired[float]


def decode_configuration(body: bytes) -> Result[RouteTable, list[RouteProblem]]:
    """Return the route table in an operator's document, or all of its problems."""
    try:
        document = msgspec.json.decode(body, type=_Configuration)
    except msgspec.ValidationError as error:
        return Failure(_invalid_parts(body) or [RouteProblem("$", _describe(error))])
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure([RouteProblem("$", _describe(error))])
    limits = document.get("limits", {})
    table = RouteTable(
        version=document["version"],
        routes=tuple(_to_route(route) for route in document["routes"]),
        services=tuple(_to_service(service) for service in document["services"]),
        limits=CallerLimits(
            max_header_bytes=limits.get("max_header_bytes", 16 * 1024),
            max_body_bytes=limits.get("max_body_bytes", 4 * 1024 * 1024),
            header_seconds=limits.get("header_timeout_ms", 3000.0)
            / MILLISECONDS_PER_SECOND,
            idle_seconds=limits.get("idle_timeout_ms", 15_000.0)
            / MILLISECONDS_PER_SECOND,
        ),
        teams=None
        if "tenants" not in document
        else tuple(_to_team(tenant) for tenant in document["tenants"]),
    )
    problems = check_route_table(table)
    return Failure(problems) if problems else Success(table)


def decode_heartbeat(upstream_id: str, body: bytes) -> Result[ServiceUpstream, str]:
    """Return the record in an upstream's heartbeat, or the problem with it."""
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        return Failure(_describe(error))
    phase: UpstreamPhase = "serving" if heartbeat["state"] == "ready" else "leaving"
    remaining = heartbeat.get("remaining_ms")
    record = ServiceUpstream(
        id=upstream_id,
        service=heartbeat["service"],
        address=heartbeat["address"],
        zone=heartbeat["zone"],
        born=heartbeat.get("born", 1),
        sequence=heartbeat["sequence"],
        slots=heartbeat["slots"],
        phase=phase,
        cold_seconds=max(0.0, heartbeat["cold_left_ms"] / MILLISECONDS_PER_SECOND),
        ends_in_seconds=None
        if remaining is None
        else max(0.0, remaining / MILLISECONDS_PER_SECOND),
        version=heartbeat.get("version", ""),
    )
    problem = find_problem(record)
    return Success(record) if problem is None else Failure(problem)


def deregistration_record(upstream_id: str) -> ServiceUpstream:
    """Return the record of an upstream that deregistered itself."""
    return ServiceUpstream(
        id=upstream_id,
        service="",
        address="",
        zone="",
        born=ANY_RUN,
        sequence=0,
        slots=0,
        phase="gone",
    )


def _invalid_parts(body: bytes) -> list[RouteProblem]:
    """Return the first error of each part of a document that has the wrong type."""
    parts: dict[str, tuple[object, object]] = {}
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        # Malformed behind the error that is known already.
        return []
    if not isinstance(document, dict):
        return []
    for key, kind in get_type_hints(_Configuration, include_extras=True).items():
        is_optional = get_origin(kind) is NotRequired
        kind = get_args(kind)[0] if is_optional else kind
        if key not in document:
            if not is_optional:
                parts[f"$.{key}"] = (None, kind)
        elif get_origin(kind) is list and isinstance(document[key], list):
            for index, item in enumerate(document[key]):
                parts[f"$.{key}[{index}]"] = (item, get_args(kind)[0])
        else:
            parts[f"$.{key}"] = (document[key], kind)
    problems = []
    for path, (value, kind) in parts.items():
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            problems.append(RouteProblem(path, _describe(error)))
    return problems


def _describe(error: Exception) -> str:
    """Return the message of an error, which may quote a value of any length."""
    return str(error)[:MAX_PROBLEM_CHARACTERS]


def _to_route(route: _Route) -> Route:
    if "weighted_services" in route:
        services = tuple(
            ServiceWeight(weighted["service"], weighted["weight"])
            for weighted in route["weighted_services"]
        )
    else:
        services = (ServiceWeight(route.get("service", ""), 1.0),)
    timeout = route["timeout_ms"] / MILLISECONDS_PER_SECOND
    return Route(
        name=route["name"],
        host=route["host"],
        path_prefix=route["path_prefix"],
        kind=route["route_kind"],
        timeout_seconds=timeout,
        objective_seconds=route.get("target_latency_ms", 0.0) / MILLISECONDS_PER_SECOND
        or timeout,
        rank=route.get("priority", 0),
        services=services,
        max_attempts=max(1, route.get("max_attempts", 1)),
        prompts=route.get("sticky", False),
        resumable=route.get("resumable", False),
        max_pause_seconds=route.get("gap_target_ms", 0.0) / MILLISECONDS_PER_SECOND,
        home_regions=tuple(route.get("home_regions", ())),
        is_open=route.get("anonymous", False),
    )


def _to_team(tenant: _Tenant) -> Team:
    rate = tenant.get("rate_per_s", 0.0)
    return Team(
        name=tenant["name"],
        key_digests=tuple(digest_of_key(key) for key in tenant.get("api_keys", ())),
        rank=tenant.get("priority"),
        home_regions=tuple(tenant.get("home_regions", ())),
        quota=None
        if not rate
        else Quota(
            per_second=rate,
            burst=tenant.get("burst", 0.0),
            unit=tenant.get("unit", "request"),
            plain_tokens=tenant.get("plain_tokens", 1),
        ),
    )


def _to_service(service: _Service) -> RoutedService:
    engine = service.get("engine")
    return RoutedService(
        name=service["name"],
        health_path=service.get("health_path", "/"),
        max_connections=service.get("max_connections", 1),
        cold_start_seconds=service.get("cold_start_s", 0.0),
        warmup_per_second=service.get("warmup_per_s", 0.0),
        engine=None
        if engine is None
        else Engine(
            engine["slots"], engine["kv_capacity_tokens"], engine.get("stride", 1)
        ),
    )
