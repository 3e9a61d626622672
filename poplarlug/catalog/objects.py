"""Configuration objects: accounts, models, regions, ranks and others."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import (
    AccountName,
    AdapterName,
    ModelName,
    ProfileName,
    RankName,
    RegionName,
    Seconds,
    ServiceName,
    ZoneName,
)

Kind: TypeAlias = Literal[
    "account", "adapter", "model", "placement", "rank", "region", "service"
]


class Account(NamedTuple):
    """
    A customer's account.

    Parameters
    ----------
    home_region : RegionName
        Region that stores the account's at-most-once records.
    regions : tuple of RegionName
        Regions that the account's requests and data may reach.
    models, adapters, services : tuple of str
        Models, adapters and services that the account may use.
    key_hashes : tuple of str
        SHA-256 hashes of the callers' keys.
    profile : ProfileName
        Whether routing prioritizes cost or tail latency.
    """

    name: AccountName
    home_region: RegionName
    regions: tuple[RegionName, ...]
    models: tuple[ModelName, ...] = ()
    adapters: tuple[AdapterName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    key_hashes: tuple[str, ...] = ()
    profile: ProfileName = "cost"


class Model(NamedTuple):
    """A language model, served under its name."""

    name: ModelName
    version: str = "1"
    max_tokens: int = 4096


class Adapter(NamedTuple):
    """An adapter on top of a model."""

    name: AdapterName
    model: ModelName
    version: str = "1"


class Region(NamedTuple):
    """A region and its availability zones."""

    name: RegionName
    zones: tuple[ZoneName, ...] = ()


class Rank(NamedTuple):
    """
    A rank of work.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    first_token_target_seconds, target_seconds : float
        Latency targets for the first token and for the complete answer.
    floor_share : float
        Share of capacity, 0 to 1, guaranteed to the rank under overload by others.
    objective : float
        Share of requests, 0 to 1, that should meet the target.
    """

    name: RankName
    priority: int = 1
    first_token_target_seconds: Seconds = 1.9
    target_seconds: Seconds = 60.0
    floor_share: float = 0.0
    objective: float = 0.99


class Service(NamedTuple):
    """
    A plain service, as opposed to a model engine.

    Parameters
    ----------
    non_repeatable : tuple of str
        Calls that run at most once, in the form ``"POST /bookings"``; a path
        includes all paths below it.
    """

    name: ServiceName
    non_repeatable: tuple[str, ...] = ()


class Placement(NamedTuple):
    """Number of upstreams in a zone that should serve a model; named ``zone/model``."""

    name: str
    zone: ZoneName
    model: ModelName
    upstreams: int = 1


CatalogObject: TypeAlias = (
    Account | Adapter | Model | Placement | Rank | Region | Service
)

OBJECT_TYPES_BY_KIND: dict[Kind, type[CatalogObject]] = {
    "account": Account,
    "adapter": Adapter,
    "model": Model,
    "placement": Placement,
    "rank": Rank,
    "region": Region,
    "service": Service,
}
