"""The prefix cache of an emulated engine and the events that it publishes."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from poplarlug.types import Seconds

MAX_PENDING_CHANGES = 512
MAX_HASHES_PER_BATCH = 256


class CacheEvents(NamedTuple):
    """
    Changes of a cache since the previous batch.

    Parameters
    ----------
    sequence : int
        Increases by one with every batch; a gap means that batches were lost.
    """

    sequence: int = 0
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class _Change(NamedTuple):
    at: Seconds
    stored: bool
    prefix_hash: int


class PrefixCache:
    """
    Least-recently-used cache of prompt blocks, keyed by the hash of their prefix.

    Parameters
    ----------
    blocks : int
        Capacity in blocks of ``BLOCK_TOKENS`` tokens.
    event_delay_seconds : float
        Age at which a change is published.
    event_loss : float
        Share of published batches, 0 to 1, that never reach a reader.
    """

    def __init__(
        self,
        *,
        blocks: int,
        event_delay_seconds: Seconds = 0.0,
        event_loss: float = 0.0,
        rng: Random,
    ) -> None:
        self._capacity_blocks = blocks
        self._event_delay_seconds = event_delay_seconds
        self._event_loss = event_loss
        self._rng = rng
        self._cached_blocks: OrderedDict[int, None] = OrderedDict()
        self._changes: deque[_Change] = deque(maxlen=MAX_PENDING_CHANGES)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._cached_blocks)

    def __contains__(self, prefix_hash: int) -> bool:
        return prefix_hash in self._cached_blocks

    def hit_blocks(self, prefix_hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached; the LRU order is unchanged."""
        for index, prefix_hash in enumerate(prefix_hashes):
            if prefix_hash not in self._cached_blocks:
                return index
        return len(prefix_hashes)

    def store(self, prefix_hashes: Sequence[int], now: Seconds) -> None:
        """Cache the blocks of a prompt; the shortest prefixes are evicted last."""
        for prefix_hash in reversed(prefix_hashes):
            if prefix_hash in self._cached_blocks:
                self._cached_blocks.move_to_end(prefix_hash)
                continue
            self._cached_blocks[prefix_hash] = None
            self._changes.append(_Change(now, True, prefix_hash))
        while len(self._cached_blocks) > self._capacity_blocks:
            removed, _ = self._cached_blocks.popitem(last=False)
            self._changes.append(_Change(now, False, removed))

    def clear(self, now: Seconds) -> None:
        """Drop all blocks, as a restarted engine does."""
        for prefix_hash in self._cached_blocks:
            self._changes.append(_Change(now, False, prefix_hash))
        self._cached_blocks.clear()

    def export(self, prefix_hashes: Iterable[int]) -> tuple[int, ...]:
        """Return those of ``prefix_hashes`` that are cached."""
        return tuple(item for item in prefix_hashes if item in self._cached_blocks)

    def publish(self, now: Seconds) -> CacheEvents | None:
        """
        Return the next batch of changes that are old enough.

        Returns
        -------
        CacheEvents or None
            ``None`` for a lost batch, which still uses up its sequence number.
        """
        self._sequence += 1
        stored: dict[int, None] = {}
        removed: dict[int, None] = {}
        cutoff = now - self._event_delay_seconds
        while self._changes and self._changes[0].at <= cutoff:
            if len(stored) + len(removed) >= MAX_HASHES_PER_BATCH:
                break
            change = self._changes.popleft()
            added_to, removed_from = (
                (stored, removed) if change.stored else (removed, stored)
            )
            added_to[change.prefix_hash] = None
            removed_from.pop(change.prefix_hash, None)
        if self._rng.random() < self._event_loss:
            return None
        return CacheEvents(self._sequence, tuple(stored), tuple(removed))
