"""Settings for at-most-once requests at an entry."""

from typing import NamedTuple

from poplarlug.claims.table import CLAIM_LIFETIME_SECONDS
from poplarlug.types import Seconds


class ClaimSettings(NamedTuple):
    """
    Settings under ``claims`` of an entry.

    Parameters
    ----------
    life_seconds : float
        How long a key is protected after its request ended. Must be the same on
        all entries of a deployment.
    trust_empty_zone : bool
        Set for the first start of a zone: if all its entries report that they
        hold no claim, none is assumed to exist. Otherwise they refuse keys for
        ``life_seconds``, as after the loss of the whole zone.
    """

    life_seconds: Seconds = CLAIM_LIFETIME_SECONDS
    trust_empty_zone: bool = False
