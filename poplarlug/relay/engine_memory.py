"""Beliefs about which prompt parts engines still have cached."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import NamedTuple

import xxhash
from prometheus_client import Gauge

from poplarlug.discovery.prompt_parts import (
    MAX_PARTS_PER_REPORT,
    EngineParts,
    PartExchange,
    pack_parts,
    unpack_parts,
)
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.metrics import REGISTRY
from poplarlug.relay.requests import Prompt
from poplarlug.types import Seconds, UpstreamId

HELD_PROBABILITY = 0.9
"""Probability that an engine has cached a part that it was sent; others preceded its
prefill, or the engine failed or refused the request that held it."""

CACHE_SHARE = 0.7
"""Share of an engine's memory that cached parts surely have next to running requests."""

PART_LIFE_SECONDS = 60.0
"""A part that was not used for this long counts as evicted."""

REPORT_AGAIN_SHARE = 0.25
"""An engine that was sent a part again is reported again once it has read this share of
its memory, or this share of the life of a part has passed: others don't see its use."""

MAX_PARTS = 1024
"""Parts known of one engine, about 250 bytes each. Engines in the deployments hold some
hundred parts."""

MIN_REPORTED_TOKENS = 4096
"""Prefilled tokens that are reported without a part; fewer wait for the next one."""

_KNOWN_PARTS = Gauge(
    "poplarlug_relay_known_parts",
    "Prompt parts that this entry believes engines of its region to have cached.",
    registry=REGISTRY,
)


class _Part(NamedTuple):
    """When a part was used, and reported, by the tokens read until then and by time."""

    used_read: int
    used_at: Seconds
    reported_read: float
    reported_at: Seconds


@lru_cache(maxsize=16_384)
def part_key(model: str, part: str) -> int:
    """Return the key of a part; engines cache it for one model."""
    return xxhash.xxh3_64_intdigest(f"{model}/{part}".encode())


def held_probability(read_since: int, capacity_tokens: int) -> float:
    """
    Return the probability that an engine has a part cached that it was sent.

    Parameters
    ----------
    read_since : int
        Tokens that it read since the part was used. The least recently used parts are
        evicted first.
    """
    if capacity_tokens <= 0:
        return 0.0
    room_left = (capacity_tokens - read_since) / capacity_tokens
    return HELD_PROBABILITY * min(1.0, max(0.0, room_left / (1 - CACHE_SHARE)))


class EngineMemory:
    """
    What one run of an engine was sent, by this entry and by all others.

    Parameters
    ----------
    born : int
        The run; a new one starts with an empty cache.
    """

    def __init__(self, *, born: int = 0, clock: Callable[[], Seconds]) -> None:
        self.born = born
        self._clock = clock
        # In the order of use.
        self._parts: OrderedDict[int, _Part] = OrderedDict()
        self._read_tokens = 0
        self._unreported: dict[int, None] = {}
        self._unreported_tokens = 0

    def __len__(self) -> int:
        return len(self._parts)

    def expected_tokens(
        self, prompt: Prompt, capacity_tokens: int, *, last: bool = True
    ) -> int:
        """
        Return the expected number of cached tokens at the start of ``prompt``.

        Parameters
        ----------
        last : bool
            Whether to include the last part, which is specific to the request.
        """
        if not self._parts:
            return 0
        expected = 0.0
        oldest = self._clock() - PART_LIFE_SECONDS
        for part in prompt.parts if last else prompt.parts[:-1]:
            known = self._parts.get(part_key(prompt.model, part.id))
            if known is None or known.used_at < oldest:
                break
            read_since = self._read_tokens - known.used_read
            expected += part.tokens * held_probability(read_since, capacity_tokens)
        return int(expected)

    def note_sent(self, prompt: Prompt, capacity_tokens: int) -> None:
        """Record that the engine is sent ``prompt`` by this entry."""
        now = self._clock()
        read = max(0, prompt.tokens - self.expected_tokens(prompt, capacity_tokens))
        self._read_tokens += read
        self._unreported_tokens += read
        shared = len(prompt.parts) - 1
        for index, part in enumerate(prompt.parts):
            key = part_key(prompt.model, part.id)
            known = self._parts.pop(key, None)
            if index < shared and self._must_report(known, capacity_tokens):
                self._unreported[key] = None
                known = None
            reported = (
                (self._read_tokens, now)
                if known is None
                else (known.reported_read, known.reported_at)
            )
            self._parts[key] = _Part(self._read_tokens, now, *reported)
        self._drop_evicted(capacity_tokens)

    def _must_report(self, known: _Part | None, capacity_tokens: int) -> bool:
        if known is None:
            return True
        read_since = self._read_tokens - known.reported_read
        seconds_since = self._clock() - known.reported_at
        return (
            read_since > REPORT_AGAIN_SHARE * capacity_tokens
            or seconds_since > REPORT_AGAIN_SHARE * PART_LIFE_SECONDS
        )

    def note_sent_by_others(self, keys: Iterable[int], read_tokens: int) -> None:
        """Record what others reported; they know of these parts as well."""
        now = self._clock()
        self._read_tokens += read_tokens
        for key in keys:
            self._parts.pop(key, None)
            self._parts[key] = _Part(self._read_tokens, now, self._read_tokens, now)
            self._unreported.pop(key, None)
        self._drop_evicted(None)

    def take_unreported(self) -> tuple[Sequence[int], int]:
        """Return the keys of parts that others may not know, and the tokens read."""
        if not self._unreported and self._unreported_tokens < MIN_REPORTED_TOKENS:
            return (), 0
        taken = list(self._unreported)[-MAX_PARTS_PER_REPORT:], self._unreported_tokens
        self._unreported = {}
        self._unreported_tokens = 0
        return taken

    def _drop_evicted(self, capacity_tokens: int | None) -> None:
        oldest = self._clock() - PART_LIFE_SECONDS
        while self._parts:
            known = self._parts[next(iter(self._parts))]
            read_since = self._read_tokens - known.used_read
            is_evicted = capacity_tokens is not None and read_since > capacity_tokens
            if not (is_evicted or known.used_at < oldest or len(self) > MAX_PARTS):
                break
            key, _ = self._parts.popitem(last=False)
            self._unreported.pop(key, None)


class EngineMemories(PartExchange):
    """
    Beliefs about the engines of the own region.

    Load pattern: most tokens of a prompt are its beginning, which requests at other
    entries share. An entry that knows only what it sent itself misses most of what
    engines have cached.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._memories_by_id: dict[UpstreamId, EngineMemory] = {}

    def expected_tokens(
        self,
        upstream: ServiceUpstream,
        prompt: Prompt,
        capacity_tokens: int,
        *,
        last: bool = True,
    ) -> int:
        """Return the expected number of tokens that an engine has cached."""
        memory = self._memories_by_id.get(upstream.id)
        if memory is None or memory.born != upstream.born:
            return 0
        return memory.expected_tokens(prompt, capacity_tokens, last=last)

    def note_sent(
        self, upstream: ServiceUpstream, prompt: Prompt, capacity_tokens: int
    ) -> None:
        """Record that this entry sends ``prompt`` to an engine."""
        memory = self._memory_of(upstream.id, upstream.born)
        if memory is not None:
            memory.note_sent(prompt, capacity_tokens)

    def note_sent_by_others(self, engines: Iterable[EngineParts]) -> None:
        for engine in engines:
            memory = self._memory_of(engine.id, engine.born)
            if memory is not None:
                keys = unpack_parts(engine.parts)
                memory.note_sent_by_others(keys, engine.read_tokens)

    def take_sent(self) -> tuple[EngineParts, ...]:
        taken: list[EngineParts] = []
        for upstream_id, memory in self._memories_by_id.items():
            keys, read_tokens = memory.take_unreported()
            if keys or read_tokens:
                parts = pack_parts(keys)
                taken.append(EngineParts(upstream_id, memory.born, read_tokens, parts))
        _KNOWN_PARTS.set(sum(map(len, self._memories_by_id.values())))
        return tuple(taken)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is believed of an engine that is gone."""
        self._memories_by_id.pop(upstream_id, None)

    def keep_only(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Drop unlisted engines."""
        kept = set(upstream_ids)
        for upstream_id in [one for one in self._memories_by_id if one not in kept]:
            self.forget(upstream_id)

    def _memory_of(self, upstream_id: UpstreamId, born: int) -> EngineMemory | None:
        """Return the memory of a run, ``None`` if a later one is known."""
        memory = self._memories_by_id.get(upstream_id)
        if memory is None or memory.born < born:
            memory = EngineMemory(born=born, clock=self._clock)
            self._memories_by_id[upstream_id] = memory
        return memory if memory.born == born else None
