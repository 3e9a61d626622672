"""What upstreams say of themselves, and what entries pass on of it."""

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
    What an upstream says of itself.

    Parameters
    ----------
    incarnation, sequence : int
        Larger ones replace smaller ones; a restart has a larger incarnation.
    running, queued : int
        Requests in progress and waiting, as the upstream counts them.
    capacity : int
        Requests that it runs at once; 0 when it doesn't say.
    prefill_tokens_per_second : float
        Rate of prefill; 0 when it doesn't say.
    token_seconds : float
        Time between the tokens of one answer; 0 when it doesn't say.
    cache_sequence : int
        Grows by one with every batch of cache events; a gap means lost batches.
    cache_stored, cache_removed : tuple of int
        Prefix hashes that its cache gained and lost since the batch before.
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
        """Return whether a short renewal tells all that changed since ``other``."""
        return other == self._replace(
            sequence=other.sequence,
            running=other.running,
            queued=other.queued,
            cache_sequence=other.cache_sequence,
            cache_stored=other.cache_stored,
            cache_removed=other.cache_removed,
        )


class UpstreamRecord(NamedTuple):
    """An announcement and the seconds since an entry got it from its upstream."""

    announcement: Announcement
    age: Seconds


class Renewal(NamedTuple):
    """
    The part of an announcement that changes with each renewal.

    Parameters
    ----------
    incarnation_tag : int
        Lowest bits of the incarnation; the receiver knows the rest.
    age_milliseconds : int
        Time since an entry got it from its upstream.
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
    What is kept of an upstream that is gone.

    Parameters
    ----------
    left : bool
        Whether it said so itself; then its incarnation never serves again.
    """

    id: UpstreamId
    incarnation: int
    sequence: int
    left: bool


def incarnation_tag(incarnation: int) -> int:
    """Return the bits that tell one upstream's recent incarnations apart."""
    return incarnation % (1 << INCARNATION_TAG_BITS)


def is_renewal_of(renewal: Renewal, announcement: Announcement) -> bool:
    return renewal.incarnation_tag == incarnation_tag(announcement.incarnation)
