"""Chooses the engines that prefill shared prompt parts, and estimates cache hits."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from poplarlug.relay.engine_memory import HELD_PROBABILITY
from poplarlug.relay.requests import Prompt
from poplarlug.types import RegionName, UpstreamId

HOME_MISS_FACTOR = 1.5
"""Share of a part that nobody is known to have sent that doesn't count at its home engine,
multiplied by the number of entries in the region. With fewer entries, more of what is
sent is known, and a home attracts less."""

REMOTE_HIT_PROBABILITY = 0.6
"""Probability that the home engine in another region caches a part. The engine chosen
there depends on loads that are unknown here."""

MAX_CACHED_PARTS = 4096
"""Parts whose home engines are cached; a few hundred are in use at a time."""


class HomeEngines:
    """
    Choose a home engine per region for each shared part by rendezvous hashing.

    Load pattern: thousands of prompts that share long parts arrive through many
    entries, which don't know what the others sent. All entries send a part to the
    same engine of a region unless that engine is too busy.
    """

    def __init__(self) -> None:
        self._regions_by_id: Mapping[UpstreamId, RegionName] = {}
        self._homes_by_part: dict[str, Mapping[RegionName, UpstreamId]] = {}

    def find(
        self, prompt: Prompt, regions_by_id: Mapping[UpstreamId, RegionName]
    ) -> Mapping[RegionName, UpstreamId]:
        """
        Return the home engine of the prompt's shared parts in each region.

        Parameters
        ----------
        regions_by_id : mapping
            Regions of the engines that can serve the prompt; must not change later.

        Returns
        -------
        mapping
            Home engines by region; empty for a prompt without shared parts.
        """
        if len(prompt.parts) < 2:
            return {}
        if regions_by_id is not self._regions_by_id:
            if regions_by_id != self._regions_by_id:
                self._homes_by_part.clear()
            self._regions_by_id = regions_by_id
        part = prompt.parts[-2].id
        homes = self._homes_by_part.get(part)
        if homes is None:
            if len(self._homes_by_part) >= MAX_CACHED_PARTS:
                self._homes_by_part.clear()
            homes = self._homes_by_part[part] = _choose_homes(part, regions_by_id)
        return homes


class Affinity(NamedTuple):
    """
    The shared tokens of one prompt that engines have cached, or should have.

    A part that nobody sent counts as cached at its home engine, so that all entries send
    it there before they learn of each other. It must be prefilled once anyway; counted
    against the home, all would turn to the engine whose last report was the best.

    Parameters
    ----------
    expected_by_id : mapping
        Expected cached tokens at engines of the own region.
    home : UpstreamId or None
        Home engine of the shared parts in the own region, while no engine has them all.
    home_tokens : int
        Tokens that count as cached at the home engine.
    max_counted_tokens : int
        Largest number of tokens that count as cached at any engine of any region.
    """

    expected_by_id: Mapping[UpstreamId, int] = {}
    home: UpstreamId | None = None
    home_tokens: int = 0
    max_counted_tokens: int = 0

    def counted_tokens(self, upstream_id: UpstreamId) -> int:
        """Return the shared tokens that count as cached at an engine."""
        expected = self.expected_by_id.get(upstream_id, 0)
        return max(expected, self.home_tokens) if upstream_id == self.home else expected

    def recomputed_tokens(self, counted: int) -> int:
        """Return the tokens prefilled again although another engine has them cached."""
        return max(0, self.max_counted_tokens - counted)


def home_share(entries: int) -> float:
    """Return the share of a part that counts at its home engine while nobody sent it."""
    return max(0.0, 1.0 - HOME_MISS_FACTOR / max(1, entries))


def make_affinity(
    *,
    shared: int,
    last_shared: int,
    home: UpstreamId | None,
    entries: int,
    expected_by_id: Mapping[UpstreamId, int],
    counted_elsewhere: Iterable[int],
) -> Affinity:
    """
    Decide whether engines that were sent the shared parts go before their home engine.

    Parameters
    ----------
    shared, last_shared : int
        Tokens of the shared parts, and of the last of them.
    entries : int
        Number of entries in the own region.
    expected_by_id : mapping
        Expected cached tokens at engines of the own region.
    counted_elsewhere : iterable of int
        Tokens that count as cached at the best engine of each other region.
    """
    most = max(expected_by_id.values(), default=0)
    home_tokens = int(home_share(entries) * shared)
    if home is None or most >= HELD_PROBABILITY * shared - last_shared / 2:
        home, home_tokens = None, 0
    return Affinity(
        expected_by_id, home, home_tokens, max(most, home_tokens, *counted_elsewhere, 0)
    )


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of all parts except the last one."""
    return sum(part.tokens for part in prompt.parts[:-1])


def _choose_homes(
    part: str, regions_by_id: Mapping[UpstreamId, RegionName]
) -> Mapping[RegionName, UpstreamId]:
    best: dict[RegionName, tuple[int, UpstreamId]] = {}
    for upstream_id, region in regions_by_id.items():
        weight = xxhash.xxh3_64_intdigest(f"{part}/{upstream_id}".encode())
        current = best.get(region)
        if current is None or (weight, upstream_id) > current:
            best[region] = weight, upstream_id
    return {region: upstream_id for region, (_, upstream_id) in best.items()}
