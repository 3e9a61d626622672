"""Property tests of orders to upstreams under random leader changes."""

import asyncio
import os
from itertools import pairwise
from random import Random
from unittest import TestCase

from poplarlug.control.orders import OrderRequest
from poplarlug.virtualtime import run_virtual
from tests.control.lease_group import OrderSimulation, RecordingEndpoint, SentOrder

SCHEDULES = 150
ORDERS = 12
RUN_SECONDS = 150.0
FIRST_SEED = int(os.environ.get("POPLARLUG_SEED", "1"))


class OrderScheduleTests(TestCase):
    def test_orders_of_two_leaders_never_overlap(self) -> None:
        """Fencing numbers increase strictly at each upstream, and sends of a leader
        end before those of the next leader start."""
        sent_in_all = 0
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            with self.subTest(f"POPLARLUG_SEED={seed}"):
                sent = run_virtual(self.run_schedule(Random(seed)))
                sent_in_all += len(sent)
                self.check_numbers(sent)
                self.check_overlaps(sent)
        self.assertGreater(sent_in_all, SCHEDULES * ORDERS / 2)

    async def run_schedule(self, rng: Random) -> list[SentOrder]:
        endpoint = RecordingEndpoint(rng=rng)
        budget = rng.choice((0.3, 100.0))
        world = OrderSimulation(rng=rng, endpoint=endpoint, budget=budget)
        await world.start()
        orders = []
        for number in range(ORDERS):
            order = OrderRequest(
                f"o{number}", "z", rng.choice(("e1", "e2")), "load", f"m{number}"
            )
            orders.append(
                asyncio.ensure_future(world.order_until_known(order, RUN_SECONDS))
            )
            await asyncio.sleep(rng.uniform(0.0, 6.0))
        await asyncio.gather(*orders)
        return endpoint.sent

    def check_numbers(self, sent: list[SentOrder]) -> None:
        for upstream_id in ("e1", "e2"):
            in_order = sorted(s for s in sent if s.upstream_id == upstream_id)
            for earlier, later in pairwise(in_order):
                self.assertGreater(later.fencing, earlier.fencing)

    def check_overlaps(self, sent: list[SentOrder]) -> None:
        for first in sent:
            for second in sent:
                if first.fencing.term < second.fencing.term:
                    self.assertLessEqual(first.end, second.start)
