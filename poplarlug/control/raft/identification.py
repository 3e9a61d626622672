"""Identities of the replicas, and the bootstrap of a new group."""

import asyncio
from collections.abc import Sequence

from returns.result import Result, Success

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.leading import Leadership
from poplarlug.control.raft.members import Member, Members, encode_members
from poplarlug.control.raft.messages import IDENTITY_TOPIC, Identity, IdentityRequest
from poplarlug.control.raft.timing import IDENTITY_TIMEOUT_SECONDS
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport
from poplarlug.types import VmName

BOOTSTRAP_RETRY_SECONDS = 0.5

STOPPING = "stopping"
"""Role of a replica that will end soon; it doesn't join the group again."""

_log = ComponentLogger(prefix="raft")


class Identification:
    """Answer and send identity requests between replicas."""

    def __init__(
        self, *, state: ConsensusState, leadership: Leadership, transport: Transport
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._transport = transport
        transport.serve(IDENTITY_TOPIC, IdentityRequest, self._serve_identity)

    def own(self) -> Identity:
        state = self._state
        return Identity(
            state.name,
            state.hard_state.incarnation,
            state.is_empty,
            self._role(),
            state.term,
            state.log.last_index,
            state.commit_index,
        )

    def _role(self) -> str:
        state = self._state
        if state.is_stopping:
            return STOPPING
        if state.role is Role.LEADER and not self._leadership.has_lease:
            return Role.CANDIDATE.value
        return state.role.value

    async def ask(self, name: VmName) -> Identity | None:
        """Return the identity of replica ``name``, ``None`` if it does not answer."""
        if name == self._state.name:
            return self.own()
        reply: Result[Identity, object] = await self._transport.request(
            peer=name,
            topic=IDENTITY_TOPIC,
            message=IdentityRequest(),
            reply_type=Identity,
            timeout_seconds=IDENTITY_TIMEOUT_SECONDS,
        )
        return reply.unwrap() if isinstance(reply, Success) else None

    async def ask_all(self, names: Sequence[VmName]) -> dict[VmName, Identity]:
        """Return the identities of those ``names`` that answer, by name."""
        answers = await asyncio.gather(*(self.ask(name) for name in names))
        return {answer.name: answer for answer in answers if answer is not None}

    async def _serve_identity(self, sender: str, request: IdentityRequest) -> Identity:
        await self._state.started.wait()
        return self.own()


class Bootstrap:
    """
    Create a new group once all of its replicas are up and empty.

    Only the first of ``names`` creates the group, and only if all of them answer and
    are empty. If one is unreachable or holds an entry, a group may exist already; an
    empty replica then waits until that group adds it.

    Parameters
    ----------
    names : sequence of VmName
        All replicas of the new group.
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        identification: Identification,
        names: Sequence[VmName],
    ) -> None:
        self._state = state
        self._identification = identification
        self._names = names

    async def run(self) -> None:
        """Return once this replica holds an entry or need not create the group."""
        if not self._names or self._names[0] != self._state.name:
            return
        while self._state.is_empty:
            identities = await self._identification.ask_all(self._names)
            empty = [one for one in identities.values() if one.is_empty]
            if len(empty) == len(self._names) and self._state.is_empty:
                await self._create_group(empty)
                return
            await asyncio.sleep(BOOTSTRAP_RETRY_SECONDS)

    async def _create_group(self, identities: Sequence[Identity]) -> None:
        state = self._state
        voters = (Member(one.name, one.incarnation) for one in identities)
        members = Members(voters=tuple(sorted(voters)))
        if state.term == 0:
            state.hard_state.raise_term(1)
        await state.hard_state.save()
        if not state.is_empty:
            return
        log_index = state.append_as_leader(EntryKind.MEMBERS, encode_members(members))
        await state.log.sync(log_index)
        _log.info("created a new group", name=state.name, members=list(self._names))
