"""Shared parts of the tests of replicas that are replaced."""

import asyncio
from random import Random

from tests.control.group import GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase

CATCH_UP_SECONDS = 4.0
ONE_WAY_SECONDS = 0.055


class ReplacementCase(QuietTestCase):
    def group(self, names: str = "abcd", seed: int = 7) -> SimulatedGroup:
        return SimulatedGroup(
            rng=Random(seed),
            names=tuple(names),
            bootstrap_names=tuple("abc"),
            one_way=ONE_WAY_SECONDS,
            auto_join=True,
            catch_up_seconds=CATCH_UP_SECONDS,
        )

    def voters(self, group: SimulatedGroup) -> set[str]:
        leader = group.leader()
        if leader is None or leader.replica is None:
            return set()
        return {member.name for member in leader.replica.state.members.voters}

    async def start_three(self, group: SimulatedGroup) -> GroupMember:
        """Start the first three replicas; return their leader."""
        for name in "abc":
            group.members_by_name[name].start()
        leader = await group.wait_for_leader()
        self.assertTrue(await group.propose(b"before"))
        await asyncio.sleep(2.0)
        return leader

    async def lose_disk(self, group: SimulatedGroup, name: str) -> None:
        """Lose a disk; check that the group still has a leader that accepts changes."""
        group.wipe(name)
        await asyncio.sleep(1.0)
        group.members_by_name[name].start()
        await group.wait_for_leader(12.0)
        await group.wait_for(
            lambda: len(self.voters(group)) == 3, "too few voters", 12.0
        )
        self.assertTrue(await group.propose(b"after"))

    def by_rank(self, group: SimulatedGroup, leader: GroupMember) -> list[str]:
        """Return the names of the leader and of the other two."""
        return [leader.name, *(name for name in "abc" if name != leader.name)]
