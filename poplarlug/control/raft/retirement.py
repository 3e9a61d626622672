"""Planned stop of a replica: its lead and its vote go to others."""

import asyncio

from returns.result import Failure

from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.leading import Leadership
from poplarlug.control.raft.members import Member
from poplarlug.control.raft.membership import Membership
from poplarlug.control.raft.messages import (
    HAND_OVER_TOPIC,
    RETIRE_TOPIC,
    HandOver,
    HandOverReply,
    RetireReply,
    RetireRequest,
)
from poplarlug.control.raft.timing import VOTE_TIMEOUT_SECONDS
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

RETIREMENT_SECONDS = 3.0
"""How long a replica that stops may take to give its lead and vote to others: an
election, the successor's first entries and three changes, each a few round trips."""

RETRY_SECONDS = 0.05

MAX_DECISION_SECONDS = 0.5
"""How long a leader that stops waits for the changes in progress to be decided."""

_log = ComponentLogger(prefix="raft")


class Retirement:
    """
    Hand over the lead and the vote of a replica that stops.

    A replica that only restarts comes back under the same incarnation and joins again.
    If there is no other replica to vote in its place, it stays a voter.
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        leadership: Leadership,
        membership: Membership,
        transport: Transport,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._membership = membership
        self._transport = transport
        transport.serve(RETIRE_TOPIC, RetireRequest, self._serve_retire)

    async def run(self, seconds: Seconds) -> None:
        """Return once others have the lead and the vote, or ``seconds`` have passed."""
        self._state.is_stopping = True
        deadline = asyncio.get_running_loop().time() + seconds
        try:
            async with asyncio.timeout_at(deadline):
                await self._hand_over_lead()
                outcome = await self._give_vote(deadline)
        except TimeoutError:
            outcome = "timeout"
        _log.info("stops as a replica", name=self._state.name, vote=outcome)

    async def _hand_over_lead(self) -> None:
        """Step down and let a voter with the whole log lead, if this replica leads."""
        state = self._state
        term = state.term
        if not state.leads(term) or len(state.members.voters) < 2:
            return
        loop = asyncio.get_running_loop()
        decided_by = loop.time() + MAX_DECISION_SECONDS
        while state.leads(term) and loop.time() < decided_by:
            if not state.waiters_by_index and self._leadership.caught_up_voters():
                break
            await asyncio.sleep(RETRY_SECONDS)
        successors = self._leadership.caught_up_voters()
        if not state.leads(term) or not successors:
            # Without a quorum, nobody can take over.
            return
        # The lease must have ended before another replica may lead.
        state.step_down("the replica stops")
        for name in successors:
            if await self._hand_over_to(name, term):
                return

    async def _hand_over_to(self, name: VmName, term: int) -> bool:
        reply = await self._transport.request(
            peer=name,
            topic=HAND_OVER_TOPIC,
            message=HandOver(term),
            reply_type=HandOverReply,
            timeout_seconds=VOTE_TIMEOUT_SECONDS,
        )
        accepted = not isinstance(reply, Failure) and reply.unwrap().accepted
        _log.info("hands over the lead", to=name, term=term, accepted=accepted)
        return accepted

    async def _give_vote(self, deadline: Seconds) -> str:
        """Return what the leader said of this replica's vote."""
        state = self._state
        while state.is_voter and state.role is not Role.LEADER:
            reply = await self._ask_leader(deadline)
            if reply is not None and reply.outcome != "not the leader":
                return reply.outcome
            await asyncio.sleep(RETRY_SECONDS)
        return "no successor" if state.is_voter else "no voter"

    async def _ask_leader(self, deadline: Seconds) -> RetireReply | None:
        state = self._state
        if state.leader is None:
            return None
        left = deadline - asyncio.get_running_loop().time()
        reply = await self._transport.request(
            peer=state.leader,
            topic=RETIRE_TOPIC,
            message=RetireRequest(state.hard_state.incarnation, left),
            reply_type=RetireReply,
            timeout_seconds=left,
        )
        return None if isinstance(reply, Failure) else reply.unwrap()

    async def _serve_retire(self, sender: str, request: RetireRequest) -> RetireReply:
        member = Member(sender, request.incarnation)
        return await self._membership.retire(member, request.seconds)
