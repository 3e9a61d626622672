"""Tests of a leader's commits, of replication to peers and of the bootstrap."""

import asyncio
from random import Random

from poplarlug.control.log_storage import Entry, EntryKind
from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.leading import Leadership
from poplarlug.control.raft.members import Member, Members, encode_members
from poplarlug.control.raft.peer import MAX_ENTRIES_PER_REQUEST, Peer
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.transport.frames import Header
from poplarlug.virtualtime import run_virtual
from tests.control.group import RecordingState, SimulatedGroup
from tests.control.quiet import QuietTestCase


class CommitTests(QuietTestCase):
    def test_entries_of_earlier_terms_are_not_committed_by_count(self) -> None:
        """An old entry on a quorum is committed only with one of the current term."""

        async def main() -> None:
            rng = Random(1)
            state = ConsensusState(
                name="a",
                disk=MemoryDisk(rng=rng),
                state_machine=RecordingState(history={}),
                rng=rng,
            )
            network = MemoryNetwork(rng=rng)
            transport = MemoryTransport(name="a", network=network)
            leadership = Leadership(state=state, transport=transport)
            b = Member("b", "1")
            members = Members((state.own_member, b, Member("c", "1")))
            old = Entry(1, 1, EntryKind.MEMBERS, encode_members(members))
            state.merge_entries([old, Entry(2, 2, EntryKind.COMMAND, b"old")])
            state.hard_state.raise_term(4)
            state.role = Role.LEADER
            peer = Peer(member=b, state=state, transport=transport, on_match=list)
            leadership.peers_by_name["b"] = peer
            await state.log.sync(2)
            peer.match_index = 2
            leadership.advance_commit()
            self.assertEqual(state.commit_index, 0)
            peer.match_index = state.append_as_leader(EntryKind.NOOP, b"")
            await state.log.sync(3)
            leadership.advance_commit()
            self.assertEqual(state.commit_index, 3)

        run_virtual(main())


class RefusingTransport(MemoryTransport):
    """Transport with all links down."""

    sent = 0

    def _send(self, peer: str, header: Header, payload: bytes) -> bool:
        self.sent += 1
        return False


class PeerTests(QuietTestCase):
    def test_peer_that_is_down_costs_a_few_attempts_a_second(self) -> None:
        """Entries for an unreachable peer are not retried in a tight loop."""

        async def main() -> None:
            rng = Random(1)
            state = ConsensusState(
                name="a",
                disk=MemoryDisk(rng=rng),
                state_machine=RecordingState(history={}),
                rng=rng,
            )
            network = MemoryNetwork(rng=rng)
            transport = RefusingTransport(name="a", network=network)
            state.role = Role.LEADER
            peer = Peer(
                member=Member("b", "1"),
                state=state,
                transport=transport,
                on_match=list,
            )
            for _ in range(2 * MAX_ENTRIES_PER_REQUEST):
                state.append_as_leader(EntryKind.NOOP, b"")
            sending = asyncio.ensure_future(peer.run())
            try:
                async with asyncio.timeout(10.0):
                    await sending
            except TimeoutError:
                pass
            self.assertLess(transport.sent, 110)
            self.assertGreater(transport.sent, 10)

        run_virtual(main())


class BootstrapTests(QuietTestCase):
    def test_no_group_is_founded_while_one_replica_is_away(self) -> None:
        """A replica that is down may hold the log of an existing group."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(1))
            for name in ("a", "b"):
                group.members_by_name[name].start()
            await asyncio.sleep(30.0)
            self.assertIsNone(group.leader())
            group.members_by_name["c"].start()
            await group.wait_for_leader()

        run_virtual(main())

    def test_wiped_first_replica_founds_no_second_group(self) -> None:
        """The replica that creates groups is re-added like any other."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(1))
            group.start()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"kept"))
            group.wipe("a")
            group.members_by_name["a"].start()
            await group.wait_for(group.all_replicas_vote, "not all replicas are voters")
            machine = group.members_by_name["a"].machine
            self.assertEqual([data for _, _, data in machine.entries], [b"kept"])

        run_virtual(main())

    def test_two_wiped_replicas_of_three_accept_nothing(self) -> None:
        """A lost majority is not replaced by a new group."""

        async def main() -> None:
            group = SimulatedGroup(rng=Random(1))
            group.start()
            await group.wait_for_leader()
            self.assertTrue(await group.propose(b"kept"))
            for name in ("a", "b"):
                group.wipe(name)
                group.members_by_name[name].start()
            await asyncio.sleep(30.0)
            self.assertIsNone(group.leader())
            self.assertFalse(await group.propose(b"lost"))

        run_virtual(main())
