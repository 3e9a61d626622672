"""How the entries of a region divide the requests that an upstream takes."""

import math
import re
from collections.abc import Callable, Collection, Iterable, Mapping

import xxhash

from poplarlug.types import Seconds, UpstreamId, VmName

MIN_RATE = 0.1
"""Requests a second that go to an upstream whatever it names, 0 included: the answer
to one in ten seconds shows that its limit has ended."""

MAX_DIGITS = 12
"""Of a limit, before and after the point; no upstream takes more requests a second."""

BUSY_SHARE = 0.25
"""An entry with less than this share of the mean demand leaves its part to others."""

BURST_SECONDS = 0.5
"""Requests that an entry may save up, beside one, in seconds of its share. All entries
together stay within half of what a limit allows in 4 s with this."""

DEMAND_SECONDS = 4.0
"""Time over which demand is averaged, that of the window in which limits count."""

_LIMIT = re.compile(rf"\d{{1,{MAX_DIGITS}}}(\.\d{{1,{MAX_DIGITS}}})?", re.ASCII)


def parse_limit(values: Iterable[str]) -> float | None:
    """
    Return the limit that an answer names, in requests a second.

    Parameters
    ----------
    values : iterable of str
        The header's values; the strictest one of several counts.

    Returns
    -------
    float or None
        ``None`` when none of them is a decimal number.
    """
    texts = [text.strip() for value in values for text in value.split(",")]
    rates = [float(text) for text in texts if _LIMIT.fullmatch(text)]
    return min(rates, default=None)


def rank_by_hash(names: Iterable[VmName], key: str) -> list[VmName]:
    """Return entries in an order that differs for each key, alike at all VMs."""
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
    Return the requests a second that this entry may send to a limited upstream.

    Load pattern: an upstream in need, in a region with more entries than requests
    that it takes. The rate is divided by demand, among so few entries that each one's
    share is near one request a second or more; entries that are idle get none.

    Parameters
    ----------
    demand_by_entry : mapping
        Requests a second for the upstream's service at each entry that reports it.
    sharers : collection of VmName
        All entries of the region, those that were lost lately included. What one that
        doesn't report would get is left for it, as it may be there, behind a cut.
    """
    demand_by_entry = {own: 0.0, **demand_by_entry}
    # The same at all entries, whatever the order in which they hold the others.
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
    Requests that an entry may send to one upstream at a rate that may change.

    It begins with none saved up: what was sent before a limit was known counts too.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._rate = 0.0
        self._tokens = 0.0
        self._at = clock()

    @property
    def rate(self) -> float:
        """Requests a second as last set."""
        return self._rate

    def set_rate(self, rate: float) -> None:
        """Take a new rate; one without a rate has nothing saved up either."""
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
        """Time until a request may be sent, infinite while there is no rate."""
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
    """Running mean of the requests a second that came lately."""

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
