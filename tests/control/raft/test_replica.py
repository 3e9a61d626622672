"""Tests of a replica with a failing disk or state machine."""

import asyncio
from random import Random
from unittest.mock import patch

from poplarlug.control.replicated_log import LogEntry
from poplarlug.virtualtime import run_virtual
from tests.control.group import GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase


class FailureTests(QuietTestCase):
    async def check_ends(self, member: GroupMember) -> None:
        """Check that the replica exits with an error and the others continue."""
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

    def test_replica_with_a_failing_disk_is_not_counted_in_a_quorum(self) -> None:
        """As leader or follower, it neither leads nor confirms entries."""

        async def main(leads: bool) -> None:
            group = SimulatedGroup(rng=Random(1))
            group.start()
            leader = await group.wait_for_leader()
            member = next(m for m in group.live() if (m is leader) == leads)
            other = next(m for m in group.live() if m is not member)

            async def refuse(name: str, data: bytes, *, offset: int = 0) -> None:
                raise OSError("no space left")

            with (
                patch.object(member.disk, "append", refuse),
                patch.object(member.disk, "replace", refuse),
            ):
                await group.propose(b"x")
                await asyncio.sleep(5.0)
                self.assertIsNot(await group.wait_for_leader(), member)
                self.assertTrue(await group.propose(b"y"))
                other.crash()
                for _ in range(50):
                    self.assertFalse(await group.propose(b"z"))
                    await asyncio.sleep(0.1)
                self.assertFalse(
                    any(b"y" in data for data in member.disk.files_by_name.values())
                )
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"z"))

        run_virtual(main(True))
        run_virtual(main(False))

    def test_replica_with_a_failing_state_machine_ends(self) -> None:
        """A replica stops at an entry that can't be applied instead of skipping it."""

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
