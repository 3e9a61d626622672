"""Tests of a control group that adds and removes replicas without operators."""

import asyncio
from itertools import permutations
from random import Random

from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase
from tests.control.raft.replacement_case import CATCH_UP_SECONDS, ReplacementCase


class AutoJoinTests(QuietTestCase):
    def group(self, names: str) -> SimulatedGroup:
        return SimulatedGroup(
            rng=Random(7),
            names=tuple(names),
            bootstrap_names=tuple("abc"),
            auto_join=True,
        )

    def voters(self, group: SimulatedGroup) -> set[str]:
        leader = group.leader()
        if leader is None or leader.replica is None:
            return set()
        return {member.name for member in leader.replica.state.members.voters}

    def test_six_replicas_have_five_voters(self) -> None:
        """The sixth replica is a learner and replaces a lost voter."""

        async def main() -> None:
            group = self.group("abcdef")
            group.start()
            await group.wait_for(lambda: len(self.voters(group)) == 5, "no five voters")
            await asyncio.sleep(5.0)
            self.assertEqual(len(self.voters(group)), 5)
            leader = await group.wait_for_leader()
            lost = next(n for n in self.voters(group) if n != leader.name)
            group.members_by_name[lost].crash()
            await group.wait_for(
                lambda: len(self.voters(group)) == 5 and lost not in self.voters(group),
                "the lost replica is not replaced",
            )
            self.assertTrue(await group.propose(b"with the sixth"))

        run_virtual(main())

    def test_newcomer_replaces_a_lost_replica_of_three(self) -> None:
        """Then one more may be lost, and the return of the first is harmless."""

        async def main() -> None:
            group = self.group("abcd")
            newcomer = group.members_by_name["d"]
            for name in "abc":
                group.members_by_name[name].start()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"before"))
            lost = next(m for m in group.live() if m is not group.leader())
            lost.crash()
            newcomer.start()
            expected = set("abcd") - {lost.name}
            await group.wait_for(lambda: self.voters(group) == expected, "not replaced")
            self.assertTrue(await group.propose(b"after"))
            lost.start()
            await asyncio.sleep(10.0)
            self.assertEqual(self.voters(group), expected)
            leader = await group.wait_for_leader()
            leader.crash()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"with two of three"))

        run_virtual(main())

    def test_short_absence_changes_nothing(self) -> None:
        """A replica that restarts within the replacement time stays a voter."""

        async def main() -> None:
            group = self.group("abcd")
            group.start()
            leader = await group.wait_for_leader()
            await asyncio.sleep(3.0)
            voters = self.voters(group)
            away = next(n for n in voters if n != leader.name)
            group.members_by_name[away].crash()
            await asyncio.sleep(1.0)
            group.members_by_name[away].start()
            await asyncio.sleep(8.0)
            self.assertEqual(self.voters(group), voters)

        run_virtual(main())


class LossTests(ReplacementCase):
    # Guards against a dead voter that counts for longer than its successor needs.
    def test_disk_may_be_lost_once_a_successor_had_its_time(self) -> None:
        """It starts when its predecessor is killed, the likely leader or another one."""

        async def main(removed: int, lost: int, seed: int) -> None:
            group = self.group(seed=seed)
            ranked = self.by_rank(group, await self.start_three(group))
            group.members_by_name[ranked[removed]].crash()
            group.members_by_name["d"].start()
            await asyncio.sleep(CATCH_UP_SECONDS)
            await self.lose_disk(group, ranked[lost])

        for removed, lost in permutations(range(3), 2):
            for seed in range(5):
                with self.subTest(removed=removed, lost=lost, seed=seed):
                    run_virtual(main(removed, lost, seed))
