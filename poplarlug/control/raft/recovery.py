"""A new group out of the one replica that is left of a former group."""

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.members import Members, encode_members
from poplarlug.logs import ComponentLogger

_log = ComponentLogger(prefix="raft")


async def recover_alone(state: ConsensusState, incarnation: str) -> None:
    """
    Make this replica the only member, if its disk holds ``incarnation``.

    The replica takes a new incarnation, so the same call does nothing the next
    time. Changes that only the lost replicas held are lost. Call it before the
    replica answers its peers.
    """
    hard_state = state.hard_state
    if not incarnation or incarnation != hard_state.incarnation:
        return
    hard_state.renew_incarnation(state.rng)
    hard_state.raise_term(state.term + 1)
    members = Members(voters=(state.me,))
    log_index = state.append_as_leader(EntryKind.MEMBERS, encode_members(members))
    await state.log.sync(log_index)
    await hard_state.save()
    _log.warning("is the only member now", name=state.name, former=incarnation)
