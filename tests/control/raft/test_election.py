"""Tests of votes, one per term and incarnation, and of elections after restarts."""

import asyncio
from collections.abc import Iterable
from random import Random

from poplarlug.control.raft.messages import VOTE_TOPIC, VoteReply, VoteRequest
from poplarlug.control.raft.timing import MIN_ELECTION_TIMEOUT_SECONDS
from poplarlug.transport import MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase

SILENCE_SECONDS = 2.0
IN_FLIGHT_SECONDS = 0.2
"""After this time no message of a former leader is in flight."""

TERM = 7


class VoteTests(QuietTestCase):
    async def start(self) -> SimulatedGroup:
        """Start one replica that is not a member of any group."""
        group = SimulatedGroup(rng=Random(1), names=("a",), bootstrap_names=())
        group.start()
        await asyncio.sleep(SILENCE_SECONDS)
        return group

    async def ask(
        self,
        group: SimulatedGroup,
        candidate: str,
        incarnation: str | None = None,
        pre_vote: bool = False,
    ) -> VoteReply:
        """Return the reply of ``a`` to a candidate with a longer log."""
        transport = MemoryTransport(name=candidate, network=group.network)
        running = asyncio.ensure_future(transport.run())
        await asyncio.sleep(0)
        replica = group.members_by_name["a"].replica
        assert replica is not None
        voter = incarnation or replica.state.hard_state.incarnation
        reply = await transport.request(
            peer="a",
            topic=VOTE_TOPIC,
            message=VoteRequest(TERM, "1", voter, 9, 6, pre_vote),
            reply_type=VoteReply,
            timeout_seconds=1.0,
        )
        running.cancel()
        return reply.unwrap()

    def test_vote_survives_a_crash(self) -> None:
        """A restarted replica does not vote for another candidate in the same term."""

        async def main() -> None:
            group = await self.start()
            self.assertTrue((await self.ask(group, "b")).granted)
            group.members_by_name["a"].crash()
            group.members_by_name["a"].start()
            await asyncio.sleep(SILENCE_SECONDS)
            self.assertFalse((await self.ask(group, "c")).granted)
            self.assertTrue((await self.ask(group, "b")).granted)

        run_virtual(main())

    def test_wiped_replica_gives_no_vote_under_its_old_incarnation(self) -> None:
        """A vote request for the former incarnation is refused."""

        async def main() -> None:
            group = await self.start()
            member = group.members_by_name["a"]
            assert member.replica is not None
            former = member.replica.state.hard_state.incarnation
            group.wipe("a")
            member.start()
            await asyncio.sleep(SILENCE_SECONDS)
            reply = await self.ask(group, "b", former)
            self.assertFalse(reply.granted)
            self.assertNotEqual(reply.incarnation, former)

        run_virtual(main())

    def test_pre_vote_changes_nothing(self) -> None:
        """After a pre-vote for one candidate, the vote may go to another."""

        async def main() -> None:
            group = await self.start()
            reply = await self.ask(group, "b", pre_vote=True)
            self.assertTrue(reply.granted)
            self.assertEqual(reply.term, 0)
            self.assertTrue((await self.ask(group, "c")).granted)

        run_virtual(main())

    def test_restarted_replica_keeps_the_lease_that_it_gave(self) -> None:
        """It may have renewed a lease, so its vote counts only if all are granted."""

        async def main() -> None:
            group = await self.start()
            group.members_by_name["a"].crash()
            group.members_by_name["a"].start()
            reply = await self.ask(group, "b")
            self.assertFalse(reply.granted)
            self.assertTrue(reply.granted_if_unanimous)

        run_virtual(main())


class RestartTests(QuietTestCase):
    def restart(self, group: SimulatedGroup, names: Iterable[str]) -> None:
        for name in names:
            group.members_by_name[name].crash()
            group.members_by_name[name].start()

    def test_group_elects_a_leader_at_once_after_a_power_loss(self) -> None:
        """Votes don't wait for a lease that no replica can hold any more."""

        async def main(seed: int) -> None:
            group = SimulatedGroup(rng=Random(seed), one_way=0.055)
            group.start()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"before"))
            for member in group.members_by_name.values():
                member.crash()
            await asyncio.sleep(IN_FLIGHT_SECONDS)
            group.start()
            # Start, two rounds of votes and one round of heartbeats, 110 ms each.
            await group.wait_for_leader(MIN_ELECTION_TIMEOUT_SECONDS)
            self.assertTrue(await group.propose(b"after"))

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_restarted_followers_wait_for_a_leader_that_they_do_not_reach(self) -> None:
        """They may have renewed its lease, and without it the vote is not unanimous."""

        async def main(seed: int) -> None:
            group = SimulatedGroup(rng=Random(seed))
            group.start()
            leader = await group.wait_for_leader()
            assert leader.replica is not None
            await asyncio.sleep(group.rng.random())
            others = [n for n in group.members_by_name if n != leader.name]
            for name in others:
                group.network.cut(leader.name, name)
                group.network.cut(name, leader.name)
            self.restart(group, others)
            while leader.replica.is_leader:
                group.check()
                await asyncio.sleep(0.01)
            await group.wait_for_leader()

        for seed in range(20):
            with self.subTest(seed=seed):
                run_virtual(main(seed))

    def test_restarted_followers_leave_their_leader_in_place(self) -> None:
        """The leader is asked for its vote too and refuses."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(2), one_way=0.055)
            group.start()
            leader = await group.wait_for_leader()
            others = [n for n in group.members_by_name if n != leader.name]
            self.restart(group, others)
            await asyncio.sleep(SILENCE_SECONDS)
            self.assertIs(await group.wait_for_leader(), leader)
            self.assertEqual(len(group.leaders_by_term), 1)

        run_virtual(main())
