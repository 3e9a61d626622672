"""Configuration updates exchanged between processes."""

from typing import NamedTuple

from poplarlug.catalog.objects import Kind
from poplarlug.types import ConfigVersion


class Delta(NamedTuple):
    """State of one object after the change with ``version``; ``None`` if deleted."""

    version: ConfigVersion
    kind: Kind
    name: str
    value: bytes | None


class Update(NamedTuple):
    """
    Changes up to ``version`` for a process at ``base`` or a later version.

    An object that changed more than once is included once, in its state at
    ``version``; so an update must be applied atomically.

    Parameters
    ----------
    deltas : tuple of Delta
        Ordered by version.
    whole : bool
        Whether this is the whole configuration, which applies to any version.
    """

    base: ConfigVersion
    version: ConfigVersion
    deltas: tuple[Delta, ...] = ()
    whole: bool = False


class CatalogImage(NamedTuple):
    """
    A whole configuration with the deletions needed to build later updates.

    Parameters
    ----------
    deletions_after : int
        ``deletions`` contains all deletions with larger versions than this.
    """

    update: Update
    deletions: tuple[Delta, ...]
    deletions_after: ConfigVersion
