"""Table of a zone's upstreams, with leases and tombstones."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
import xxhash

from poplarlug.latest import Latest
from poplarlug.membership.announcements import (
    Announcement,
    Renewal,
    Tombstone,
    UpstreamRecord,
    UpstreamState,
    incarnation_tag,
    is_renewal_of,
)
from poplarlug.types import Seconds, UpstreamId

__all__ = [
    "Announcement",
    "Renewal",
    "Tombstone",
    "UpstreamRecord",
    "UpstreamState",
    "UpstreamTable",
    "incarnation_tag",
]

LEASE_SECONDS = 4.0
TOMBSTONE_TTL_SECONDS = 600.0
MAX_UPSTREAMS = 2000
MAX_TOMBSTONES = 4000
MILLISECONDS_PER_SECOND = 1000


class _LeasedUpstream(NamedTuple):
    announcement: Announcement
    announced_at: Seconds


class UpstreamTable:
    """
    Upstreams by id, each with a lease that announcements renew.

    A removed upstream leaves a tombstone, so that a delayed announcement can't restore
    it. One that announced ``leaving`` stays removed for the rest of its incarnation,
    whatever arrives later.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time in seconds.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._leased_by_id: dict[UpstreamId, _LeasedUpstream] = {}
        self._tombstones_by_id: dict[UpstreamId, tuple[Seconds, Tombstone]] = {}
        self.serving: Latest[tuple[Announcement, ...]] = Latest(initial=())

    def apply(self, announcement: Announcement, *, age: Seconds = 0.0) -> bool:
        """
        Apply an announcement; return whether it changed the table.

        Parameters
        ----------
        age : float
            Seconds since an entry received it from the upstream itself, which is when
            the lease starts.
        """
        if announcement.state == "leaving":
            return self._apply_leaving(announcement)
        leased = self._leased_by_id.get(announcement.id)
        if leased is not None and not announcement.is_newer_than(leased.announcement):
            return False
        if self._is_covered_by_tombstone(announcement) or age >= LEASE_SECONDS:
            return False
        if leased is None and len(self._leased_by_id) >= MAX_UPSTREAMS:
            return False
        announced_at = self._clock() - max(0.0, age)
        self._leased_by_id[announcement.id] = _LeasedUpstream(
            announcement, announced_at
        )
        self._publish()
        return True

    def has_left(self, announcement: Announcement) -> bool:
        """Return whether this or a later incarnation of the upstream has left."""
        kept = self._tombstones_by_id.get(announcement.id)
        if kept is None or not kept[1].left:
            return False
        return announcement.incarnation <= kept[1].incarnation

    def renew(self, renewals: Iterable[Renewal]) -> tuple[UpstreamId, ...]:
        """Apply renewals; return the ids whose full record is missing."""
        missing = []
        changed = False
        for renewal in renewals:
            leased = self._leased_by_id.get(renewal.id)
            if leased is None or not is_renewal_of(renewal, leased.announcement):
                missing.append(renewal.id)
                continue
            if not self._renew_one(leased.announcement, renewal):
                continue
            changed = True
            if renewal.cache_sequence:
                # Subscribers must see each batch of cache events.
                self._publish()
        if changed:
            self._publish()
        return tuple(missing)

    def apply_tombstones(self, tombstones: Iterable[Tombstone]) -> None:
        """Apply other entries' tombstones and remove the upstreams that they cover."""
        for tombstone in tombstones:
            kept = self._tombstones_by_id.get(tombstone.id)
            if kept is None or _tombstone_order(tombstone) > _tombstone_order(kept[1]):
                self._store_tombstone(tombstone)
            leased = self._leased_by_id.get(tombstone.id)
            if leased is not None and self._is_covered_by_tombstone(
                leased.announcement
            ):
                del self._leased_by_id[tombstone.id]
        self._publish()

    def expire(self) -> tuple[UpstreamId, ...]:
        """Remove upstreams whose lease has expired and return their ids."""
        now = self._clock()
        expired = tuple(
            upstream_id
            for upstream_id, leased in self._leased_by_id.items()
            if leased.announced_at + LEASE_SECONDS <= now
        )
        for upstream_id in expired:
            self._add_tombstone(self._leased_by_id.pop(upstream_id).announcement)
        if expired:
            self._publish()
        self._expire_tombstones(now)
        return expired

    def all(self) -> tuple[Announcement, ...]:
        return tuple(leased.announcement for leased in self._leased_by_id.values())

    def get(self, upstream_id: UpstreamId) -> UpstreamRecord | None:
        """Return an upstream's record with its current age."""
        leased = self._leased_by_id.get(upstream_id)
        if leased is None:
            return None
        return UpstreamRecord(leased.announcement, self._clock() - leased.announced_at)

    def records(self) -> tuple[UpstreamRecord, ...]:
        now = self._clock()
        return tuple(
            UpstreamRecord(leased.announcement, now - leased.announced_at)
            for leased in self._leased_by_id.values()
        )

    def tombstones(self) -> tuple[Tombstone, ...]:
        return tuple(tombstone for _, tombstone in self._tombstones_by_id.values())

    def digest(self) -> int:
        """Return a hash of the ids and incarnations of the serving upstreams."""
        serving = sorted((a.id, a.incarnation) for a in self.serving.value)
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(serving))

    def _renew_one(self, current: Announcement, renewal: Renewal) -> bool:
        newer = current._replace(
            sequence=renewal.sequence,
            running=renewal.running,
            queued=renewal.queued,
            cache_sequence=renewal.cache_sequence,
            cache_stored=renewal.cache_stored,
            cache_removed=renewal.cache_removed,
        )
        age = max(0, renewal.age_milliseconds) / MILLISECONDS_PER_SECOND
        if not newer.is_newer_than(current) or age >= LEASE_SECONDS:
            return False
        announced_at = self._clock() - age
        self._leased_by_id[current.id] = _LeasedUpstream(newer, announced_at)
        return True

    def _apply_leaving(self, announcement: Announcement) -> bool:
        if self.has_left(announcement):
            return False
        leased = self._leased_by_id.get(announcement.id)
        if leased is not None:
            if announcement.incarnation < leased.announcement.incarnation:
                return False
            del self._leased_by_id[announcement.id]
        self._add_tombstone(announcement)
        self._publish()
        return True

    def _is_covered_by_tombstone(self, record: Announcement) -> bool:
        kept = self._tombstones_by_id.get(record.id)
        if kept is None:
            return False
        tombstone = kept[1]
        if tombstone.left:
            return record.incarnation <= tombstone.incarnation
        own = (record.incarnation, record.sequence)
        return own <= (tombstone.incarnation, tombstone.sequence)

    def _add_tombstone(self, announcement: Announcement) -> None:
        tombstone = Tombstone(
            announcement.id,
            announcement.incarnation,
            announcement.sequence,
            announcement.state == "leaving",
        )
        self._store_tombstone(tombstone)

    def _store_tombstone(self, tombstone: Tombstone) -> None:
        self._tombstones_by_id.pop(tombstone.id, None)
        self._tombstones_by_id[tombstone.id] = (self._clock(), tombstone)
        while len(self._tombstones_by_id) > MAX_TOMBSTONES:
            del self._tombstones_by_id[next(iter(self._tombstones_by_id))]

    def _expire_tombstones(self, now: Seconds) -> None:
        while self._tombstones_by_id:
            oldest = next(iter(self._tombstones_by_id))
            if self._tombstones_by_id[oldest][0] + TOMBSTONE_TTL_SECONDS > now:
                return
            del self._tombstones_by_id[oldest]

    def _publish(self) -> None:
        self.serving.set(self.all())


def _tombstone_order(tombstone: Tombstone) -> tuple[int, bool, int]:
    return tombstone.incarnation, tombstone.left, tombstone.sequence
