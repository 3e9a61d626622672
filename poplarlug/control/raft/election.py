"""Elections: pre-votes, votes and the wait before them."""

import asyncio

from returns.result import Success

from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.members import Member
from poplarlug.control.raft.messages import VOTE_TOPIC, VoteReply, VoteRequest
from poplarlug.control.raft.timing import (
    MAX_ELECTION_TIMEOUT_SECONDS,
    MIN_ELECTION_TIMEOUT_SECONDS,
    VOTE_TIMEOUT_SECONDS,
)
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.2

START_RETRY_SECONDS = 0.05
"""Wait between attempts right after the start, when all may have lost power at once;
links between regions take some round trips of 110 ms to stand."""

_log = ComponentLogger(prefix="raft")


class Election:
    """
    Vote, and become a candidate when no leader is heard of.

    A replica that heard from a leader within the shortest election timeout
    gives no vote to another one: the leader's lease rests on it. One that started
    within that time may have forgotten a leader; its vote counts only together with
    the votes of all others. A leader whose lease runs is among them and gives none.
    So a group that lost power as a whole has a leader as soon as its links stand.
    """

    def __init__(self, *, state: ConsensusState, transport: Transport) -> None:
        self._state = state
        self._transport = transport
        transport.serve(VOTE_TOPIC, VoteRequest, self._serve_vote)

    async def wait_until_due(self) -> None:
        """Return when no leader was heard of for a random election timeout."""
        state = self._state
        if self._asks_all():
            await asyncio.sleep(START_RETRY_SECONDS)
            if self._asks_all():
                return
        timeout = state.rng.uniform(
            MIN_ELECTION_TIMEOUT_SECONDS, MAX_ELECTION_TIMEOUT_SECONDS
        )
        while True:
            now = self._state.now()
            remaining = state.last_contact + timeout - now
            if remaining <= 0 and state.is_voter:
                return
            await asyncio.sleep(remaining if remaining > 0 else timeout)

    async def campaign(self) -> bool:
        """Return whether this replica was elected and is the leader now."""
        state = self._state
        state.leader = None
        if not await state.persist(state.log.last_index):
            return False
        if not await self._poll(state.term + 1, pre_vote=True):
            return False
        if self._knows_of_leader() or not state.is_voter:
            return False
        state.hard_state.raise_term(state.term + 1)
        state.hard_state.voted_for = state.me.vote_id
        state.role = Role.CANDIDATE
        term = state.term
        if not await state.persist():
            return False
        won = await self._poll(term, pre_vote=False)
        if not won or state.term != term or state.role is not Role.CANDIDATE:
            return False
        state.role = Role.LEADER
        state.leader = state.name
        state.lease.clear()
        _log.info("is the leader", name=state.name, term=term)
        return True

    async def pause(self) -> None:
        """Wait for a random time before the next attempt."""
        if self._asks_all():
            return
        rng = self._state.rng
        await asyncio.sleep(rng.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS))

    async def _poll(self, term: int, *, pre_vote: bool) -> bool:
        state = self._state
        needed = state.members.quorum - (not state.may_have_forgotten)
        others = [m for m in state.members.voters if m.name != state.name]
        ungranted = len(others)
        polls = {
            asyncio.ensure_future(self._ask(voter, term, pre_vote)) for voter in others
        }
        try:
            while needed > 0 and ungranted > 0 and polls:
                done, polls = await asyncio.wait(
                    polls, return_when=asyncio.FIRST_COMPLETED
                )
                votes = [poll.result() for poll in done]
                ungranted -= sum(vote is not None for vote in votes)
                needed -= sum(vote is not None and vote.granted for vote in votes)
        finally:
            for poll in polls:
                poll.cancel()
        return needed <= 0 or ungranted <= 0

    async def _ask(self, voter: Member, term: int, pre_vote: bool) -> VoteReply | None:
        """Return a voter's vote, ``None`` when it gives none at all."""
        state = self._state
        reply = await self._transport.request(
            peer=voter.name,
            topic=VOTE_TOPIC,
            message=VoteRequest(
                term,
                state.hard_state.incarnation,
                voter.incarnation,
                state.log.last_index,
                state.log.last_term,
                pre_vote,
            ),
            reply_type=VoteReply,
            timeout_seconds=VOTE_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success):
            return None
        vote = reply.unwrap()
        if vote.incarnation != voter.incarnation:
            return None
        if vote.granted or vote.granted_if_unanimous:
            return vote
        state.observe_term(vote.term)
        return None

    async def _serve_vote(self, sender: str, request: VoteRequest) -> VoteReply:
        state = self._state
        await state.started.wait()
        forgot = state.may_have_forgotten
        granted = self._decide(Member(sender, request.candidate_incarnation), request)
        if not await state.persist():
            granted = False
        return VoteReply(
            state.term,
            state.hard_state.incarnation,
            granted and not forgot,
            granted and forgot,
        )

    def _decide(self, candidate: Member, request: VoteRequest) -> bool:
        state = self._state
        if request.voter_incarnation != state.hard_state.incarnation:
            return False
        if state.role is Role.LEADER or self._knows_of_leader():
            return False
        newest = (request.last_term, request.last_index)
        is_behind = newest < (state.log.last_term, state.log.last_index)
        if request.pre_vote:
            return request.term > state.term and not is_behind
        state.observe_term(request.term)
        if request.term < state.term or is_behind:
            return False
        if state.hard_state.voted_for not in (None, candidate.vote_id):
            return False
        state.hard_state.voted_for = candidate.vote_id
        return True

    def _knows_of_leader(self) -> bool:
        state = self._state
        if state.may_have_forgotten:
            return False
        return state.now() - state.last_contact < MIN_ELECTION_TIMEOUT_SECONDS

    def _asks_all(self) -> bool:
        """
        Return whether this replica may try at once to get the votes of all.

        Only the first one by name does, as two candidates would get no vote of
        each other.
        """
        state = self._state
        if not state.may_have_forgotten or not state.is_voter:
            return False
        return state.name == min(voter.name for voter in state.members.voters)
