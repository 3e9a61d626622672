"""Recovery of a group from its only surviving replica."""

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.members import Members, encode_members
from poplarlug.logs import ComponentLogger

_log = ComponentLogger(prefix="raft")


async def recover_as_only_member(state: ConsensusState, incarnation: str) -> None:
    """
    Make this replica the only member if its disk holds ``incarnation``.

    The replica takes a new incarnation, so a repeated call with the same value does
    nothing. Changes that only the lost replicas held are lost. Must be called before
    the replica answers its peers.
    """
    hard_state = state.hard_state
    if not incarnation or incarnation != hard_state.incarnation:
        return
    hard_state.renew_incarnation(state.rng)
    hard_state.raise_term(state.term + 1)
    members = Members(voters=(state.own_member,))
    log_index = state.append_as_leader(EntryKind.MEMBERS, encode_members(members))
    await state.log.sync(log_index)
    await hard_state.save()
    _log.warning("recovered as the only member", name=state.name, former=incarnation)
