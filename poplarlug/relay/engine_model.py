"""Cost model of an LLM engine: prefill time, load and measured speed."""

from typing import NamedTuple

from poplarlug.types import Seconds

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Engines in the deployments prefill 38 to 52 prompt tokens per millisecond."""

SECONDS_PER_PAIR = 1.2e-9
"""Attention cost: each prefilled token attends to all previous tokens. Engines in the
deployments take 1.2 ms per million token pairs."""

FIRST_EVENT_SECONDS = 0.045
"""Time from the end of prefill to the first event at the entry, for an idle engine."""

DECODE_SECONDS_PER_TOKEN = 0.02
"""Decode time per token at a busy engine; it is 5 ms at an idle engine and 60 ms
alongside the prefill of long prompts."""

LONG_PREFILL_SECONDS = 0.12
"""Prefill longer than this occupies several consecutive batch steps, which pauses all
other streams of the engine."""

SPEED_WEIGHT = 0.1
"""Weight of one measured response in the moving average of an engine's speed."""

MIN_SPEED = 0.1
MAX_SPEED = 2.0
MIN_MEASURED_SECONDS = 0.05
"""Shorter work is dominated by the fixed overhead and gives no estimate of speed."""


class EngineLoad(NamedTuple):
    """
    Current load of an engine.

    Parameters
    ----------
    running : int
        Requests in its batch or queue.
    long : int
        Those of them with a long prefill, see :data:`LONG_PREFILL_SECONDS`.
    read_ms : int
        Milliseconds of pending prefill at nominal speed.
    kv_tokens : int
        Tokens that running requests will occupy in the KV cache.
    """

    running: int = 0
    long: int = 0
    read_ms: int = 0
    kv_tokens: int = 0


def prefill_seconds(new_tokens: int, cached_tokens: int) -> Seconds:
    """
    Return the prefill time of a prompt at an idle engine of nominal speed.

    Parameters
    ----------
    new_tokens : int
        Tokens missing from the engine's cache.
    cached_tokens : int
        Cached tokens that precede them.
    """
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens / PREFILL_TOKENS_PER_SECOND + pairs * SECONDS_PER_PAIR


class EngineSpeed:
    """Moving average of an engine's speed relative to the nominal speed."""

    def __init__(self) -> None:
        self.factor = 1.0

    def update(self, *, expected: Seconds, seconds: Seconds) -> None:
        """Record that ``expected`` seconds of work took ``seconds``, queue included."""
        if expected < MIN_MEASURED_SECONDS or seconds <= FIRST_EVENT_SECONDS:
            return
        factor = expected / (seconds - FIRST_EVENT_SECONDS)
        factor = min(MAX_SPEED, max(MIN_SPEED, factor))
        self.factor += SPEED_WEIGHT * (factor - self.factor)
