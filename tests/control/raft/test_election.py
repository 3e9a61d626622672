"""Tests of votes: once a term, to no shorter log, from one incarnation."""

import asyncio
from random import Random

from poplarlug.control.raft.messages import VOTE_TOPIC, VoteReply, VoteRequest
from poplarlug.transport import MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.group import SimulatedGroup
from tests.control.quiet import QuietTestCase

SILENCE_SECONDS = 2.0
TERM = 7


class VoteTests(QuietTestCase):
    async def start(self) -> SimulatedGroup:
        """Start one replica that is a member of no group."""
        group = SimulatedGroup(rng=Random(1), names=("a",), founders=())
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
        """Return the answer of ``a`` to a candidate with a long log."""
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
        """A replica that voted and restarted gives no second vote in the term."""

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
        """A candidate that knows the former incarnation gets no vote."""

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
        """After a pre-vote for one candidate the vote may go to another."""

        async def main() -> None:
            group = await self.start()
            reply = await self.ask(group, "b", pre_vote=True)
            self.assertTrue(reply.granted)
            self.assertEqual(reply.term, 0)
            self.assertTrue((await self.ask(group, "c")).granted)

        run_virtual(main())

    def test_restarted_replica_keeps_the_lease_that_it_gave(self) -> None:
        """It may have heard of a leader just before and gives no vote at once."""

        async def main() -> None:
            group = await self.start()
            group.members_by_name["a"].crash()
            group.members_by_name["a"].start()
            self.assertFalse((await self.ask(group, "b")).granted)

        run_virtual(main())
