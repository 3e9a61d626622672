"""What a table of routes holds."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import RegionName, Seconds, ServiceName

RouteKind: TypeAlias = Literal["safe", "unsafe", "streaming"]
"""
``safe`` requests may run more than once, ``unsafe`` ones at most once;
``streaming`` ones answer by events and repeat only where they can be resumed.
"""


class ServiceWeight(NamedTuple):
    """The share of a route's requests that one service gets."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """
    Requests of one host below one path prefix.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash.
    timeout_seconds : float
        Longest time that a caller is kept waiting.
    objective_seconds : float
        Time to the answer, or to a stream's first event, that callers expect.
    rank : int
        0 is the most urgent.
    services : tuple of ServiceWeight
        Where its requests may run.
    max_attempts : int
        Upstreams to which one request may be sent.
    prompts : bool
        Whether requests carry the parts of a prompt that upstreams cache.
    resumable : bool
        Whether a stream may go on at another upstream.
    max_pause_seconds : float
        Longest pause between two events that callers expect; 0 for no stream.
    home_regions : tuple of RegionName
        Regions that its requests may reach; empty for all.
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

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run at a second upstream."""
        return self.kind == "safe" or (self.kind == "streaming" and self.resumable)

    def allows(self, region: RegionName) -> bool:
        """Return whether requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions


class Engine(NamedTuple):
    """
    What is known of a service's model engines.

    Parameters
    ----------
    slots : int
        Requests that one engine batches at a time.
    kv_capacity_tokens : int
        Tokens that running requests and cached prompts share.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


class RoutedService(NamedTuple):
    """
    A service of upstreams that routes name.

    Parameters
    ----------
    max_connections : int
        Connections that one upstream takes from all callers together.
    cold_start_seconds : float
        How long an upstream is cold after its start.
    warmup_per_second : float
        Requests a second that a cold upstream bears; 0 for no bound.
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
    """Bounds on what a caller sends and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: Seconds = 3.0
    idle_seconds: Seconds = 15.0


class RouteTable(NamedTuple):
    """
    All routes, in force together.

    Parameters
    ----------
    version : int
        The operator's number; a larger one replaces a smaller one.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: CallerLimits = CallerLimits()
