"""Tests of admission by rank in virtual time."""

import asyncio
from functools import wraps
from typing import Any
from unittest import TestCase

from returns.result import Failure, Success

from poplarlug.admission import AdmissionRequest, Permit, RankAdmission, Refusal
from poplarlug.admission.base import Slots
from poplarlug.catalog import Rank
from poplarlug.virtualtime import run_virtual

URGENT = Rank("urgent", priority=0, target_seconds=10.0)
PATIENT = Rank("patient", priority=1, target_seconds=100.0, floor_share=0.25)


class Bench:
    """An upstream with ``total`` slots and an admission in front of it."""

    def __init__(self, *, total: int) -> None:
        self.total = total
        self.in_flight = 0
        self.starts: list[tuple[str, str]] = []
        self.most_by_rank = {"urgent": 0, "patient": 0}
        self.refusals: list[tuple[str, Refusal, float]] = []
        self.admission = RankAdmission(clock=asyncio.get_running_loop().time)

    def slots(self) -> Slots:
        free = self.total - self.in_flight
        return Slots(free, self.total, free)

    def request(self, rank: Rank, account: str) -> AdmissionRequest:
        return AdmissionRequest(
            pool="corn-7b",
            account=account,
            rank=rank,
            slots=self.slots,
        )

    async def run(self, rank: Rank, account: str, seconds: float) -> None:
        began = asyncio.get_running_loop().time()
        admitted = await self.admission.admit(self.request(rank, account))
        if isinstance(admitted, Failure):
            waited = asyncio.get_running_loop().time() - began
            self.refusals.append((rank.name, admitted.failure(), waited))
            return
        permit: Permit = admitted.unwrap()
        self.in_flight += 1
        permit.mark_placed()
        self.starts.append((rank.name, account))
        await asyncio.sleep(seconds)
        self.in_flight -= 1
        permit.release()

    def start(self, rank: Rank, account: str, seconds: float = 1.0) -> None:
        asyncio.ensure_future(self.run(rank, account, seconds))  # noqa: RUF006


def virtual(test: Any) -> Any:
    @wraps(test)
    def run(self: TestCase) -> None:
        run_virtual(test(self))

    return run


class RankAdmissionTests(TestCase):
    @virtual
    async def test_urgent_starts_before_queued_patient(self) -> None:
        """When a full pool frees a slot, a queued urgent request gets it."""
        bench = Bench(total=1)
        bench.start(PATIENT, "a")
        for _ in range(3):
            await asyncio.sleep(0.01)
            bench.start(PATIENT, "a")
        bench.start(URGENT, "b")
        await asyncio.sleep(1.5)
        self.assertEqual(bench.starts[:2], [("patient", "a"), ("urgent", "b")])

    @virtual
    async def test_patient_keeps_its_floor_in_an_urgent_flood(self) -> None:
        """Patient work gets its quarter of the slots under an urgent overload."""
        bench = Bench(total=4)
        for _ in range(20):
            for _ in range(8):
                bench.start(URGENT, "a")
            bench.start(PATIENT, "b")
            await asyncio.sleep(1.0)
        patient = sum(rank == "patient" for rank, _ in bench.starts)
        self.assertGreaterEqual(patient, 18)
        self.assertGreaterEqual(len(bench.starts) - patient, 55)

    @virtual
    async def test_patient_leaves_headroom_for_recent_urgent_use(self) -> None:
        """Patient work leaves free the slots that urgent work recently used."""
        bench = Bench(total=8)
        for _ in range(60):
            bench.start(URGENT, "a", 0.9)
            await asyncio.sleep(1.0)
        for _ in range(20):
            bench.start(PATIENT, "b", 50.0)
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(bench.total - bench.in_flight, 2)
        self.assertGreaterEqual(bench.in_flight, 4)

    @virtual
    async def test_headroom_is_known_soon_after_a_start(self) -> None:
        """The mean use is corrected for the short time since the start."""
        # Uncorrected, five seconds of use would count as a sixth of their mean: the
        # average covers 30 s and starts from zero.
        bench = Bench(total=16)
        for _ in range(5):
            for _ in range(4):
                bench.start(URGENT, "a", 0.99)
            await asyncio.sleep(1.0)
        for _ in range(20):
            bench.start(PATIENT, "b", 50.0)
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(bench.total - bench.in_flight, 8)

    @virtual
    async def test_idle_pool_takes_patient_work_whatever_the_headroom(self) -> None:
        """Patient work starts on an idle upstream right after urgent use."""
        bench = Bench(total=2)
        for _ in range(10):
            bench.start(URGENT, "a", 0.99)
            bench.start(URGENT, "a", 0.99)
            await asyncio.sleep(1.0)
        bench.start(PATIENT._replace(floor_share=0.0), "b")
        await asyncio.sleep(0.01)
        self.assertEqual(bench.starts[-1], ("patient", "b"))

    @virtual
    async def test_patient_share_shrinks_while_urgent_work_is_slowed(self) -> None:
        """Patient work gets fewer slots while urgent requests take twice as long."""
        started = []
        for slow_seconds in (1.0, 2.0):
            bench = Bench(total=20)
            for seconds in [1.0] * 60 + [slow_seconds] * 60:
                bench.start(URGENT, "a", seconds)
                await asyncio.sleep(2.0)
            for _ in range(30):
                bench.start(PATIENT, "b", 50.0)
            await asyncio.sleep(0.01)
            started.append(bench.starts.count(("patient", "b")))
        self.assertGreater(started[0], 12)
        self.assertLess(started[1], 8)

    @virtual
    async def test_one_accounts_flood_does_not_starve_another(self) -> None:
        """Accounts with queued work are served in turn, whatever their queue length."""
        bench = Bench(total=1)
        for _ in range(40):
            bench.start(PATIENT, "flooding")
        await asyncio.sleep(0.01)
        for _ in range(3):
            bench.start(PATIENT, "small")
        await asyncio.sleep(7.0)
        self.assertEqual([a for _, a in bench.starts[1:7]].count("small"), 3)

    @virtual
    async def test_refusal_is_at_once_and_says_when_to_return(self) -> None:
        """A request that can't meet its target is refused immediately, and admitted
        when retried after Retry-After."""
        bench = Bench(total=1)
        for _ in range(100):
            bench.start(PATIENT, "a")
        await asyncio.sleep(0.01)
        self.assertGreater(len(bench.refusals), 10)
        self.assertEqual({waited for _, _, waited in bench.refusals}, {0.0})
        after = [refusal.retry_after_seconds for _, refusal, _ in bench.refusals]
        self.assertEqual(after, sorted(after))
        await asyncio.sleep(after[0])
        admitted = asyncio.ensure_future(
            bench.admission.admit(bench.request(PATIENT, "a"))
        )
        await asyncio.sleep(99.0)
        self.assertIsInstance(admitted.result(), Success)

    @virtual
    async def test_cancelled_wait_gives_its_place_back(self) -> None:
        """A request cancelled in the queue leaves no slot in use."""
        bench = Bench(total=1)
        bench.start(PATIENT, "a")
        await asyncio.sleep(0.01)
        waiting = asyncio.ensure_future(bench.run(PATIENT, "a", 1.0))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.sleep(0.01)
        alone = bench.admission.expected_wait(bench.request(PATIENT, "a"))
        self.assertEqual(alone, 1.0)
        await asyncio.sleep(2.0)
        bench.start(PATIENT, "c")
        await asyncio.sleep(0.01)
        self.assertEqual(bench.starts, [("patient", "a"), ("patient", "c")])

    @virtual
    async def test_report_that_frees_slots_wakes_the_queue(self) -> None:
        """Queued work starts when capacity appears without a release."""
        bench = Bench(total=0)
        running = asyncio.ensure_future(bench.admission.run())
        bench.start(URGENT, "a")
        await asyncio.sleep(0.01)
        self.assertEqual(bench.starts, [])
        bench.total = 1
        await asyncio.sleep(0.2)
        running.cancel()
        self.assertEqual(bench.starts, [("urgent", "a")])
