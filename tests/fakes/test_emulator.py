"""Tests of the emulated engine in virtual time."""

import asyncio
from random import Random
from unittest import TestCase

from poplarlug.fakes.emulator import (
    EngineEmulator,
    EngineJob,
    EngineLoad,
    EngineProfile,
    EngineStream,
    UnknownAdapterError,
)
from poplarlug.fakes.weight_store import WeightStore
from poplarlug.routing.prefix_hashes import BLOCK_TOKENS
from poplarlug.virtualtime import run_virtual

PROFILE = EngineProfile(
    batch_limit=2,
    cache_blocks=8,
    prefill_tokens_per_second=1000.0,
    token_seconds=0.1,
    token_seconds_per_sequence=0.1,
)


def engine(**fields: object) -> EngineEmulator:
    return EngineEmulator(profile=PROFILE._replace(**fields), rng=Random(1))


class EngineEmulatorTests(TestCase):
    def test_prefill_and_decode_take_their_time(self) -> None:
        """A single job takes its prefill plus an interval a token, within two steps."""

        async def main() -> float:
            await engine().submit(EngineJob(1000, 10)).finished()
            return asyncio.get_running_loop().time()

        self.assertAlmostEqual(run_virtual(main()), 2.0, delta=0.05)

    def test_batch_slows_its_sequences(self) -> None:
        """Two sequences in a batch have the longer interval between tokens."""

        async def main() -> float:
            one = engine()
            streams = [one.submit(EngineJob(0, 10)) for _ in range(2)]
            await asyncio.gather(*(stream.finished() for stream in streams))
            return asyncio.get_running_loop().time()

        self.assertAlmostEqual(run_virtual(main()), 2.0, delta=0.05)

    def test_urgent_job_overtakes_the_queue(self) -> None:
        """A job of priority 0 starts before those queued earlier at 1."""

        async def main() -> list[str]:
            one, ends = engine(batch_limit=1), []

            async def run(name: str, stream: EngineStream) -> None:
                await stream.finished()
                ends.append(name)

            jobs = [("first", 1), ("patient", 1), ("urgent", 0)]
            streams = [(n, one.submit(EngineJob(0, 5, (), p))) for n, p in jobs[:1]]
            await asyncio.sleep(0.05)
            streams += [(n, one.submit(EngineJob(0, 5, (), p))) for n, p in jobs[1:]]
            await asyncio.gather(*(run(n, s) for n, s in streams))
            return ends

        self.assertEqual(run_virtual(main()), ["first", "urgent", "patient"])

    def test_cancelled_job_resumes_elsewhere(self) -> None:
        """A resumed job continues after its tokens and prefills them as prompt."""

        async def main() -> tuple[int, bool, int, float]:
            one, other = engine(), engine()
            first = one.submit(EngineJob(100, 20))
            seen = await first.next_tokens(4)
            first.cancel()
            resumed = other.submit(EngineJob(100, 20, resume_from=seen))
            await resumed.finished()
            return seen, await first.finished(), resumed.tokens, other.prefilled_tokens

        self.assertEqual(run_virtual(main()), (5, False, 20, 105.0))

    def test_cached_prefix_is_not_prefilled(self) -> None:
        """A second job prefills only what its prefix doesn't share."""

        async def main() -> tuple[int, int]:
            one = engine()
            hashes = (11, 12, 13)
            tokens = 3 * BLOCK_TOKENS
            await one.submit(EngineJob(tokens, 1, hashes)).finished()
            second = one.submit(EngineJob(tokens + 10, 1, (11, 12, 99)))
            await second.finished()
            return second.cached_tokens, len(one.cache)

        self.assertEqual(run_virtual(main()), (2 * BLOCK_TOKENS, 4))

    def test_exported_kv_is_a_hit_after_import(self) -> None:
        """Blocks that another engine exported count as cached."""

        async def main() -> int:
            one, other = engine(), engine()
            await one.submit(EngineJob(BLOCK_TOKENS, 1, (7,))).finished()
            other.import_kv(one.export_kv((7, 8)))
            stream = other.submit(EngineJob(BLOCK_TOKENS + 5, 1, (7,)))
            await stream.finished()
            return stream.cached_tokens

        self.assertEqual(run_virtual(main()), BLOCK_TOKENS)

    def test_load_report_lags(self) -> None:
        """A report shows the load of one lag ago."""

        async def main() -> list[EngineLoad]:
            one = engine(load_lag_seconds=1.0)
            one.submit(EngineJob(0, 100))
            reports = [one.reported_load()]
            await asyncio.sleep(1.5)
            return [*reports, one.reported_load()]

        self.assertEqual(run_virtual(main()), [EngineLoad(0, 0), EngineLoad(1, 0)])

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        """Changes are published after their delay; a lost batch uses up its number."""

        async def main() -> tuple[tuple[int, ...], tuple[int, ...], bool, int]:
            one = engine(event_delay_seconds=1.0)
            await one.submit(EngineJob(BLOCK_TOKENS, 1, (7,))).finished()
            early = one.publish_cache_events()
            await asyncio.sleep(1.0)
            late = one.publish_cache_events()
            lossy = engine(event_loss=1.0)
            lost = lossy.publish_cache_events() is None
            assert early is not None and late is not None
            return early.stored, late.stored, lost, late.sequence

        self.assertEqual(run_virtual(main()), ((), (7,), True, 2))

    def test_adapter_needs_its_load_order(self) -> None:
        """An adapter is usable once loaded; concurrent loads share the store's rate."""

        async def main() -> float:
            store = WeightStore(bytes_per_second=100.0)
            engines = [
                EngineEmulator(profile=PROFILE, rng=Random(1), weight_store=store)
                for _ in range(2)
            ]
            with self.assertRaises(UnknownAdapterError):
                engines[0].submit(EngineJob(0, 1, adapter="bins"))
            await asyncio.gather(*(e.load_adapter("bins", 1000) for e in engines))
            engines[0].submit(EngineJob(0, 1, adapter="bins"))
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(main()), 20.0)
