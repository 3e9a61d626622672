"""Tests of adding, removing, recovering and catching up replicas."""

import asyncio
from random import Random

from poplarlug.control.raft.messages import ReplicaChangeOutcome
from poplarlug.control.raft.replica import Replica
from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase

NAMES = ("a", "b", "c", "d", "e")


class MembershipTests(QuietTestCase):
    def group(self, names: tuple[str, ...] = NAMES) -> SimulatedGroup:
        return SimulatedGroup(
            rng=Random(3), names=names, bootstrap_names=("a", "b", "c")
        )

    async def change(
        self, group: SimulatedGroup, action: str, name: str
    ) -> ReplicaChangeOutcome:
        replica = (await group.wait_for_leader()).replica
        assert isinstance(replica, Replica)
        return await replica.membership.change(action, name)

    def voters(self, group: SimulatedGroup) -> set[str]:
        leader = group.leader()
        if leader is None or leader.replica is None:
            return set()
        return {member.name for member in leader.replica.state.members.voters}

    def test_group_grows_to_five_and_outlives_two(self) -> None:
        """Two added replicas become voters; then any two replicas may fail."""

        async def main() -> None:
            group = self.group()
            group.start()
            await group.wait_for_leader()
            for number in range(30):
                self.assertTrue(await group.propose(b"%d" % number))
            for name in ("d", "e"):
                outcome = await self.change(group, "add", name)
                self.assertTrue(outcome.accepted, outcome.message)
                await group.wait_for(
                    lambda name=name: name in self.voters(group), "no voter"
                )
            await asyncio.sleep(1.0)
            leader = await group.wait_for_leader()
            others = [m for m in group.live() if m.name in "abc" and m is not leader]
            leader.crash()
            others[0].crash()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"with three of five"))
            for member in group.live():
                self.assertGreaterEqual(len(member.machine.entries), 30)

        run_virtual(main())

    def test_removed_replica_votes_no_more(self) -> None:
        """The other two continue, and the removed replica does not disrupt them."""

        async def main() -> None:
            group = self.group(("a", "b", "c"))
            group.start()
            leader = await group.wait_for_leader()
            removed = next(name for name in "abc" if name != leader.name)
            outcome = await self.change(group, "remove", removed)
            self.assertTrue(outcome.accepted, outcome.message)
            self.assertEqual(self.voters(group), set("abc") - {removed})
            for _ in range(100):
                await asyncio.sleep(0.1)
                self.assertIs(group.leader(), leader)

        run_virtual(main())

    def test_removal_that_would_lose_the_quorum_is_refused(self) -> None:
        """With one follower down, the other follower can't be removed."""

        async def main() -> None:
            group = self.group(("a", "b", "c"))
            group.start()
            leader = await group.wait_for_leader()
            down, up = (name for name in "abc" if name != leader.name)
            group.members_by_name[down].crash()
            await asyncio.sleep(2.0)
            outcome = await self.change(group, "remove", up)
            self.assertFalse(outcome.accepted)
            outcome = await self.change(group, "remove", down)
            self.assertTrue(outcome.accepted, outcome.message)

        run_virtual(main())

    def test_replica_that_missed_a_snapshot_catches_up(self) -> None:
        """Entries that were compacted away are received as a snapshot."""

        async def main() -> None:
            group = self.group(("a", "b", "c"))
            group.start()
            leader = await group.wait_for_leader()
            away = next(m for m in group.live() if m is not leader)
            away.crash()
            for number in range(100):
                self.assertTrue(await group.propose(b"%d" % number))
            assert leader.replica is not None
            self.assertGreater(leader.replica.state.log.base_index, 50)
            away.start()
            await group.wait_for(
                lambda: away.machine.entries == leader.machine.entries, "lags"
            )

        run_virtual(main())

    def test_last_replica_of_a_lost_majority_founds_the_group_anew(self) -> None:
        """It keeps its entries, and a restart with the same setting has no effect."""

        async def main() -> None:
            group = self.group(("a", "b", "c"))
            group.start()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"kept"))
            await asyncio.sleep(1.0)
            survivor = group.members_by_name["c"]
            assert survivor.replica is not None
            incarnation = survivor.replica.state.hard_state.incarnation
            survivor.crash()
            group.wipe("a")
            group.wipe("b")
            survivor.start(recover_incarnation=incarnation)
            await group.wait_for_leader()
            for name in ("a", "b"):
                group.members_by_name[name].start()
                await asyncio.sleep(0.1)
                outcome = await self.change(group, "add", name)
                self.assertTrue(outcome.accepted, outcome.message)
                await group.wait_for(
                    lambda name=name: name in self.voters(group), "no voter"
                )
            await group.wait_for(group.all_replicas_vote, "not all replicas are voters")
            survivor.crash()
            survivor.start(recover_incarnation=incarnation)
            await group.wait_for(group.all_replicas_vote, "not all replicas are voters")
            for member in group.live():
                self.assertEqual([c for _, _, c in member.machine.entries], [b"kept"])

        run_virtual(main())
