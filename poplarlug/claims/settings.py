"""Settings of an entry's part in at-most-once requests."""

from typing import NamedTuple

from poplarlug.claims.table import CLAIM_LIFETIME_SECONDS
from poplarlug.types import Seconds


class ClaimSettings(NamedTuple):
    """
    Settings under ``claims`` of an entry.

    Parameters
    ----------
    life_seconds : float
        How long a key is protected after its request ended. The same on all
        entries of a deployment.
    trust_empty_zone : bool
        Set for the first start of a zone: when all its entries say that they
        never held a claim, that is believed. Otherwise they refuse keys for
        ``life_seconds``, as after the loss of the whole zone.
    """

    life_seconds: Seconds = CLAIM_LIFETIME_SECONDS
    trust_empty_zone: bool = False
