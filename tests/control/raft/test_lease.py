"""Tests of the leader lease and of stepping down without a quorum."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from returns.result import Failure

from poplarlug.control.raft.consensus_state import Role
from poplarlug.control.replicated_log import ProposeErrorKind
from poplarlug.virtualtime import run_virtual
from tests.control.group import GroupMember, SimulatedGroup
from tests.control.quiet import QuietTestCase

SEEDS = range(5)


class LeaseTests(QuietTestCase):
    def run_seeds(
        self, main: Callable[[SimulatedGroup], Coroutine[Any, Any, None]]
    ) -> None:
        """Run ``main`` once per seed, with a new group and 55 ms one-way latency."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = SimulatedGroup(rng=Random(seed), one_way=0.055)
                run_virtual(main(group))

    def test_no_two_leaders_when_one_replica_stops_hearing_the_leader(self) -> None:
        """A replica that hears from the leader votes for no other candidate."""

        async def main(group: SimulatedGroup) -> None:
            group.start()
            leader = await group.wait_for_leader()
            await asyncio.sleep(1.0)
            cut_off = other_than(group, leader)
            group.network.cut(leader.name, cut_off.name)
            for _ in range(400):
                await asyncio.sleep(0.02)
                group.check()
                self.assertIs(group.leader(), leader)

        self.run_seeds(main)

    def test_cut_off_leader_loses_its_lease_before_the_next_one_leads(self) -> None:
        """Its lease ends first, and its pending proposals get an unknown outcome."""

        async def main(group: SimulatedGroup) -> None:
            group.start()
            leader = await group.wait_for_leader()
            await asyncio.sleep(1.0)
            for member in group.members_by_name.values():
                group.network.cut(leader.name, member.name)
                group.network.cut(member.name, leader.name)
            assert leader.replica is not None
            proposal = asyncio.ensure_future(leader.replica.propose(b"late"))
            await group.wait_for(lambda: group.leader() is None, "lease held")
            successor = await group.wait_for_leader()
            self.assertIsNot(successor, leader)
            self.assertIsNot(leader.replica.state.role, Role.LEADER)
            outcome = await proposal
            assert isinstance(outcome, Failure)
            self.assertIs(outcome.failure().kind, ProposeErrorKind.UNKNOWN)
            group.network.heal()
            await group.wait_for(
                lambda: leader.replica and leader.replica.leader == successor.name,
                "the former leader does not follow the new one",
            )

        self.run_seeds(main)


def other_than(group: SimulatedGroup, leader: GroupMember) -> GroupMember:
    return next(m for m in group.members_by_name.values() if m is not leader)
