"""Which engine should read the shared parts of a prompt."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from poplarlug.relay.requests import Prompt
from poplarlug.types import RegionName, UpstreamId

UNKNOWN_SHARE = 0.5
"""About half of the shared parts that an entry doesn't know were read elsewhere."""


class Holders(NamedTuple):
    """
    Shared tokens of one prompt that places are known to hold.

    Parameters
    ----------
    by_upstream : mapping
        Of the own region's upstreams.
    by_region : mapping
        Of other regions, as far as this entry handed such prompts there.
    """

    by_upstream: Mapping[UpstreamId, int]
    by_region: Mapping[RegionName, int]

    @property
    def most(self) -> int:
        held = [*self.by_upstream.values(), *self.by_region.values()]
        return max(held, default=0)


class Affinity(NamedTuple):
    """
    What a place would read again although another one has read it.

    Load pattern: thousands of prompts that share long parts, through many entries
    that don't know what the others sent. Where nobody is known to hold a part, all
    entries prefer the same upstream for it, by rendezvous hash.

    Parameters
    ----------
    shared_tokens : int
        Tokens of all parts but the last, which is the request's own.
    preferred : UpstreamId or None
        Where parts should go that no known place holds.
    """

    holders: Holders
    shared_tokens: int
    preferred: UpstreamId | None

    def reread_tokens(self, held: int, is_preferred: bool) -> int:
        """
        Return the tokens that a place reads again.

        Parameters
        ----------
        held : int
            Shared tokens that the place itself holds.
        is_preferred : bool
            Whether it is, or has, the preferred upstream.
        """
        known = max(0, self.holders.most - held)
        unknown = self.shared_tokens - max(self.holders.most, held)
        if is_preferred or self.preferred is None:
            return known
        return known + int(UNKNOWN_SHARE * max(0, unknown))


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of all parts but the last one."""
    return sum(part.tokens for part in prompt.parts[:-1])


def preferred_upstream(
    prompt: Prompt, upstream_ids: Iterable[UpstreamId]
) -> UpstreamId | None:
    """Return the upstream that all entries choose for a prompt's shared parts."""
    if len(prompt.parts) < 2:
        return None
    part = prompt.parts[-2].id
    return max(
        upstream_ids,
        key=lambda upstream_id: xxhash.xxh3_64_intdigest(
            f"{part}/{upstream_id}".encode()
        ),
        default=None,
    )
