"""Cost model of an LLM engine: prefill time, load and measured speed."""

from collections.abc import Iterable
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

WORK_HALF_LIFE_SECONDS = 1.0
"""Half-life of measured work. Engines turn slow for half a second to some seconds, and one
that gets no requests must be tried again."""

PRIOR_PREFILL_MS = 200
"""Prefill at nominal speed that is added to the measured one, so that a single response
says little."""

PRIOR_TOKENS = 50
"""Tokens at the mean rate of all engines that are added to the measured ones."""

SPEED_TOLERANCE = 0.7
"""Engines whose speeds differ by less than this factor count as alike."""

MIN_SPEED = 0.1
MAX_SPEED = 2.0
"""Bounds of the speed that one response can show."""

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


def uncached_prefill_seconds(tokens: int) -> Seconds:
    """Return the prefill time of a prompt of which nothing is cached."""
    return prefill_seconds(tokens, 0)


class MeasuredWork(NamedTuple):
    """
    What an engine did recently, and the time that it took, as seen by entries.

    Sums can be added across entries, so that all of them learn from each response.

    Parameters
    ----------
    nominal_ms, prefill_ms : int
        Milliseconds of prefill, queue included: at nominal speed, and as measured.
    tokens, decode_ms : int
        Tokens of streams, and the time between them summed over the streams.
    """

    nominal_ms: int = 0
    prefill_ms: int = 0
    tokens: int = 0
    decode_ms: int = 0

    def plus(self, other: "MeasuredWork") -> "MeasuredWork":
        return MeasuredWork(
            self.nominal_ms + other.nominal_ms,
            self.prefill_ms + other.prefill_ms,
            self.tokens + other.tokens,
            self.decode_ms + other.decode_ms,
        )

    @property
    def speed(self) -> float:
        """The speed of prefill relative to the nominal speed; 1 if nothing is known."""
        return (self.nominal_ms + PRIOR_PREFILL_MS) / (
            self.prefill_ms + PRIOR_PREFILL_MS
        )

    def token_seconds(self, mean: Seconds) -> Seconds:
        """
        Return the time between two tokens of a stream.

        Parameters
        ----------
        mean : float
            The same time at all engines together, of which nothing is known if it is 0.
        """
        decode = self.decode_ms / 1000 + PRIOR_TOKENS * mean
        return decode / (self.tokens + PRIOR_TOKENS)


NO_WORK = MeasuredWork()


def sum_work(works: Iterable[MeasuredWork]) -> MeasuredWork:
    """Return what several engines did together."""
    columns = zip(*works, strict=True)
    return MeasuredWork(*map(sum, columns))


def relative_speed(speed: float, mean: float) -> float:
    """
    Return the speed of an engine as a multiple of the mean of all.

    Small differences count as none: part of the queue ahead is unknown to whoever
    measures, and all entries would turn to the same engine at once.
    """
    relative = speed / mean
    if relative < 1:
        return min(1.0, relative / SPEED_TOLERANCE)
    return max(1.0, relative * SPEED_TOLERANCE)


class RecentWork:
    """
    Measurements of one engine by this entry, whose weight halves in a fixed time.

    Load pattern: a quarter of the engines at half speed, others slow for half a second at
    a time, and so many entries that each one sees few responses of an engine.
    """

    def __init__(self) -> None:
        self.work = NO_WORK
        self._sums = (0.0, 0.0, 0.0, 0.0)
        self._noted_at = 0.0

    def note_prefill(
        self, now: Seconds, *, expected: Seconds, seconds: Seconds
    ) -> None:
        """Record that ``expected`` seconds of work took ``seconds``, queue included."""
        if expected < MIN_MEASURED_SECONDS or seconds <= FIRST_EVENT_SECONDS:
            return
        measured = seconds - FIRST_EVENT_SECONDS
        measured = min(expected / MIN_SPEED, max(expected / MAX_SPEED, measured))
        self._add(now, expected * 1000, measured * 1000, 0, 0.0)

    def note_decoded(self, now: Seconds, *, tokens: int, seconds: Seconds) -> None:
        """Record that a stream got ``tokens`` within ``seconds``."""
        self._add(now, 0.0, 0.0, tokens, seconds * 1000)

    def decay(self, now: Seconds) -> None:
        """Reduce the weight of what was recorded by the time since then."""
        if any(self._sums):
            self._add(now, 0.0, 0.0, 0, 0.0)

    def _add(self, now: Seconds, *work: float) -> None:
        share = 0.5 ** ((now - self._noted_at) / WORK_HALF_LIFE_SECONDS)
        self._noted_at = now
        first, second, third, fourth = (
            share * former + added
            for former, added in zip(self._sums, work, strict=True)
        )
        self._sums = first, second, third, fourth
        self.work = MeasuredWork(*map(round, self._sums))
        if self.work == NO_WORK:
            self._sums = (0.0, 0.0, 0.0, 0.0)
