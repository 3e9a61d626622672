"""Changes of the group's members, one replica at a time."""

import asyncio

from returns.result import Failure

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.identification import Identification
from poplarlug.control.raft.leading import Leading
from poplarlug.control.raft.members import Member, Members, encode_members
from poplarlug.control.raft.messages import ReplicaChangeOutcome
from poplarlug.control.raft.proposals import append_and_wait
from poplarlug.control.raft.timing import HEARTBEAT_SECONDS, LEASE_SECONDS
from poplarlug.logs import PartLog
from poplarlug.types import Seconds, VmName

MAX_LEARNER_LAG_ENTRIES = 16

_log = PartLog(prefix="membership")


class Membership:
    """
    Add and remove replicas, and take those in again that lost their disk.

    A replica that answers under another incarnation than the group knows has
    lost its disk. It becomes a learner in place of its former self, and a voter
    when its log has caught up.
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        leading: Leading,
        identification: Identification,
    ) -> None:
        self._state = state
        self._leading = leading
        self._identification = identification

    async def run(self) -> None:
        """Repair the membership while this replica is the leader."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self._leading.may_change_members:
                members = self._next_members()
                if members is not None:
                    data = encode_members(members)
                    self._state.append_as_leader(EntryKind.MEMBERS, data)

    async def change(self, action: str, name: VmName) -> ReplicaChangeOutcome:
        """Add or remove a replica, as the leader."""
        if not self._leading.has_lease:
            return _refused("this replica is not the leader; ask again")
        if action == "add":
            return await self._add(name)
        if action == "remove":
            return await self._remove(name)
        return _refused(f"got action {action!r}, expected add or remove")

    async def _add(self, name: VmName) -> ReplicaChangeOutcome:
        identity = await self._identification.ask(name)
        if identity is None:
            return _refused(f"{name} gives no answer; start it first")
        member = Member(name, identity.incarnation)
        if member in self._state.members.all:
            return ReplicaChangeOutcome(True, f"{name} is a member already")
        if not identity.is_empty:
            return _refused(
                f"{name} holds entries, maybe of another group; empty its data folder"
            )
        return await self._propose(self._state.members.with_learner(member))

    async def _remove(self, name: VmName) -> ReplicaChangeOutcome:
        members = self._state.members
        if members.find(name) is None:
            return ReplicaChangeOutcome(True, f"{name} is not a member")
        if name == self._state.name:
            return _refused(f"{name} is the leader; stop it first, then ask again")
        remaining = members.without(name)
        if not self._has_quorum_in_touch(remaining):
            return _refused(
                f"without {name} too few of the remaining voters answer; repair "
                "one of them first"
            )
        return await self._propose(remaining)

    async def _propose(self, members: Members) -> ReplicaChangeOutcome:
        if not self._leading.may_change_members:
            return _refused("another change of members is in progress; ask again")
        data = encode_members(members)
        outcome = await append_and_wait(self._state, EntryKind.MEMBERS, data)
        if isinstance(outcome, Failure):
            message = outcome.failure().message
            return _refused(f"{message}; look at the status and ask again")
        return ReplicaChangeOutcome(True, "committed")

    def _next_members(self) -> Members | None:
        """Return the members after the next step of repair, if one is due."""
        members = self._state.members
        for name, peer in self._leading.peers_by_name.items():
            other = peer.other_incarnation
            if other is not None and self._may_replace(members, name):
                _log.warning("takes in a replica that lost its disk", name=name)
                return members.with_learner(Member(name, other))
        for learner in members.learners:
            if self._has_caught_up(learner):
                _log.info("makes a learner a voter", name=learner.name)
                return members.with_voter(learner.name)
        return None

    def _may_replace(self, members: Members, name: VmName) -> bool:
        return self._has_quorum_in_touch(members.without(name))

    def _has_caught_up(self, learner: Member) -> bool:
        peer = self._leading.peers_by_name.get(learner.name)
        if peer is None or peer.member != learner:
            return False
        lag = self._state.log.last_index - peer.match_index
        return (
            self._in_touch(learner.name)
            and peer.match_index >= self._state.members_index
            and lag <= MAX_LEARNER_LAG_ENTRIES
        )

    def _has_quorum_in_touch(self, members: Members) -> bool:
        in_touch = [v for v in members.voters if self._in_touch(v.name)]
        return len(in_touch) >= members.quorum

    def _in_touch(self, name: VmName) -> bool:
        if name == self._state.name:
            return True
        silence = self._now() - self._state.lease.answered_at(name)
        return silence < LEASE_SECONDS

    def _now(self) -> Seconds:
        return asyncio.get_running_loop().time()


def _refused(message: str) -> ReplicaChangeOutcome:
    return ReplicaChangeOutcome(False, message)
