"""Tests of orders without a version that arrive late."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from returns.result import Failure, Result, Success

from poplarlug.catalog import ChangeOutcome
from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.replicated_log import LogEntry, ProposeError
from poplarlug.control.routing_service import RoutingService
from poplarlug.control.standstill import CATCH_UP_SECONDS, StandstillWatch
from poplarlug.control.state import ControlState
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.control.test_proposing import FixedLog

ZONE = "quito-a"
ROUND_TRIP_SECONDS = 2 * 0.056
"""Between a sender and a replica of another region."""


class Group:
    """
    The leader's state, and replicas that apply its entries only when told to.

    Parameters
    ----------
    delay : float
        Time from proposing a command until the leader appends it.
    """

    def __init__(self, *, delay: float = 0.0) -> None:
        self.delay = delay
        self.suspended = 0.0
        self.entries: list[LogEntry] = []
        self.leader_state = ControlState()
        self._watches: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended

    async def propose(self, command: bytes) -> Result[ChangeOutcome, ProposeError]:
        await asyncio.sleep(self.delay)
        entry = LogEntry(1, len(self.entries) + 1, command)
        self.entries.append(entry)
        outcome = self.leader_state.apply(entry)
        assert isinstance(outcome, ChangeOutcome)
        return Success(outcome)

    def add_replica(self) -> RoutingService:
        """Return the service of a replica that has applied all entries so far."""
        state = ControlState()
        for entry in self.entries:
            state.apply(entry)
        standstill = StandstillWatch(uptime=self.now)
        self._watches.append(asyncio.ensure_future(standstill.run()))
        network = MemoryNetwork(rng=Random(1))
        transport = MemoryTransport(name="replica", network=network)
        return RoutingService(
            state=state.routing,
            propose=self.propose,
            leader_calls=LeaderCalls(log=FixedLog(leads=False), transport=transport),
            standstill=standstill,
        )

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        return self.leader_state.routing.image.evacuated_zones


async def order(
    replica: RoutingService,
    evacuated: bool,
    is_awaited: Callable[[], bool] = lambda: True,
) -> Result[int, str]:
    return await replica.evacuate(ZONE, evacuated, is_awaited=is_awaited)


class LateOrderTests(QuietTestCase):
    def run_orders(self, main: Callable[[], Any]) -> None:
        run_virtual(main())

    # Guards against orders that undo newer ones.
    def test_order_that_is_handed_on_late_undoes_no_newer_one(self) -> None:
        """As by a former leader that hands on what it began before it was cut off."""

        async def main() -> None:
            group = Group()
            self.assertIsInstance(await order(group.add_replica(), True), Success)
            late = group.add_replica()
            group.delay = 5.0
            withdrawal = asyncio.ensure_future(order(late, False))
            await asyncio.sleep(1.0)
            group.delay = 0.0
            for evacuated in (False, True):
                newer = await order(group.add_replica(), evacuated)
                self.assertIsInstance(newer, Success)
            self.assertIsInstance(await withdrawal, Failure)
            self.assertEqual(group.evacuated_zones, (ZONE,))

        self.run_orders(main)

    def test_resend_without_effect_overtakes_an_order_before_it(self) -> None:
        """The zone is evacuated again while its withdrawal is still on the way."""

        async def main() -> None:
            group = Group()
            self.assertIsInstance(await order(group.add_replica(), True), Success)
            late, other = group.add_replica(), group.add_replica()
            group.delay = 5.0
            withdrawal = asyncio.ensure_future(order(late, False))
            await asyncio.sleep(1.0)
            group.delay = 0.0
            self.assertIsInstance(await order(other, True), Success)
            self.assertIsInstance(await withdrawal, Failure)
            self.assertEqual(group.evacuated_zones, (ZONE,))

        self.run_orders(main)

    def test_order_read_after_a_standstill_is_not_proposed(self) -> None:
        """Its replica may have heard of the newer one before it reads this one."""

        async def main() -> None:
            group = Group()
            replica = group.add_replica()
            await asyncio.sleep(1.0)
            group.suspended = 7.0
            self.assertIsInstance(await order(replica, False), Failure)
            self.assertEqual(group.entries, [])
            await asyncio.sleep(CATCH_UP_SECONDS)
            self.assertIsInstance(await order(replica, False), Success)

        self.run_orders(main)

    # Guards against orders of senders in another region whose close came a round trip
    # after the bytes that a link had held up.
    def test_order_whose_sender_left_is_not_proposed(self) -> None:
        """The close follows bytes that were held up on the way."""

        async def main() -> None:
            loop = asyncio.get_running_loop()
            for seconds in (0.05, ROUND_TRIP_SECONDS):
                group = Group()
                left_at = loop.time() + seconds
                replica = group.add_replica()
                sent = await order(
                    replica, True, lambda left_at=left_at: loop.time() < left_at
                )
                self.assertIsInstance(sent, Failure, seconds)
                self.assertEqual(group.entries, [])

        self.run_orders(main)

    def test_orders_for_other_zones_do_not_conflict(self) -> None:
        """Up to eight orders may be in progress at once."""

        async def main() -> None:
            group = Group(delay=0.5)
            replica = group.add_replica()
            sent = [
                replica.evacuate(zone, True, is_awaited=lambda: True)
                for zone in ("a", "b", "c")
            ]
            for changed in await asyncio.gather(*sent):
                self.assertIsInstance(changed, Success)
            self.assertEqual(group.evacuated_zones, ("a", "b", "c"))

        self.run_orders(main)

    def test_lagging_replica_that_caught_up_takes_orders(self) -> None:
        """A conflict is no refusal for good: the sender sends the order again."""

        async def main() -> None:
            group = Group()
            lagging = group.add_replica()
            self.assertIsInstance(await order(group.add_replica(), True), Success)
            self.assertIsInstance(await order(lagging, False), Failure)
            self.assertIsInstance(await order(group.add_replica(), False), Success)
            self.assertEqual(group.evacuated_zones, ())

        self.run_orders(main)
