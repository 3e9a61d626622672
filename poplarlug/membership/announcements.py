"""Records that upstreams announce and that entries replicate in their zone."""

from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import (
    Address,
    ModelName,
    Seconds,
    ServiceName,
    UpstreamId,
    UpstreamKind,
)

INCARNATION_TAG_BITS = 16

UpstreamState: TypeAlias = Literal["serving", "leaving"]


class Announcement(NamedTuple):
    """
    State that an upstream reports about itself.

    Parameters
    ----------
    incarnation, sequence : int
        Version of the announcement: a larger pair replaces a smaller one. A restarted
        upstream has a larger incarnation.
    running, queued : int
        Requests in progress and waiting, as counted by the upstream.
    capacity : int
        Maximum number of concurrent requests; 0 if not reported.
    prefill_tokens_per_second : float
        Prefill throughput; 0 if not reported.
    token_seconds : float
        Time between the tokens of one answer; 0 if not reported.
    cache_sequence : int
        Incremented with each batch of cache events; a gap means lost batches.
    cache_stored, cache_removed : tuple of int
        Prefix hashes added to and evicted from its cache since the previous batch.
    """

    id: UpstreamId
    kind: UpstreamKind
    address: Address
    state: UpstreamState = "serving"
    incarnation: int = 0
    sequence: int = 0
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    running: int = 0
    queued: int = 0
    capacity: int = 0
    prefill_tokens_per_second: float = 0.0
    token_seconds: Seconds = 0.0
    cache_sequence: int = 0
    cache_stored: tuple[int, ...] = ()
    cache_removed: tuple[int, ...] = ()

    def is_newer_than(self, other: "Announcement") -> bool:
        own = (self.incarnation, self.sequence)
        return own > (other.incarnation, other.sequence)

    def differs_only_in_load(self, other: "Announcement") -> bool:
        """Return whether a :class:`Renewal` covers every change since ``other``."""
        return other == self._replace(
            sequence=other.sequence,
            running=other.running,
            queued=other.queued,
            cache_sequence=other.cache_sequence,
            cache_stored=other.cache_stored,
            cache_removed=other.cache_removed,
        )


class UpstreamRecord(NamedTuple):
    """An announcement and the seconds since an entry received it from its upstream."""

    announcement: Announcement
    age: Seconds


class Renewal(NamedTuple):
    """
    The fields of an announcement that change when its lease is renewed.

    Parameters
    ----------
    incarnation_tag : int
        Lowest bits of the incarnation; the receiver has the full value.
    age_milliseconds : int
        Time since an entry received it from its upstream.
    """

    id: UpstreamId
    incarnation_tag: int
    sequence: int
    running: int
    queued: int
    age_milliseconds: int
    cache_sequence: int = 0
    cache_stored: tuple[int, ...] = ()
    cache_removed: tuple[int, ...] = ()


class Tombstone(NamedTuple):
    """
    Record of an upstream that was removed from the table.

    Parameters
    ----------
    left : bool
        Whether the upstream announced ``leaving`` itself; if so, its incarnation never
        serves again.
    """

    id: UpstreamId
    incarnation: int
    sequence: int
    left: bool


def incarnation_tag(incarnation: int) -> int:
    """Return the low bits, which distinguish an upstream's recent incarnations."""
    return incarnation % (1 << INCARNATION_TAG_BITS)


def is_renewal_of(renewal: Renewal, announcement: Announcement) -> bool:
    return renewal.incarnation_tag == incarnation_tag(announcement.incarnation)
