"""How long a model engine takes: reading a prompt, and each step of a batch."""

from typing import NamedTuple

from poplarlug.types import Seconds

DEFAULT_PREFILL_TOKENS_PER_SECOND = 38_000.0
"""Engines of the deployments read 38 to 52 prompt tokens a millisecond."""

MIN_RATE_TOKENS_PER_SECOND = 4_000.0
MAX_RATE_TOKENS_PER_SECOND = 200_000.0
RATE_WEIGHT = 0.1
"""Weight of one measured answer in the running mean of an engine's rate."""

FIRST_EVENT_SECONDS = 0.045
"""From a prompt that is read to the first event at the entry, at an idle engine."""

MEASURED_TOKENS = 1_000
"""Shorter prompts tell nothing of the rate beside the fixed time."""


class EngineLoad(NamedTuple):
    """
    What an engine has to do.

    Parameters
    ----------
    running : int
        Requests in its batch or its queue.
    prefill_tokens : int
        Prompt tokens still to be read before a new request's.
    kv_tokens : int
        Tokens that running requests will hold.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


class PrefillRate:
    """Running mean of the rate at which one engine reads prompts."""

    def __init__(self) -> None:
        self.tokens_per_second = DEFAULT_PREFILL_TOKENS_PER_SECOND

    def measured(self, *, tokens: int, seconds: Seconds) -> None:
        """Take in how long ``tokens`` took, queue included."""
        if tokens < MEASURED_TOKENS or seconds <= FIRST_EVENT_SECONDS:
            return
        rate = tokens / (seconds - FIRST_EVENT_SECONDS)
        rate = min(MAX_RATE_TOKENS_PER_SECOND, max(MIN_RATE_TOKENS_PER_SECOND, rate))
        self.tokens_per_second += RATE_WEIGHT * (rate - self.tokens_per_second)


def first_event_seconds(load: EngineLoad, new_tokens: int, rate: float) -> Seconds:
    """Return when a new request's first event comes, from now."""
    return (load.prefill_tokens + new_tokens) / rate + FIRST_EVENT_SECONDS
