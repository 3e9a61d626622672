"""How long a model engine takes to read a prompt, and what else it has to do."""

from typing import NamedTuple

from poplarlug.types import Seconds

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Engines of the deployments read 38 to 52 prompt tokens a millisecond."""

SECONDS_PER_PAIR = 1.2e-9
"""Attention: each token that is read looks at all before it; the deployments'
engines take 1.2 ms for a million such pairs."""

FIRST_EVENT_SECONDS = 0.045
"""From a prompt that is read to the first event at the entry, at an idle engine."""

ANSWER_TOKEN_SECONDS = 0.02
"""Time of one token of an answer at a busy engine: 5 ms at an idle one, 60 ms beside
long prompts."""

LONG_PREFILL_SECONDS = 0.12
"""A prompt that takes longer fills several steps of a batch in a row, so that all
other streams of the engine pause."""

SPEED_WEIGHT = 0.1
"""Weight of one measured answer in the running mean of an engine's speed."""

MIN_SPEED = 0.1
MAX_SPEED = 2.0
MIN_MEASURED_SECONDS = 0.05
"""Shorter work tells nothing of the speed beside the fixed time."""


class EngineLoad(NamedTuple):
    """
    What an engine has to do.

    Parameters
    ----------
    running : int
        Requests in its batch or its queue.
    long : int
        Those of them whose prompts were long to read.
    read_ms : int
        Milliseconds of prompts that are still to be read, at nominal speed.
    kv_tokens : int
        Tokens that running requests will hold.
    """

    running: int = 0
    long: int = 0
    read_ms: int = 0
    kv_tokens: int = 0


def prefill_seconds(new_tokens: int, cached_tokens: int) -> Seconds:
    """
    Return how long an idle engine of nominal speed reads a prompt.

    Parameters
    ----------
    new_tokens : int
        Tokens that its cache lacks.
    cached_tokens : int
        Tokens before them that it holds.
    """
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens / PREFILL_TOKENS_PER_SECOND + pairs * SECONDS_PER_PAIR


class EngineSpeed:
    """Running mean of an engine's speed against the nominal one."""

    def __init__(self) -> None:
        self.factor = 1.0

    def update(self, *, expected: Seconds, seconds: Seconds) -> None:
        """Take in that work of ``expected`` seconds took ``seconds``, queue included."""
        if expected < MIN_MEASURED_SECONDS or seconds <= FIRST_EVENT_SECONDS:
            return
        factor = expected / (seconds - FIRST_EVENT_SECONDS)
        factor = min(MAX_SPEED, max(MIN_SPEED, factor))
        self.factor += SPEED_WEIGHT * (factor - self.factor)
