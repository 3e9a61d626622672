"""Who the replicas are, and the founding of a new group."""

import asyncio
from collections.abc import Sequence

from returns.result import Result, Success

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.leading import Leading
from poplarlug.control.raft.members import Member, Members, encode_members
from poplarlug.control.raft.messages import IDENTITY_TOPIC, Identity, IdentityRequest
from poplarlug.control.raft.timing import IDENTITY_TIMEOUT_SECONDS
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport
from poplarlug.types import VmName

BOOTSTRAP_RETRY_SECONDS = 0.5

_log = ComponentLogger(prefix="raft")


class Identification:
    """Tell peers who this replica is and ask them."""

    def __init__(
        self, *, state: ConsensusState, leading: Leading, transport: Transport
    ) -> None:
        self._state = state
        self._leading = leading
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
        if state.role is Role.LEADER and not self._leading.has_lease:
            return Role.CANDIDATE.value
        return state.role.value

    async def ask(self, name: VmName) -> Identity | None:
        """Return who the replica ``name`` is, ``None`` when it gives no answer."""
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
        """Return those of ``names`` that answer."""
        answers = await asyncio.gather(*(self.ask(name) for name in names))
        return {answer.name: answer for answer in answers if answer is not None}

    async def _serve_identity(self, sender: str, request: IdentityRequest) -> Identity:
        await self._state.started.wait()
        return self.own()


class Bootstrap:
    """
    Found a new group, when all of its replicas are empty.

    Only the first of ``names`` does it, and only while every one of them
    answers and holds nothing. Where one is away or holds an entry, a group may
    exist already; an empty replica then waits until that group takes it in.

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
        """Return once this replica holds an entry or need not found the group."""
        if not self._names or self._names[0] != self._state.name:
            return
        while self._state.is_empty:
            identities = await self._identification.ask_all(self._names)
            empty = [one for one in identities.values() if one.is_empty]
            if len(empty) == len(self._names) and self._state.is_empty:
                await self._found(empty)
                return
            await asyncio.sleep(BOOTSTRAP_RETRY_SECONDS)

    async def _found(self, identities: Sequence[Identity]) -> None:
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
        _log.info("founded a new group", name=state.name, members=list(self._names))
