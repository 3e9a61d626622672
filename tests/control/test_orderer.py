"""Tests of the execution of orders: resends, rate limit and guard."""

import asyncio
from random import Random
from unittest import TestCase

from poplarlug.control.order_guard import (
    GUARD_SECONDS,
    MAX_LEASE_SECONDS,
    TokenBucket,
)
from poplarlug.control.orders import OrderOutcome, OrderRequest, OrderStatus
from poplarlug.control.raft.timing import LEASE_SECONDS, MAX_CLOCK_DRIFT
from poplarlug.virtualtime import run_virtual
from tests.control.lease_group import OrderSimulation, RecordingEndpoint

LONG_LEASE_END = 1000.0


def load(order_id: str, upstream_id: str = "e1") -> OrderRequest:
    return OrderRequest(order_id, "z", upstream_id, "load", "corn")


class OrdererTests(TestCase):
    def setUp(self) -> None:
        self.endpoint = RecordingEndpoint(rng=Random(1), loss=0.0)

    async def simulation(self, *, budget: float = 100.0) -> OrderSimulation:
        simulation = OrderSimulation(
            rng=Random(1), endpoint=self.endpoint, budget=budget
        )
        simulation.group.holder, simulation.group.term = "c1", 1
        simulation.group.lease_end = LONG_LEASE_END
        await simulation.start()
        return simulation

    async def execute(
        self, simulation: OrderSimulation, order: OrderRequest
    ) -> OrderOutcome:
        """Resend an order until its outcome is known."""
        while True:
            outcome = await simulation.executors_by_name["c1"].execute(order)
            if outcome.status is not OrderStatus.UNKNOWN:
                return outcome

    def test_resend_of_a_finished_order_sends_nothing(self) -> None:
        """The first outcome is returned, with its fencing number."""

        async def main() -> None:
            simulation = await self.simulation()
            first = await self.execute(simulation, load("a"))
            self.assertIs(first.status, OrderStatus.DONE)
            sends = len(self.endpoint.sent)
            self.assertEqual(await self.execute(simulation, load("a")), first)
            self.assertEqual(len(self.endpoint.sent), sends)
            self.assertEqual(self.endpoint.sent[-1].fencing, first.fencing)

        run_virtual(main())

    def test_first_order_of_a_term_waits(self) -> None:
        """A new leader's first order waits until earlier ones are finished."""

        async def main() -> None:
            simulation = await self.simulation()
            await self.execute(simulation, load("a"))
            self.assertGreaterEqual(self.endpoint.sent[0].start, GUARD_SECONDS)
            simulation.group.term = 2
            changed = asyncio.get_running_loop().time()
            await self.execute(simulation, load("b"))
            last = self.endpoint.sent[-1]
            self.assertGreaterEqual(last.start, changed + GUARD_SECONDS)
            self.assertEqual(last.fencing.term, 2)

        run_virtual(main())

    def test_former_leader_sends_nothing(self) -> None:
        """Without the lease an order is not sent and its outcome is unknown."""

        async def main() -> None:
            simulation = await self.simulation()
            await self.execute(simulation, load("a"))
            sends = len(self.endpoint.sent)
            simulation.group.holder = "c2"
            outcome = await simulation.executors_by_name["c1"].execute(load("b"))
            self.assertIs(outcome.status, OrderStatus.UNKNOWN)
            self.assertEqual(len(self.endpoint.sent), sends)

        run_virtual(main())

    def test_unknown_upstream_is_not_ordered(self) -> None:
        """No order is sent to an upstream that is unknown in its zone."""

        async def main() -> None:
            simulation = await self.simulation()
            outcome = await simulation.executors_by_name["c1"].execute(load("a", "e9"))
            self.assertIs(outcome.status, OrderStatus.UNKNOWN)
            self.assertIn("'e9'", outcome.message)
            self.assertEqual(self.endpoint.sent, [])

        run_virtual(main())

    def test_budget_spaces_loads(self) -> None:
        """Loads are limited to the rate of the weight store; unloads are not."""

        async def main() -> None:
            simulation = await self.simulation(budget=0.5)
            loads = [load(f"l{n}", ("e1", "e2")[n % 2]) for n in range(6)]
            await asyncio.gather(*(self.execute(simulation, order) for order in loads))
            starts = sorted(sent.start for sent in self.endpoint.sent)
            self.assertGreaterEqual(starts[-1] - starts[0], 5 / 0.5 - 0.6)
            before = asyncio.get_running_loop().time()
            for number in range(3):
                order = OrderRequest(f"u{number}", "z", "e1", "unload", "corn")
                await self.execute(simulation, order)
            self.assertLess(asyncio.get_running_loop().time() - before, 12.0)

        run_virtual(main())

    def test_guard_covers_the_lease_of_the_log(self) -> None:
        """The guard assumes a lease at least as long as the log's longest."""
        longest = LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT)
        self.assertGreaterEqual(MAX_LEASE_SECONDS, longest)

    def test_bucket_gives_a_burst_and_then_its_rate(self) -> None:
        """No more tokens are given than the burst plus the rate allow."""

        async def main() -> list[float]:
            bucket = TokenBucket(uses_per_second=2.0, burst=3.0)
            bucket.empty()
            await asyncio.sleep(100)
            times = []
            for _ in range(7):
                self.assertTrue(await bucket.take(5.0))
                times.append(asyncio.get_running_loop().time() - 100)
            self.assertFalse(await bucket.take(0.1))
            return times

        times = run_virtual(main())
        for got, expected in zip(times, [0, 0, 0, 0.5, 1, 1.5, 2], strict=True):
            self.assertAlmostEqual(got, expected)
