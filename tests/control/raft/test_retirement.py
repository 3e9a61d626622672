"""Tests of replicas that stop as planned."""

import asyncio
from itertools import permutations

from poplarlug.control.raft.consensus_state import Role
from poplarlug.control.raft.members import Member
from poplarlug.control.raft.messages import VoteRequest
from poplarlug.control.raft.timing import MIN_ELECTION_TIMEOUT_SECONDS
from poplarlug.virtualtime import run_virtual
from tests.control.raft.replacement_case import ReplacementCase


class RetirementTests(ReplacementCase):
    # Guards against a group that waits for a replica that was stopped as planned.
    def test_disk_may_be_lost_right_after_a_planned_replacement(self) -> None:
        """Whichever replica is replaced, and whichever of the others loses its disk."""

        async def main(removed: int, lost: int) -> None:
            group = self.group()
            ranked = self.by_rank(group, await self.start_three(group))
            group.members_by_name["d"].start()
            await asyncio.sleep(2.0)
            await group.members_by_name[ranked[removed]].stop()
            await asyncio.sleep(0.1)
            await self.lose_disk(group, ranked[lost])
            self.assertNotIn(ranked[removed], self.voters(group))

        for removed, lost in permutations(range(3), 2):
            with self.subTest(removed=removed, lost=lost):
                run_virtual(main(removed, lost))

    def test_successor_that_has_just_started_gets_the_vote(self) -> None:
        """The stopping replica waits until it has caught up."""

        async def main() -> None:
            group = self.group()
            leader = await self.start_three(group)
            group.members_by_name["d"].start()
            await leader.stop()
            await group.wait_for_leader(1.0)
            self.assertEqual(self.voters(group), set("abcd") - {leader.name})

        run_virtual(main())

    def test_restarts_in_turn_change_no_member(self) -> None:
        """No other replica could vote; only a stop of the leader costs a term."""

        async def main() -> None:
            group = self.group()
            leader = await self.start_three(group)
            assert leader.replica is not None
            term = leader.replica.state.term
            index = leader.replica.state.members_index
            stops_of_leader = 0
            for name in "abc":
                member = group.members_by_name[name]
                stops_of_leader += group.leader() is member
                await member.stop()
                await asyncio.sleep(0.5)
                member.start()
                await asyncio.sleep(3.0)
            leader = await group.wait_for_leader()
            assert leader.replica is not None
            state = leader.replica.state
            self.assertEqual(state.members_index, index)
            self.assertEqual(state.term, term + stops_of_leader)
            self.assertEqual(self.voters(group), set("abc"))

        run_virtual(main())

    def test_lead_is_handed_over_without_an_election_timeout(self) -> None:
        """The next leader accepts changes before the lease would have ended."""

        async def main() -> None:
            group = self.group()
            leader = await self.start_three(group)
            began = asyncio.get_running_loop().time()
            stopping = asyncio.ensure_future(leader.stop())
            await group.wait_for(
                lambda: group.leader() not in (None, leader), "no new leader", 3.0
            )
            elapsed = asyncio.get_running_loop().time() - began
            self.assertLess(elapsed, MIN_ELECTION_TIMEOUT_SECONDS)
            await stopping
            self.assertTrue(await group.propose(b"after"))

        run_virtual(main())

    def test_replica_that_is_killed_while_it_stops_votes_again(self) -> None:
        """Its grace period ended, or it only restarts; it needs no other's help."""

        async def main(delay: float) -> None:
            group = self.group()
            leader = await self.start_three(group)
            group.members_by_name["d"].start()
            await asyncio.sleep(2.0)
            stopping = asyncio.ensure_future(leader.stop())
            await asyncio.sleep(delay)
            stopping.cancel()
            if leader.replica is not None:
                leader.crash()
            await asyncio.sleep(0.5)
            leader.start()
            await asyncio.sleep(6.0)
            await group.wait_for_leader()
            self.assertGreaterEqual(len(self.voters(group)), 3)
            lost = next(m for m in group.live() if m.name in self.voters(group))
            await asyncio.sleep(4.0)
            lost.crash()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"after"))

        for delay in (0.05, 0.2, 0.35, 0.5, 0.65, 0.8, 1.0):
            with self.subTest(delay=delay):
                run_virtual(main(delay))

    def test_two_stop_at_once(self) -> None:
        """Both successors get a vote."""

        async def main() -> None:
            group = self.group("abcde")
            leader = await self.start_three(group)
            for name in "de":
                group.members_by_name[name].start()
            other = group.members_by_name[self.by_rank(group, leader)[1]]
            await asyncio.gather(leader.stop(), other.stop())
            await group.wait_for_leader()
            expected = set("abcde") - {leader.name, other.name}
            await group.wait_for(lambda: self.voters(group) == expected, "not replaced")
            self.assertTrue(await group.propose(b"after"))

        run_virtual(main())

    def test_voters_ignore_a_hand_over_of_an_earlier_term(self) -> None:
        """They follow a leader whose lease they renew."""

        async def main() -> None:
            group = self.group()
            leader = await self.start_three(group)
            assert leader.replica is not None
            follower = group.members_by_name[self.by_rank(group, leader)[1]]
            assert follower.replica is not None
            state = follower.replica.state
            self.assertIs(state.role, Role.FOLLOWER)
            for term in (state.term, state.term + 2):
                request = VoteRequest(
                    term,
                    leader.replica.state.hard_state.incarnation,
                    state.hard_state.incarnation,
                    state.log.last_index,
                    state.log.last_term,
                    pre_vote=False,
                    is_handed_over=True,
                )
                candidate = Member(leader.name, request.candidate_incarnation)
                decided = follower.replica._election._decide_vote(candidate, request)
                self.assertFalse(decided)

        run_virtual(main())
