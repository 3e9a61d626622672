"""Teams, the digests of their keys, and their quotas."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import RegionName

KeyDigest: TypeAlias = bytes
"""SHA-256 digest of a key; entries hold no key in clear."""

QuotaUnit: TypeAlias = Literal["request", "token"]


class Quota(NamedTuple):
    """
    Limit on what a team uses, summed over all entries.

    Parameters
    ----------
    per_second, burst : float
        Rate, and the amount allowed in addition to it, in units of ``unit``.
    unit : QuotaUnit
        Whether requests or their tokens are counted.
    plain_tokens : int
        Tokens counted for a request that doesn't state them.
    """

    per_second: float
    burst: float = 0.0
    unit: QuotaUnit = "request"
    plain_tokens: int = 1

    def amount(self, stated_tokens: int) -> float:
        """
        Return what a request uses of the quota.

        Parameters
        ----------
        stated_tokens : int
            Tokens of its prompt and its longest response; 0 if it doesn't state them.
        """
        if self.unit == "request":
            return 1.0
        return float(stated_tokens or self.plain_tokens)


class Team(NamedTuple):
    """
    Callers that share keys and a quota.

    Parameters
    ----------
    key_digests : tuple of KeyDigest
        Digests of the keys that its callers may use.
    rank : int or None
        Takes precedence over the rank of a route; ``None`` to keep the route's.
    home_regions : tuple of RegionName
        Regions that its requests may reach, besides the limits of their routes; empty
        for all.
    quota : Quota or None
        ``None`` for no limit.
    """

    name: str
    key_digests: tuple[KeyDigest, ...] = ()
    rank: int | None = None
    home_regions: tuple[RegionName, ...] = ()
    quota: Quota | None = None

    def allows(self, region: RegionName) -> bool:
        """Return whether its requests may be served in ``region``."""
        return not self.home_regions or region in self.home_regions
