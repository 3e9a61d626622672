"""Teams: who calls, with which keys, and what they may use."""

from poplarlug.teams.digests import digest_of_key
from poplarlug.teams.freshness import KeyFreshness
from poplarlug.teams.identification import AUTHORIZATION, TeamDirectory
from poplarlug.teams.objects import KeyDigest, Quota, QuotaUnit, Team

__all__ = [
    "AUTHORIZATION",
    "KeyDigest",
    "KeyFreshness",
    "Quota",
    "QuotaUnit",
    "Team",
    "TeamDirectory",
    "digest_of_key",
]
