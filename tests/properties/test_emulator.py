"""Property tests of the engine emulator under random jobs."""

import asyncio
from random import Random
from unittest import TestCase

from hypothesis import given, settings, strategies as st

from poplarlug.fakes.emulator import EngineEmulator, EngineJob, EngineProfile
from poplarlug.virtualtime import run_virtual

BATCH_LIMIT = 3
KV_TOKENS = 400
CACHE_BLOCKS = 4

jobs = st.builds(
    EngineJob,
    prompt_tokens=st.integers(0, 200),
    max_tokens=st.integers(1, 30),
    prefix_hashes=st.lists(st.integers(0, 9), max_size=6, unique=True).map(tuple),
    priority=st.integers(0, 1),
    resume_from=st.integers(0, 10),
    adapter=st.none(),
)
arrivals = st.lists(
    st.tuples(jobs, st.floats(0, 0.5), st.none() | st.floats(0, 2.0)), max_size=12
)


class EngineEmulatorInvariants(TestCase):
    @given(arrivals=arrivals)
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_limits_hold_and_all_jobs_end(
        self, arrivals: list[tuple[EngineJob, float, float | None]]
    ) -> None:
        """Batch, KV and cache limits hold, token counts never decrease, all jobs end."""
        run_virtual(self.run_jobs(arrivals))

    async def run_jobs(
        self, arrivals: list[tuple[EngineJob, float, float | None]]
    ) -> None:
        engine = EngineEmulator(
            profile=EngineProfile(
                batch_limit=BATCH_LIMIT,
                kv_tokens=KV_TOKENS,
                cache_blocks=CACHE_BLOCKS,
                prefill_tokens_per_second=500.0,
                token_seconds=0.03,
                token_seconds_per_sequence=0.01,
            ),
            rng=Random(1),
        )
        loop = asyncio.get_running_loop()
        streams = []
        for job, wait, cancel_after in arrivals:
            await asyncio.sleep(wait)
            stream = engine.submit(job)
            streams.append((stream, cancel_after))
            if cancel_after is not None:
                loop.call_later(cancel_after, stream.cancel)
        seen = [0] * len(streams)
        async with asyncio.timeout(600):
            while not all(stream.ended for stream, _ in streams):
                await asyncio.sleep(0.01)
                load = engine.load()
                self.assertLessEqual(load.running, BATCH_LIMIT)
                self.assertLessEqual(len(engine.cache), CACHE_BLOCKS)
                if load.running > 1:
                    self.assertLessEqual(engine.reserved_tokens, KV_TOKENS)
                now_seen = [stream.tokens for stream, _ in streams]
                self.assertTrue(
                    all(a <= b for a, b in zip(seen, now_seen, strict=True))
                )
                seen = now_seen
        for stream, cancel_after in streams:
            if cancel_after is None:
                self.assertFalse(stream.cancelled)
                self.assertEqual(stream.tokens, stream.job.max_tokens)
        await asyncio.sleep(1.0)
        self.assertEqual(engine.load(), (0, 0))
        self.assertEqual(engine.reserved_tokens, 0)
