"""Tests of a leader whose VM was suspended."""

import asyncio
from random import Random

from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase


class SuspensionTests(QuietTestCase):
    def test_suspended_leader_has_no_lease_when_it_wakes(self) -> None:
        """It does not serve reads before others confirm that it still leads."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(4))
            group.start()
            leader = await group.wait_for_leader()
            assert leader.replica is not None
            self.assertTrue(leader.replica.is_leader)
            # The monotonic clock stops during a suspension; the others' clocks run.
            leader.suspended_seconds += 30.0
            self.assertFalse(leader.replica.is_leader)
            await asyncio.sleep(5.0)
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"after"))

        run_virtual(main())
