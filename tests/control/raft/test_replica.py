"""Tests of a replica whose disk or state machine fails."""

import asyncio
from random import Random

from poplarlug.control.replicated_log import LogEntry
from poplarlug.virtualtime import run_virtual
from tests.control.group import GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase


class FailureTests(QuietTestCase):
    async def check_ends(self, member: GroupMember) -> None:
        """Check that the replica ends with an error and the others go on."""
        group = member.group
        for _ in range(3):
            await group.propose(b"x")
        with self.assertRaises(ExceptionGroup):
            for _ in range(100):
                await asyncio.sleep(0.1)
                member.check_failures()
        member.crash_failed()
        await group.wait_for_leader()
        self.assertTrue(await group.propose(b"y"))

    def test_replica_with_a_failing_disk_ends(self) -> None:
        """Leader or follower, it stops instead of going on without its log."""

        async def main(leads: bool) -> None:
            group = SimulatedGroup(rng=Random(1))
            group.start()
            leader = await group.wait_for_leader()
            member = next(m for m in group.live() if (m is leader) == leads)

            async def append(name: str, data: bytes) -> None:
                raise OSError("no space left")

            member.disk.append = append  # type: ignore[method-assign]
            await self.check_ends(member)

        run_virtual(main(True))
        run_virtual(main(False))

    def test_replica_with_a_failing_state_machine_ends(self) -> None:
        """An entry that can't be applied is not skipped."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(1))
            group.start()
            leader = await group.wait_for_leader()
            member = next(m for m in group.live() if m is not leader)

            def apply(entry: LogEntry) -> int:
                raise ValueError("broken invariant")

            member.machine.apply = apply  # type: ignore[method-assign]
            await self.check_ends(member)
            self.assertEqual(member.machine.entries, [])

        run_virtual(main())
