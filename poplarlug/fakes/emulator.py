"""Emulates a model engine's timing, memory and reports."""

import asyncio
import heapq
from collections import deque
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from poplarlug.fakes.prefix_cache import CacheEvents, PrefixCache
from poplarlug.fakes.weight_store import WeightStore
from poplarlug.routing.prefix_hashes import BLOCK_TOKENS
from poplarlug.types import AdapterName, ModelName, Seconds

STEP_SECONDS = 0.02
MAX_LOAD_RECORDS = 1024
_TOLERANCE = 1e-6


class EngineProfile(NamedTuple):
    """
    Size and speed of an emulated engine.

    Parameters
    ----------
    batch_limit : int
        Maximum number of sequences that run at once.
    kv_tokens : int
        Tokens of KV cache that running sequences may reserve together.
    cache_blocks : int
        Blocks of the prefix cache.
    prefill_tokens_per_second : float
        Rate of prefill, shared by the sequences that need it.
    token_seconds, token_seconds_per_sequence : float
        Time between the tokens of a sequence that runs alone, and what each
        further sequence of the batch adds to it.
    first_token_seconds : float
        Fixed time before a sequence's prefill.
    prefill_share : float
        Share of decode throughput, 0 to 1, that is lost while prefill runs.
    load_lag_seconds, event_delay_seconds : float
        Delay of load reports and of cache events.
    event_loss : float
        Share of batches of cache events that are lost.
    """

    batch_limit: int = 1024
    kv_tokens: int = 1 << 30
    cache_blocks: int = 4096
    prefill_tokens_per_second: float = float("inf")
    token_seconds: Seconds = 0.0
    token_seconds_per_sequence: Seconds = 0.0
    first_token_seconds: Seconds = 0.0
    prefill_share: float = 0.5
    load_lag_seconds: Seconds = 0.0
    event_delay_seconds: Seconds = 0.0
    event_loss: float = 0.0
    step_seconds: Seconds = STEP_SECONDS


class EngineJob(NamedTuple):
    """
    A request for one sequence.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    resume_from : int
        Number of answer tokens that exist already; they are prefilled as prompt.
    """

    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 1
    resume_from: int = 0
    adapter: AdapterName | None = None


class EngineLoad(NamedTuple):
    """Number of running and queued sequences of an engine at one time."""

    running: int = 0
    queued: int = 0


class UnknownAdapterError(Exception):
    """A job names an adapter that the engine hasn't loaded."""


class EngineStream:
    """Tokens of one job as they are generated; :meth:`cancel` ends it early."""

    def __init__(self, *, job: EngineJob, ready_at: Seconds) -> None:
        self.job = job
        self.ready_at = ready_at
        self.cached_tokens = 0
        self.prefill_left = 0.0
        self.prefilled = False
        self.first_token_at: Seconds | None = None
        self.ended = False
        self.cancelled = False
        self._tokens = float(job.resume_from)
        self._waiter: asyncio.Future[None] | None = None
        self._seen_tokens = 0

    @property
    def tokens(self) -> int:
        """Number of answer tokens so far, including resumed ones."""
        return min(self.job.max_tokens, int(self._tokens + _TOLERANCE))

    @property
    def reserved_tokens(self) -> int:
        return self.job.prompt_tokens + self.job.max_tokens

    async def next_tokens(self, seen: int) -> int:
        """Wait for more than ``seen`` tokens or the end; return their number."""
        while self.tokens <= seen and not self.ended:
            self._seen_tokens = seen
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.tokens

    async def finished(self) -> bool:
        """Wait for the end; return whether the answer is complete."""
        await self.next_tokens(self.job.max_tokens)
        return not self.cancelled

    def cancel(self) -> None:
        """End the sequence; the engine frees its place in the next step."""
        if not self.ended:
            self.cancelled = True
            self.end()

    def add_tokens(self, tokens: float, now: Seconds) -> None:
        self._tokens = min(float(self.job.max_tokens), self._tokens + tokens)
        available_tokens = self.tokens
        if self.first_token_at is None and available_tokens > self.job.resume_from:
            self.first_token_at = now
        if available_tokens > self._seen_tokens:
            self._wake()

    def end(self) -> None:
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class EngineEmulator:
    """
    Run jobs in a continuous batch, most urgent first.

    Time comes only from the running event loop, so that an engine process and an
    experiment in virtual time can share this class.
    """

    def __init__(
        self,
        *,
        profile: EngineProfile,
        rng: Random,
        models: Iterable[ModelName] = (),
        weight_store: WeightStore | None = None,
    ) -> None:
        self.profile = profile
        self.models = set(models)
        self.adapters: set[AdapterName] = set()
        self.cache = PrefixCache(
            blocks=profile.cache_blocks,
            event_delay_seconds=profile.event_delay_seconds,
            event_loss=profile.event_loss,
            rng=rng,
        )
        self.busy_seconds = 0.0
        self.prefilled_tokens = 0.0
        self.cached_tokens = 0
        self._weight_store = weight_store
        self._queue: list[tuple[int, int, EngineStream]] = []
        self._batch: list[EngineStream] = []
        self._reserved_tokens = 0
        self._submitted = 0
        self._load_records: deque[tuple[Seconds, EngineLoad]] = deque(
            maxlen=MAX_LOAD_RECORDS
        )
        self._loop_task: asyncio.Task[None] | None = None

    def submit(self, job: EngineJob) -> EngineStream:
        """
        Queue a job and return its stream.

        Raises
        ------
        UnknownAdapterError
            If its adapter isn't loaded.
        """
        if job.adapter is not None and job.adapter not in self.adapters:
            raise UnknownAdapterError(
                f"got adapter {job.adapter!r}, expected one of {sorted(self.adapters)}; "
                "load it first"
            )
        now = asyncio.get_running_loop().time()
        stream = EngineStream(job=job, ready_at=now + self.profile.first_token_seconds)
        if job.resume_from >= job.max_tokens:
            stream.end()
            return stream
        self._submitted += 1
        heapq.heappush(self._queue, (job.priority, self._submitted, stream))
        self._record_load(now)
        if self._loop_task is None or self._loop_task.done():
            self._loop_task = asyncio.ensure_future(self._run())
        return stream

    def load(self) -> EngineLoad:
        """Return the current load."""
        queued = sum(not stream.ended for _, _, stream in self._queue)
        return EngineLoad(sum(not s.ended for s in self._batch), queued)

    def reported_load(self) -> EngineLoad:
        """Return the load as it was ``load_lag_seconds`` ago."""
        if self.profile.load_lag_seconds <= 0:
            return self.load()
        cutoff = asyncio.get_running_loop().time() - self.profile.load_lag_seconds
        while len(self._load_records) > 1 and self._load_records[1][0] <= cutoff:
            self._load_records.popleft()
        if not self._load_records or self._load_records[0][0] > cutoff:
            return EngineLoad()
        return self._load_records[0][1]

    def publish_cache_events(self) -> CacheEvents | None:
        """Return the next batch of cache events, ``None`` if it is lost."""
        return self.cache.publish(asyncio.get_running_loop().time())

    @property
    def reserved_tokens(self) -> int:
        """KV cache tokens that running sequences reserve."""
        return self._reserved_tokens

    async def load_model(self, model: ModelName, size_bytes: int) -> None:
        """Fetch a model's weights from the weight store."""
        await self._fetch(size_bytes)
        self.models.add(model)

    async def load_adapter(self, adapter: AdapterName, size_bytes: int) -> None:
        """Fetch an adapter's weights from the weight store."""
        await self._fetch(size_bytes)
        self.adapters.add(adapter)

    def export_kv(self, prefix_hashes: Iterable[int]) -> tuple[int, ...]:
        """Return the cached blocks that another engine can import."""
        return self.cache.export(prefix_hashes)

    def import_kv(self, prefix_hashes: tuple[int, ...]) -> None:
        """Cache blocks that another engine exported."""
        self.cache.store(prefix_hashes, asyncio.get_running_loop().time())

    def crash(self) -> None:
        """Abort all sequences and clear the cache."""
        for stream in [*self._batch, *(item[2] for item in self._queue)]:
            stream.cancel()
        self._remove_ended()
        self._queue.clear()
        self.cache.clear(asyncio.get_running_loop().time())

    async def _fetch(self, size_bytes: int) -> None:
        if self._weight_store is not None:
            await self._weight_store.fetch(size_bytes)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            self._remove_ended()
            self._fill_batch(loop.time())
            if self._is_instant():
                self._advance(float("inf"), loop.time())
                self._remove_ended()
            self._record_load(loop.time())
            if not self._batch and not self._queue:
                return
            if not self._batch and self._is_instant():
                continue
            await asyncio.sleep(self.profile.step_seconds)
            now = loop.time()
            self.busy_seconds += now - last if self._batch else 0.0
            self._advance(now - last, now)
            last = now

    def _is_instant(self) -> bool:
        profile = self.profile
        return (
            profile.token_seconds <= 0
            and profile.token_seconds_per_sequence <= 0
            and profile.first_token_seconds <= 0
            and profile.prefill_tokens_per_second == float("inf")
        )

    def _remove_ended(self) -> None:
        """Remove ended sequences from the batch."""
        ended = [stream for stream in self._batch if stream.ended]
        if ended:
            self._batch = [stream for stream in self._batch if not stream.ended]
            self._reserved_tokens -= sum(s.reserved_tokens for s in ended)

    def _fill_batch(self, now: Seconds) -> None:
        while self._queue and len(self._batch) < self.profile.batch_limit:
            stream = self._queue[0][2]
            if stream.ended:
                heapq.heappop(self._queue)
                continue
            needed = self._reserved_tokens + stream.reserved_tokens
            if self._batch and needed > self.profile.kv_tokens:
                return
            heapq.heappop(self._queue)
            self._start(stream, now)

    def _start(self, stream: EngineStream, now: Seconds) -> None:
        job = stream.job
        context = job.prompt_tokens + job.resume_from
        hits = self.cache.hit_blocks(job.prefix_hashes) * BLOCK_TOKENS
        stream.cached_tokens = min(hits, max(0, context - 1))
        stream.prefill_left = float(context - stream.cached_tokens)
        stream.ready_at = max(stream.ready_at, now)
        self.cached_tokens += stream.cached_tokens
        self._reserved_tokens += stream.reserved_tokens
        self._batch.append(stream)

    def _advance(self, elapsed: Seconds, now: Seconds) -> None:
        prefill_used = self._prefill(elapsed, now)
        decoding = [s for s in self._batch if s.prefilled and not s.ended]
        if not decoding:
            return
        profile = self.profile
        token_interval = profile.token_seconds
        token_interval += profile.token_seconds_per_sequence * (len(decoding) - 1)
        decode_share = 1.0 - profile.prefill_share * prefill_used
        tokens = (
            elapsed * decode_share / token_interval
            if token_interval > 0
            else float("inf")
        )
        for stream in decoding:
            stream.add_tokens(tokens, now)
            if stream.tokens >= stream.job.max_tokens:
                stream.end()

    def _prefill(self, elapsed: Seconds, now: Seconds) -> float:
        """Spend the step's prefill budget; return the share that was used."""
        rate = self.profile.prefill_tokens_per_second
        budget = left = rate * elapsed if elapsed > 0 else 0.0
        waiting = [s for s in self._batch if not s.prefilled and not s.ended]
        for stream in sorted(waiting, key=lambda s: s.job.priority):
            if stream.ready_at > now + _TOLERANCE:
                continue
            spent = min(left, stream.prefill_left)
            left -= spent
            stream.prefill_left -= spent
            self.prefilled_tokens += spent
            if stream.prefill_left <= _TOLERANCE:
                stream.prefilled = True
                self.cache.store(stream.job.prefix_hashes, now)
        if budget <= 0 or budget == float("inf"):
            return 0.0
        return (budget - left) / budget

    def _record_load(self, now: Seconds) -> None:
        load = self.load()
        if not self._load_records or self._load_records[-1][1] != load:
            self._load_records.append((now, load))
