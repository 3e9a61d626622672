"""Chooses the engines that prefill shared prompt parts, and estimates cache hits."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from poplarlug.relay.requests import Prompt
from poplarlug.types import RegionName, UpstreamId

HOME_MISS_FACTOR = 1.5
"""Probability that a part's home engine doesn't cache a part that this entry never sent
there, multiplied by the number of entries in the region. With fewer entries, each one
has sent more of the cached parts itself."""

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
    Estimate of the shared tokens of one prompt that engines have cached.

    Parameters
    ----------
    shared_tokens : int
        Tokens of all parts except the last, which is specific to the request.
    home : UpstreamId or None
        Home engine of the shared parts in the own region.
    home_hit_probability : float
        Probability that the home engine caches them, see
        :func:`home_hit_probability`.
    known_by_id : mapping
        Cached tokens at engines of the own region, counting only what this entry sent.
    max_expected_tokens : int
        Largest expected number of cached tokens at any engine of any region.
    """

    shared_tokens: int = 0
    home: UpstreamId | None = None
    home_hit_probability: float = 0.0
    known_by_id: Mapping[UpstreamId, int] = {}
    max_expected_tokens: int = 0

    def expected_tokens(self, upstream_id: UpstreamId) -> int:
        """Return the shared tokens that an engine of the own region has cached."""
        known = self.known_by_id.get(upstream_id, 0)
        if upstream_id != self.home:
            return known
        return max(known, int(self.home_hit_probability * self.shared_tokens))

    def recomputed_tokens(self, cached: int) -> int:
        """Return the tokens prefilled again although another engine has them cached."""
        return max(0, self.max_expected_tokens - cached)


def home_hit_probability(entries: int) -> float:
    """Return the probability that a home engine caches a part."""
    return max(0.0, 1.0 - HOME_MISS_FACTOR / max(1, entries))


def make_affinity(
    *,
    shared: int,
    home: UpstreamId | None,
    entries: int,
    known_by_id: Mapping[UpstreamId, int],
    cached_elsewhere: Iterable[int],
) -> Affinity:
    """
    Estimate how much of a prompt's shared parts engines have cached.

    Parameters
    ----------
    shared : int
        Tokens of the shared parts.
    entries : int
        Number of entries in the own region.
    cached_elsewhere : iterable of int
        Expected cached tokens at the best engine of each other region.
    """
    affinity = Affinity(shared, home, home_hit_probability(entries), known_by_id)
    at_home = 0 if home is None else affinity.expected_tokens(home)
    most = max(at_home, *known_by_id.values(), *cached_elsewhere, 0)
    return affinity._replace(max_expected_tokens=most)


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
