"""Status and membership changes of the control group, for operators."""

from collections.abc import Sequence
from typing import NamedTuple

from returns.result import Failure

from poplarlug.control.raft.members import Members
from poplarlug.control.raft.messages import (
    CHANGE_REPLICA_TOPIC,
    Identity,
    ReplicaChange,
    ReplicaChangeOutcome,
)
from poplarlug.control.raft.replica import Replica
from poplarlug.transport import Transport
from poplarlug.types import VmName

CHANGE_TIMEOUT_SECONDS = 8.0


class ReplicaStatus(NamedTuple):
    """
    Status of one control replica as seen by this one.

    Parameters
    ----------
    role : str
        ``leader`` while its lease is valid, ``follower``, ``candidate``,
        ``stopping``, or ``unreachable``.
    membership : str
        ``voter``, ``learner``, ``none``, or ``lost disk`` if it answers under an
        incarnation other than the group's members hold.
    """

    name: VmName
    role: str
    membership: str
    term: int = 0
    last_index: int = 0
    committed_index: int = 0
    incarnation: str = ""


class GroupStatus(NamedTuple):
    leader: VmName | None
    replicas: tuple[ReplicaStatus, ...]


class ControlGroup:
    """
    Report the status of the control replicas and change the group's members.

    Parameters
    ----------
    names : sequence of VmName
        Control replicas in the topology file.
    """

    def __init__(
        self, *, replica: Replica, transport: Transport, names: Sequence[VmName]
    ) -> None:
        self._replica = replica
        self._transport = transport
        self._names = names
        transport.serve(CHANGE_REPLICA_TOPIC, ReplicaChange, self._serve_change)

    async def status(self) -> GroupStatus:
        """Query all replicas for their status."""
        members = self._committed_members()
        names = dict.fromkeys([*self._names, *(one.name for one in members.all)])
        identities = await self._replica.identification.ask_all(list(names))
        replicas = [self._describe(name, identities.get(name)) for name in names]
        return GroupStatus(self._replica.leader, tuple(replicas))

    async def change_replica(self, action: str, name: VmName) -> ReplicaChangeOutcome:
        """
        Have the leader add or remove a replica.

        Parameters
        ----------
        action : str
            ``add`` or ``remove``.
        """
        if name not in self._names and action == "add":
            return ReplicaChangeOutcome(
                False, f"{name} is not a control VM of the topology file"
            )
        leader = self._replica.leader
        if leader == self._replica.state.name:
            return await self._replica.membership.change(action, name)
        if leader is None:
            return ReplicaChangeOutcome(False, "no leader is known; ask again")
        reply = await self._transport.request(
            peer=leader,
            topic=CHANGE_REPLICA_TOPIC,
            message=ReplicaChange(action, name),
            reply_type=ReplicaChangeOutcome,
            timeout_seconds=CHANGE_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Failure):
            message = f"outcome unknown: {reply.failure().message}; ask again"
            return ReplicaChangeOutcome(False, message)
        return reply.unwrap()

    async def _serve_change(
        self, sender: str, message: ReplicaChange
    ) -> ReplicaChangeOutcome:
        return await self._replica.membership.change(message.action, message.name)

    def _committed_members(self) -> Members:
        # An uncommitted change may be lost if the leader fails.
        state = self._replica.state
        return state.members_at(state.commit_index)

    def _describe(self, name: VmName, identity: Identity | None) -> ReplicaStatus:
        members = self._committed_members()
        member = members.find(name)
        membership = "none"
        if member is not None:
            membership = "voter" if members.is_voter(name) else "learner"
        if identity is None:
            return ReplicaStatus(name, "unreachable", membership)
        if member is not None and member.incarnation != identity.incarnation:
            membership = "lost disk"
        return ReplicaStatus(
            name,
            identity.role,
            membership,
            identity.term,
            identity.last_index,
            identity.commit_index,
            identity.incarnation,
        )
