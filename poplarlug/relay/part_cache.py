"""Estimates which prompt parts an upstream has cached."""

from collections import OrderedDict
from collections.abc import Callable

from poplarlug.relay.requests import Prompt
from poplarlug.types import Seconds

CACHE_SHARE = 0.7
"""Share of an engine's memory available to cached parts next to running requests."""

PART_LIFE_SECONDS = 60.0
"""A part that was not used for this long counts as evicted."""


class PartCache:
    """
    LRU model of the cache of one upstream, based on the parts this entry sent to it.

    Parameters
    ----------
    capacity_tokens : int
        Memory capacity of the upstream in tokens.
    """

    def __init__(self, *, capacity_tokens: int, clock: Callable[[], Seconds]) -> None:
        self._capacity = capacity_tokens * CACHE_SHARE
        self._clock = clock
        self._parts: OrderedDict[tuple[str, str], tuple[int, Seconds]] = OrderedDict()
        self._tokens = 0

    def hit_tokens(self, prompt: Prompt, *, last: bool = True) -> int:
        """
        Return the number of cached tokens at the start of ``prompt``.

        Parameters
        ----------
        last : bool
            Whether to include the last part, which is specific to the request.
        """
        if not self._parts or not prompt.parts:
            return 0
        oldest = self._clock() - PART_LIFE_SECONDS
        hit = 0
        for part in prompt.parts if last else prompt.parts[:-1]:
            cached_part = self._parts.get((prompt.model, part.id))
            if cached_part is None or cached_part[1] < oldest:
                break
            hit += part.tokens
        return hit

    def note_used(self, prompt: Prompt) -> None:
        """Record that the upstream prefills ``prompt``."""
        now = self._clock()
        for part in prompt.parts:
            key = (prompt.model, part.id)
            cached_part = self._parts.pop(key, None)
            if cached_part is None:
                self._tokens += part.tokens
            self._parts[key] = (part.tokens, now)
        while self._tokens > self._capacity and self._parts:
            _, (tokens, _) = self._parts.popitem(last=False)
            self._tokens -= tokens
