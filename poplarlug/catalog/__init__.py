"""The configuration of a deployment: objects, changes and their versions."""

from poplarlug.catalog.catalog import Catalog, Delta, Snapshot
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

__all__ = [
    "Account",
    "Adapter",
    "Catalog",
    "CatalogObject",
    "Change",
    "ChangeOutcome",
    "ChangeStatus",
    "Delta",
    "Kind",
    "Model",
    "Placement",
    "Rank",
    "Region",
    "Service",
    "Snapshot",
]
