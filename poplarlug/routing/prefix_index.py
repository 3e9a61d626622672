"""Approximate index of the prompt prefixes that each upstream caches."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from poplarlug.membership.upstreams import Announcement
from poplarlug.types import Seconds, UpstreamId

MAX_PREFIXES = 65_536
MAX_HOLDERS = 8
MAX_UPSTREAMS = 4096
MAX_LOST_BATCHES = 8
PREFIX_LIFETIME_SECONDS = 300.0


class _Holder(NamedTuple):
    generation: int
    expires: Seconds


class PrefixIndex:
    """
    Track prefixes that were sent to upstreams or that upstreams reported as cached.

    Items expire ``PREFIX_LIFETIME_SECONDS`` after their last send or report. All
    items of an upstream are invalidated when its incarnation changes or when
    more than ``MAX_LOST_BATCHES`` of its numbered cache events are missing; a
    smaller gap leaves few stale items.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(
        self, *, clock: Callable[[], Seconds], max_prefixes: int = MAX_PREFIXES
    ) -> None:
        self._clock = clock
        self._max_prefixes = max_prefixes
        self._holders_by_hash: OrderedDict[int, dict[UpstreamId, _Holder]] = (
            OrderedDict()
        )
        self._generations_by_id: dict[UpstreamId, int] = {}
        self._next_generation = 0
        self._upstreams_seen: tuple[Announcement, ...] = ()
        self._seen_by_id: OrderedDict[UpstreamId, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders_by_hash)

    def add(self, upstream_id: UpstreamId, prefix_hashes: Sequence[int]) -> None:
        """Record that ``upstream_id`` caches ``prefix_hashes``."""
        generation = self._generations_by_id.get(upstream_id, 0)
        holder = _Holder(generation, self._clock() + PREFIX_LIFETIME_SECONDS)
        for prefix_hash in reversed(prefix_hashes):
            holders = self._holders_by_hash.setdefault(prefix_hash, {})
            holders.pop(upstream_id, None)
            holders[upstream_id] = holder
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders_by_hash.move_to_end(prefix_hash)
        while len(self._holders_by_hash) > self._max_prefixes:
            self._holders_by_hash.popitem(last=False)

    def apply_all_events(self, upstreams: tuple[Announcement, ...]) -> None:
        """Apply the cache events of all announcements, each once."""
        if upstreams is self._upstreams_seen:
            return
        self._upstreams_seen = upstreams
        seen_by_id = self._seen_by_id
        for upstream in upstreams:
            if upstream.cache_sequence:
                seen = seen_by_id.get(upstream.id)
                if seen is None or seen[1] != upstream.cache_sequence:
                    self.apply_events(upstream)

    def apply_events(self, upstream: Announcement) -> None:
        """Apply the cache events of one announcement unless already applied."""
        seen = self._seen_by_id.get(upstream.id)
        latest = (upstream.incarnation, upstream.cache_sequence)
        if seen == latest or upstream.cache_sequence == 0:
            return
        if seen is not None and _has_gap(seen, latest):
            self.invalidate(upstream.id)
        self._seen_by_id[upstream.id] = latest
        self._seen_by_id.move_to_end(upstream.id)
        if len(self._seen_by_id) > MAX_UPSTREAMS:
            oldest, _ = self._seen_by_id.popitem(last=False)
            self.invalidate(oldest)
            self._generations_by_id.pop(oldest, None)
        for prefix_hash in upstream.cache_removed:
            self._holders_by_hash.get(prefix_hash, {}).pop(upstream.id, None)
        self.add(upstream.id, upstream.cache_stored)

    def invalidate(self, upstream_id: UpstreamId) -> None:
        """Invalidate all items of ``upstream_id``."""
        self._next_generation += 1
        self._generations_by_id[upstream_id] = self._next_generation

    def hit_blocks(self, prefix_hashes: Sequence[int]) -> dict[UpstreamId, int]:
        """Return how many leading blocks each upstream probably caches."""
        blocks_by_id: dict[UpstreamId, int] = {}
        now = self._clock()
        for depth in range(len(prefix_hashes), 0, -1):
            holders = self._holders_by_hash.get(prefix_hashes[depth - 1])
            if not holders:
                continue
            for upstream_id, holder in holders.items():
                if upstream_id not in blocks_by_id and self._is_live(
                    upstream_id, holder, now
                ):
                    blocks_by_id[upstream_id] = depth
            if len(blocks_by_id) >= MAX_HOLDERS:
                break
        return blocks_by_id

    def _is_live(self, upstream_id: UpstreamId, holder: _Holder, now: Seconds) -> bool:
        generation = self._generations_by_id.get(upstream_id, 0)
        return holder.generation == generation and holder.expires > now


def _has_gap(seen: tuple[int, int], latest: tuple[int, int]) -> bool:
    lost = latest[1] - seen[1] - 1
    return latest[0] != seen[0] or not 0 <= lost <= MAX_LOST_BATCHES
