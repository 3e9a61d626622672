"""Leader election: timeouts, pre-votes and votes."""

import asyncio

from returns.result import Success

from poplarlug.control.raft.consensus_state import ConsensusState, Role
from poplarlug.control.raft.members import Member
from poplarlug.control.raft.messages import (
    HAND_OVER_TOPIC,
    VOTE_TOPIC,
    HandOver,
    HandOverReply,
    VoteReply,
    VoteRequest,
)
from poplarlug.control.raft.timing import (
    MAX_ELECTION_TIMEOUT_SECONDS,
    MIN_ELECTION_TIMEOUT_SECONDS,
    VOTE_TIMEOUT_SECONDS,
)
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport

MIN_CAMPAIGN_RETRY_SECONDS = 0.1
MAX_CAMPAIGN_RETRY_SECONDS = 1.2

START_RETRY_SECONDS = 0.05
"""Retry interval right after a start, when all replicas may have lost power at once.
Links between regions need several round trips of 110 ms to connect."""

_log = ComponentLogger(prefix="raft")


class Election:
    """
    Vote on candidates, and become one when no leader is heard from.

    A replica that heard from a leader within the minimum election timeout votes for
    no other candidate, because the leader's lease relies on this. A replica that
    started within that time may have renewed a lease before its restart, so its vote
    counts only if all other voters grant theirs too. A leader with a valid lease is
    one of them and refuses. A group that lost power as a whole therefore elects a
    leader as soon as its links are connected.

    A leader that stops gives up its lease and hands its lead over to another voter,
    which campaigns at once. For the term right after, voters need not wait for the end
    of that lease.
    """

    def __init__(self, *, state: ConsensusState, transport: Transport) -> None:
        self._state = state
        self._transport = transport
        self._handed_over_term: int | None = None
        self._handed_over = asyncio.Event()
        transport.serve(VOTE_TOPIC, VoteRequest, self._serve_vote)
        transport.serve(HAND_OVER_TOPIC, HandOver, self._serve_hand_over)

    async def wait_until_due(self) -> None:
        """
        Return once a leader has handed its lead over to this replica, or none was heard
        from for a random election timeout.
        """
        state = self._state
        if self._may_campaign_at_once():
            await asyncio.sleep(START_RETRY_SECONDS)
            if self._may_campaign_at_once():
                return
        timeout = state.rng.uniform(
            MIN_ELECTION_TIMEOUT_SECONDS, MAX_ELECTION_TIMEOUT_SECONDS
        )
        while True:
            now = self._state.now()
            remaining = state.last_contact + timeout - now
            if remaining <= 0 and state.is_voter and not state.is_stopping:
                return
            try:
                async with asyncio.timeout(remaining if remaining > 0 else timeout):
                    await self._handed_over.wait()
            except TimeoutError:
                continue
            self._handed_over.clear()
            if self._handed_over_term == state.term:
                return

    async def campaign(self) -> bool:
        """Run for leader; return whether this replica was elected."""
        state = self._state
        is_handed_over = self._handed_over_term == state.term
        self._handed_over_term = None
        state.leader = None
        if not await state.persist(state.log.last_index):
            return False
        if not is_handed_over:
            if not await self._collect_votes(state.term + 1, pre_vote=True):
                return False
            if self._has_recent_leader():
                return False
        if not state.is_voter:
            return False
        state.hard_state.raise_term(state.term + 1)
        state.hard_state.voted_for = state.own_member.vote_id
        state.role = Role.CANDIDATE
        term = state.term
        if not await state.persist():
            return False
        won = await self._collect_votes(
            term, pre_vote=False, is_handed_over=is_handed_over
        )
        if not won or state.term != term or state.role is not Role.CANDIDATE:
            return False
        state.role = Role.LEADER
        state.leader = state.name
        state.lease.clear()
        _log.info("elected leader", name=state.name, term=term)
        return True

    async def wait_before_retry(self) -> None:
        """Wait a random time, unless this replica may campaign at once."""
        if self._may_campaign_at_once():
            return
        rng = self._state.rng
        await asyncio.sleep(
            rng.uniform(MIN_CAMPAIGN_RETRY_SECONDS, MAX_CAMPAIGN_RETRY_SECONDS)
        )

    async def _collect_votes(
        self, term: int, *, pre_vote: bool, is_handed_over: bool = False
    ) -> bool:
        state = self._state
        needed = state.members.quorum - (not state.may_have_unknown_lease)
        others = [m for m in state.members.voters if m.name != state.name]
        ungranted = len(others)
        polls = {
            asyncio.ensure_future(
                self._request_vote(voter, term, pre_vote, is_handed_over)
            )
            for voter in others
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

    async def _request_vote(
        self, voter: Member, term: int, pre_vote: bool, is_handed_over: bool
    ) -> VoteReply | None:
        """Return a granted vote, also one granted if unanimous; ``None`` otherwise."""
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
                is_handed_over,
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
        has_unknown_lease = state.may_have_unknown_lease
        granted = self._decide_vote(
            Member(sender, request.candidate_incarnation), request
        )
        if not await state.persist():
            granted = False
        return VoteReply(
            state.term,
            state.hard_state.incarnation,
            granted and not has_unknown_lease,
            granted and has_unknown_lease,
        )

    async def _serve_hand_over(self, sender: str, message: HandOver) -> HandOverReply:
        state = self._state
        is_known = message.term == state.term and state.leader == sender
        if not is_known or not state.is_voter or state.is_stopping:
            return HandOverReply(False)
        self._handed_over_term = message.term
        self._handed_over.set()
        return HandOverReply(True)

    def _decide_vote(self, candidate: Member, request: VoteRequest) -> bool:
        state = self._state
        if request.voter_incarnation != state.hard_state.incarnation:
            return False
        if state.role is Role.LEADER:
            return False
        # The lease of that term has been given up, and an earlier one has ended.
        has_lead = request.is_handed_over and request.term == state.term + 1
        if not has_lead and self._has_recent_leader():
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

    def _has_recent_leader(self) -> bool:
        state = self._state
        if state.may_have_unknown_lease:
            return False
        return state.now() - state.last_contact < MIN_ELECTION_TIMEOUT_SECONDS

    def _may_campaign_at_once(self) -> bool:
        """
        Return whether this replica may campaign at once, needing all votes.

        Only the voter with the lowest name may, because two candidates would not vote
        for each other.
        """
        state = self._state
        if not state.may_have_unknown_lease or not state.is_voter or state.is_stopping:
            return False
        return state.name == min(voter.name for voter in state.members.voters)
