"""Model engines in virtual time: batching, chunked prefill and a prefix cache."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from poplarlug.relay.requests import Prompt
from poplarlug.types import Seconds, UpstreamId

CHUNK_TOKENS = 2048
"""Maximum number of prompt tokens prefilled per step, as in the deployments' engines."""


class EngineSpec(NamedTuple):
    """
    Performance of an engine; the defaults are those of the deployments' engines.

    Parameters
    ----------
    step_seconds : float
        Duration of a step with an empty batch.
    slot_seconds : float
        Additional step duration per running request.
    read_tokens_per_second : float
        Prefill rate without the cost of attention.
    pair_seconds : float
        Cost of attention per pair of a prefilled token and a token before it.
    tokens_per_event : int
        Number of tokens in an event of the answer's stream.
    speed : float
        Factor by which all of its steps are shorter.
    """

    slots: int = 16
    kv_capacity_tokens: int = 171_000
    step_seconds: Seconds = 0.0047
    slot_seconds: Seconds = 0.000014
    read_tokens_per_second: float = 38_400.0
    pair_seconds: Seconds = 1.2e-9
    tokens_per_event: int = 7
    speed: float = 1.0


class EngineRun:
    """One request at an engine; times are those of the virtual event loop."""

    def __init__(self, *, prompt: Prompt, answer_tokens: int) -> None:
        self.prompt = prompt
        self.answer_tokens = answer_tokens
        self.unread_tokens = -1
        self.cached_tokens = 0
        self.decoded_tokens = 0
        self.last_event: Seconds = 0.0
        self.longest_pause: Seconds = 0.0
        self.first_event: asyncio.Future[Seconds] = (
            asyncio.get_running_loop().create_future()
        )
        self.ended: asyncio.Future[Seconds] = asyncio.get_running_loop().create_future()
        self.is_cancelled = False

    @property
    def own_tokens(self) -> int:
        """KV cache tokens that aren't shared with other requests."""
        own = self.prompt.parts[-1].tokens if self.prompt.parts else self.prompt.tokens
        return own + self.answer_tokens


class VirtualEngine:
    """
    Engine that emulates continuous batching.

    Each step decodes one token of every request whose prompt is prefilled, and
    prefills at most one chunk of one prompt.

    Parameters
    ----------
    clock : callable
        Returns the time of the virtual event loop.
    known_parts : set of str
        Parts that any engine of the region has read.
    """

    def __init__(
        self,
        *,
        id: UpstreamId,
        spec: EngineSpec,
        clock: Callable[[], Seconds],
        known_parts: set[str],
    ) -> None:
        self.id = id
        self._spec = spec
        self._clock = clock
        self._queue: list[EngineRun] = []
        self._running: list[EngineRun] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._wake = asyncio.Event()
        self.read_tokens = 0
        self.cached_tokens = 0
        self.reread_tokens = 0
        self._known_parts = known_parts

    def start(self, run: EngineRun) -> None:
        """Enqueue a request; it waits until a slot is free."""
        self._queue.append(run)
        self._wake.set()

    def cancel(self, run: EngineRun) -> None:
        """Cancel a request whose caller has gone."""
        run.is_cancelled = True
        self._wake.set()

    async def run_steps(self) -> None:
        """Execute steps until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep(self._step_seconds() / self._spec.speed)
            self._decode_tokens()

    def _admit(self) -> None:
        self._queue = [run for run in self._queue if not run.is_cancelled]
        self._running = [run for run in self._running if not run.is_cancelled]
        while self._queue and len(self._running) < self._spec.slots:
            run = self._queue.pop(0)
            run.unread_tokens = self._count_unread(run)
            self._running.append(run)

    def _count_unread(self, run: EngineRun) -> int:
        prompt = run.prompt
        cached = 0
        for part in prompt.parts:
            if part.id not in self._cache:
                break
            cached += part.tokens
        run.cached_tokens = cached
        known = sum(
            part.tokens for part in prompt.parts[:-1] if part.id in self._known_parts
        )
        self.cached_tokens += cached
        self.read_tokens += prompt.tokens - cached
        self.reread_tokens += max(0, known - cached)
        return max(1, prompt.tokens - cached)

    def _step_seconds(self) -> Seconds:
        spec = self._spec
        seconds = spec.step_seconds + spec.slot_seconds * len(self._running)
        reading = next((run for run in self._running if run.unread_tokens > 0), None)
        if reading is None:
            return seconds
        chunk = min(CHUNK_TOKENS, reading.unread_tokens)
        before = reading.prompt.tokens - reading.unread_tokens
        reading.unread_tokens -= chunk
        if reading.unread_tokens == 0:
            self._cache_prompt(reading.prompt)
        pairs = chunk * (before + chunk / 2)
        return seconds + chunk / spec.read_tokens_per_second + pairs * spec.pair_seconds

    def _cache_prompt(self, prompt: Prompt) -> None:
        self._known_parts.update(part.id for part in prompt.parts)
        for part in prompt.parts:
            self._cache[part.id] = part.tokens
            self._cache.move_to_end(part.id)
        room = self._spec.kv_capacity_tokens - sum(r.own_tokens for r in self._running)
        while self._cache and sum(self._cache.values()) > room:
            self._cache.popitem(last=False)

    def _decode_tokens(self) -> None:
        now = self._clock()
        for run in [run for run in self._running if run.unread_tokens == 0]:
            run.decoded_tokens += 1
            if run.decoded_tokens == 1:
                run.last_event = now
                run.first_event.set_result(now)
            elif run.decoded_tokens % self._spec.tokens_per_event == 0:
                run.longest_pause = max(run.longest_pause, now - run.last_event)
                run.last_event = now
            if run.decoded_tokens >= run.answer_tokens:
                self._running.remove(run)
                run.ended.set_result(now)
