"""At-most-once execution: ownership of idempotency keys and request outcomes."""

from poplarlug.claims.holder import ClaimHolder
from poplarlug.claims.journal import ClaimJournal
from poplarlug.claims.owner import ClaimOwner
from poplarlug.claims.placement import holders_of, home_zone
from poplarlug.claims.records import ClaimKey, ClaimState, StoredAnswer
from poplarlug.claims.results import Owned, Refused, Taken
from poplarlug.claims.settings import ClaimSettings
from poplarlug.claims.table import ClaimTable

__all__ = [
    "ClaimHolder",
    "ClaimJournal",
    "ClaimKey",
    "ClaimOwner",
    "ClaimSettings",
    "ClaimState",
    "ClaimTable",
    "Owned",
    "Refused",
    "StoredAnswer",
    "Taken",
    "holders_of",
    "home_zone",
]
