"""Upstreams of a zone, their announcements and their leases."""

from collections.abc import Callable
from typing import Literal, NamedTuple, TypeAlias

from poplarlug.latest import Latest
from poplarlug.types import (
    Address,
    ModelName,
    Seconds,
    ServiceName,
    UpstreamId,
    UpstreamKind,
)

LEASE_SECONDS = 4.0

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


class UpstreamTable:
    """
    Upstreams by id, each with a lease that announcements renew.

    ``leaving`` holds for the rest of its incarnation, whatever comes later.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._announcements_by_id: dict[UpstreamId, Announcement] = {}
        self._lease_ends_by_id: dict[UpstreamId, Seconds] = {}
        self.serving: Latest[tuple[Announcement, ...]] = Latest(initial=())

    def take(self, announcement: Announcement) -> bool:
        """Take in an announcement; return whether it was news."""
        held = self._announcements_by_id.get(announcement.id)
        if held is not None:
            if not announcement.is_newer_than(held):
                return False
            if held.state == "leaving" and held.incarnation == announcement.incarnation:
                announcement = announcement._replace(state="leaving")
        self._announcements_by_id[announcement.id] = announcement
        self._lease_ends_by_id[announcement.id] = self._clock() + LEASE_SECONDS
        self._publish()
        return True

    def expire(self) -> tuple[UpstreamId, ...]:
        """Drop upstreams whose lease has ended and return their ids."""
        now = self._clock()
        expired = tuple(
            upstream_id
            for upstream_id, ends in self._lease_ends_by_id.items()
            if ends <= now
        )
        for upstream_id in expired:
            del self._lease_ends_by_id[upstream_id]
            del self._announcements_by_id[upstream_id]
        if expired:
            self._publish()
        return expired

    def all(self) -> tuple[Announcement, ...]:
        return tuple(self._announcements_by_id.values())

    def _publish(self) -> None:
        serving = (a for a in self.all() if a.state == "serving")
        self.serving.set(tuple(serving))
