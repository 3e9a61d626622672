"""Divides the rate limit of an upstream among the entries of a region."""

import math
import re
from collections.abc import Callable, Collection, Iterable, Mapping

import xxhash

from poplarlug.types import Seconds, UpstreamId, VmName

MIN_RATE = 0.1
"""Minimum requests per second to an upstream, even if its limit is 0: the response to
one request in 10 s shows when the limit has ended."""

MAX_DIGITS = 12
"""Maximum digits of a limit before and after the point; no upstream exceeds that."""

BUSY_SHARE = 0.25
"""An entry with less than this share of the mean demand leaves its part to others."""

BURST_SECONDS = 0.5
"""Burst size of an entry, in seconds of its share, in addition to one request. With
this, all entries together stay within half of what a limit allows in 4 s."""

DEMAND_SECONDS = 4.0
"""Averaging time of demand, equal to the window in which limits are measured."""

_LIMIT = re.compile(rf"\d{{1,{MAX_DIGITS}}}(\.\d{{1,{MAX_DIGITS}}})?", re.ASCII)


def parse_limit(values: Iterable[str]) -> float | None:
    """
    Parse the limit header of a response, in requests per second.

    Parameters
    ----------
    values : iterable of str
        Values of the header; the lowest of several applies.

    Returns
    -------
    float or None
        ``None`` if none of the values is a decimal number.
    """
    texts = [text.strip() for value in values for text in value.split(",")]
    rates = [float(text) for text in texts if _LIMIT.fullmatch(text)]
    return min(rates, default=None)


def rank_by_hash(names: Iterable[VmName], key: str) -> list[VmName]:
    """Order entries by rendezvous hash of ``key``, with the same result on all VMs."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
    )


def share_of_rate(
    own: VmName,
    *,
    rate: float,
    upstream_id: UpstreamId,
    demand_by_entry: Mapping[VmName, float],
    sharers: Collection[VmName],
) -> float:
    """
    Return the requests per second that this entry may send to a limited upstream.

    Load pattern: an overloaded upstream accepts fewer requests per second than its
    region has entries. The rate is divided in proportion to demand, among so few
    entries that each share is about one request per second or more; idle entries get
    none.

    Parameters
    ----------
    demand_by_entry : mapping
        Requests per second for the upstream's service at each entry that reports it.
    sharers : collection of VmName
        All entries of the region, including recently lost ones. The share of an entry
        that doesn't report is left unused, as it may be running behind a network
        partition.
    """
    demand_by_entry = {own: 0.0, **demand_by_entry}
    # fsum gives the same result at all entries, whatever the order of the mapping.
    known = math.fsum(demand_by_entry.values())
    unseen = sum(name not in demand_by_entry for name in sharers)
    if known <= 0:
        demand_by_entry = dict.fromkeys(demand_by_entry, 1.0)
        known = float(len(demand_by_entry))
    mean = known / len(demand_by_entry)
    seen_rate = max(MIN_RATE, rate) / (1.0 + mean * unseen / known)
    busy = [n for n, d in demand_by_entry.items() if d >= BUSY_SHARE * mean]
    holders = rank_by_hash(busy, upstream_id)[: 1 + int(seen_rate)]
    if own not in holders:
        return 0.0
    return (
        seen_rate
        * demand_by_entry[own]
        / math.fsum(demand_by_entry[name] for name in holders)
    )


class TokenBucket:
    """
    Token bucket with a variable rate for the sends of one entry to one upstream.

    The bucket starts empty, because requests sent before the limit was known count
    towards it too.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._rate = 0.0
        self._tokens = 0.0
        self._at = clock()

    @property
    def rate(self) -> float:
        """Current rate in requests per second."""
        return self._rate

    def set_rate(self, rate: float) -> None:
        """Change the rate; a rate of 0 also empties the bucket."""
        self._refill()
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    @property
    def allows_request(self) -> bool:
        """Whether a request may be sent now."""
        self._refill()
        return self._tokens >= 1.0

    @property
    def seconds_until_allowed(self) -> Seconds:
        """Time until a request may be sent, infinite while the rate is 0."""
        self._refill()
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self._rate if self._rate > 0 else float("inf")

    def note_sent(self) -> None:
        """Count a request to the upstream."""
        self._refill()
        self._tokens -= 1.0

    def _capacity(self) -> float:
        return 1.0 + BURST_SECONDS * self._rate if self._rate > 0 else 0.0

    def _refill(self) -> None:
        now = self._clock()
        earned = self._rate * (now - self._at)
        self._tokens = min(self._tokens + earned, self._capacity())
        self._at = now


class RequestRate:
    """Moving average of the recent rate of requests per second."""

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._mean = 0.0
        self._at = clock()

    def note_request(self) -> None:
        """Count a request."""
        self._mean = self.per_second + 1.0 / DEMAND_SECONDS
        self._at = self._clock()

    @property
    def per_second(self) -> float:
        return self._mean * math.exp((self._at - self._clock()) / DEMAND_SECONDS)
