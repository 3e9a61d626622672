"""Parts of a configuration as they travel between processes."""

from typing import NamedTuple

from poplarlug.catalog.objects import Kind
from poplarlug.types import ConfigVersion


class Delta(NamedTuple):
    """One object's state after the change with ``version``."""

    version: ConfigVersion
    kind: Kind
    name: str
    value: bytes | None


class Update(NamedTuple):
    """
    What a holder of ``base``, or of a later version, lacks up to ``version``.

    An object that changed more than once is in it once, as it is at
    ``version``; so an update comes into force as a whole or not at all.

    Parameters
    ----------
    deltas : tuple of Delta
        In the order of their versions.
    whole : bool
        Whether this is the whole configuration, which any holder can take.
    """

    base: ConfigVersion
    version: ConfigVersion
    deltas: tuple[Delta, ...] = ()
    whole: bool = False


class CatalogImage(NamedTuple):
    """
    A whole configuration with the deletions that deltas may still need.

    Parameters
    ----------
    deletions_after : int
        All deletions with larger versions are in ``deletions``.
    """

    update: Update
    deletions: tuple[Delta, ...]
    deletions_after: ConfigVersion
