"""Which engines should read, and probably hold, the shared parts of a prompt."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from poplarlug.relay.requests import Prompt
from poplarlug.types import RegionName, UpstreamId

HOME_MISS_FACTOR = 1.5
"""Probability that a part's home engine lacks what this entry never sent there, times
the entries that send: the fewer they are, the more an entry knows itself."""

REMOTE_HIT_PROBABILITY = 0.6
"""Probability that the home engine in another region holds a part; the choice there
depends on loads that aren't known here."""

MAX_CACHED_PARTS = 4096
"""Parts whose homes are remembered; some hundred are in use at a time."""


class HomeEngines:
    """
    The home engine of each shared part in each region, by rendezvous hash.

    Load pattern: thousands of prompts that share long parts, through many entries
    that don't know what the others sent. All entries send a part to the same engine
    of a region, unless that one is too busy.
    """

    def __init__(self) -> None:
        self._regions_by_id: Mapping[UpstreamId, RegionName] = {}
        self._homes_by_part: dict[str, Mapping[RegionName, UpstreamId]] = {}

    def find(
        self, prompt: Prompt, regions_by_id: Mapping[UpstreamId, RegionName]
    ) -> Mapping[RegionName, UpstreamId]:
        """
        Return the home engine of a prompt's shared parts in each region.

        Parameters
        ----------
        regions_by_id : mapping
            Regions of the engines that serve it.

        Returns
        -------
        mapping
            Empty for a prompt without shared parts.
        """
        if len(prompt.parts) < 2:
            return {}
        if regions_by_id != self._regions_by_id:
            self._regions_by_id = dict(regions_by_id)
            self._homes_by_part.clear()
        part = prompt.parts[-2].id
        homes = self._homes_by_part.get(part)
        if homes is None:
            if len(self._homes_by_part) >= MAX_CACHED_PARTS:
                self._homes_by_part.clear()
            homes = self._homes_by_part[part] = _choose_homes(part, regions_by_id)
        return homes


class Affinity(NamedTuple):
    """
    Shared tokens of one prompt that engines probably hold.

    Parameters
    ----------
    shared_tokens : int
        Tokens of all parts but the last, which is the request's own.
    home : UpstreamId or None
        Their home engine in the own region.
    home_held_share : float
        Probability that it holds them, see :func:`home_held_share`.
    known_by_id : mapping
        Tokens that engines of the own region hold as far as this entry sent them.
    most_held : int
        Expected tokens where most are, in any region.
    """

    shared_tokens: int = 0
    home: UpstreamId | None = None
    home_hit_probability: float = 0.0
    known_by_id: Mapping[UpstreamId, int] = {}
    max_expected_tokens: int = 0

    def expected_tokens(self, upstream_id: UpstreamId) -> int:
        """Return the shared tokens that an engine of the own region should hold."""
        known = self.known_by_id.get(upstream_id, 0)
        if upstream_id != self.home:
            return known
        return max(known, int(self.home_hit_probability * self.shared_tokens))

    def reread_tokens(self, held: int) -> int:
        """Return the tokens that a place reads again although another holds them."""
        return max(0, self.max_expected_tokens - held)


def home_hit_probability(entries: int) -> float:
    """Return how probably a part's home holds it, by the entries of the region."""
    return max(0.0, 1.0 - HOME_MISS_FACTOR / max(1, entries))


def make_affinity(
    *,
    shared: int,
    home: UpstreamId | None,
    entries: int,
    known_by_id: Mapping[UpstreamId, int],
    held_elsewhere: Iterable[int],
) -> Affinity:
    """
    Return what engines probably hold of a prompt's shared parts.

    Parameters
    ----------
    shared : int
        Tokens of these parts.
    entries : int
        Entries of the own region.
    held_elsewhere : iterable of int
        Expected tokens at the best engine of each other region.
    """
    affinity = Affinity(shared, home, home_hit_probability(entries), known_by_id)
    at_home = 0 if home is None else affinity.expected_tokens(home)
    most = max(at_home, *known_by_id.values(), *held_elsewhere, 0)
    return affinity._replace(max_expected_tokens=most)


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of all parts but the last one."""
    return sum(part.tokens for part in prompt.parts[:-1])


def _choose_homes(
    part: str, regions_by_id: Mapping[UpstreamId, RegionName]
) -> Mapping[RegionName, UpstreamId]:
    best: dict[RegionName, tuple[int, UpstreamId]] = {}
    for upstream_id, region in regions_by_id.items():
        weight = xxhash.xxh3_64_intdigest(f"{part}/{upstream_id}".encode())
        held = best.get(region)
        if held is None or (weight, upstream_id) > held:
            best[region] = weight, upstream_id
    return {region: upstream_id for region, (_, upstream_id) in best.items()}
