"""Versioned configuration of a deployment: objects, changes and updates."""

from poplarlug.catalog.catalog import Catalog
from poplarlug.catalog.changes import Change, ChangeOutcome, ChangeStatus
from poplarlug.catalog.checks import check_change
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
from poplarlug.catalog.updates import CatalogImage, Delta, Update

__all__ = [
    "Account",
    "Adapter",
    "Catalog",
    "CatalogImage",
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
    "Update",
    "check_change",
]
