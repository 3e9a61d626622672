"""Route tables: routes, services and caller limits."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.teams import Team
from poplarlug.types import RegionName, Seconds, ServiceName

RouteKind: TypeAlias = Literal["safe", "unsafe", "streaming"]
"""
``safe`` requests may run more than once, ``unsafe`` ones at most once;
``streaming`` ones are answered with an event stream and are retried only if the
route is resumable.
"""


class ServiceWeight(NamedTuple):
    """The share of a route's requests that one service gets."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """
    Route for the requests of one host below one path prefix.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash.
    timeout_seconds : float
        Longest time that a caller is kept waiting.
    objective_seconds : float
        Target time to the answer, or to the first event of a stream.
    rank : int
        0 is the most urgent.
    services : tuple of ServiceWeight
        Services that may run its requests.
    max_attempts : int
        Maximum number of upstreams to which one request is sent.
    prompts : bool
        Whether requests list the prompt parts that upstreams cache.
    resumable : bool
        Whether a stream may be resumed at another upstream.
    max_pause_seconds : float
        Target for the longest pause between two events; 0 for no stream.
    home_regions : tuple of RegionName
        Regions that its requests may reach; empty for all.
    is_open : bool
        Whether callers need no key although there are teams.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: Seconds
    objective_seconds: Seconds
    rank: int
    services: tuple[ServiceWeight, ...]
    max_attempts: int = 1
    prompts: bool = False
    resumable: bool = False
    max_pause_seconds: Seconds = 0.0
    home_regions: tuple[RegionName, ...] = ()
    is_open: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run at a second upstream."""
        return self.kind == "safe" or (self.kind == "streaming" and self.resumable)

    def allows(self, region: RegionName) -> bool:
        """Return whether requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions


class Engine(NamedTuple):
    """
    Properties of a service's model engines.

    Parameters
    ----------
    slots : int
        Maximum number of requests that one engine batches.
    kv_capacity_tokens : int
        KV cache capacity, shared by running requests and cached prompts.
    tokens_per_event : int
        Tokens per event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


class RoutedService(NamedTuple):
    """
    A service that routes refer to by name, with its upstreams' properties.

    Parameters
    ----------
    max_connections : int
        Connections that one upstream accepts from all callers together.
    cold_start_seconds : float
        How long an upstream counts as cold after its start.
    warmup_per_second : float
        Requests per second that a cold upstream can take; 0 for no limit.
    engine : Engine or None
        ``None`` for a plain service.
    """

    name: ServiceName
    health_path: str = "/healthz"
    max_connections: int = 1
    cold_start_seconds: Seconds = 0.0
    warmup_per_second: float = 0.0
    engine: Engine | None = None


class CallerLimits(NamedTuple):
    """Limits on request size, on the time to send headers, and on idle time."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: Seconds = 3.0
    idle_seconds: Seconds = 15.0


class RouteTable(NamedTuple):
    """
    All routes and services, applied atomically.

    Parameters
    ----------
    version : int
        Number set by the operator; a table replaces one with a smaller version.
    teams : tuple of Team or None
        The teams whose keys callers need; ``None`` if they need none.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: CallerLimits = CallerLimits()
    teams: tuple[Team, ...] | None = None
