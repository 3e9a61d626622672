"""Membership changes of the group, one replica at a time."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from returns.result import Failure

from poplarlug.control.log_storage import EntryKind
from poplarlug.control.raft.consensus_state import ConsensusState
from poplarlug.control.raft.identification import STOPPING, Identification
from poplarlug.control.raft.leading import Leadership
from poplarlug.control.raft.members import Member, Members, encode_members
from poplarlug.control.raft.messages import ReplicaChangeOutcome, RetireReply
from poplarlug.control.raft.proposals import append_and_wait
from poplarlug.control.raft.timing import HEARTBEAT_SECONDS, LEASE_SECONDS
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds, VmName

MAX_LEARNER_LAG_ENTRIES = 16
VOTER_REPLACEMENT_SECONDS = 4.0
"""A voter silent for this long is replaced if another replica can take its place."""

REPLACEMENT_SHARE = 0.25
"""Share of the time within which a replacement must be complete that a voter may be
silent; the rest is for an election, the successor's start and three changes."""

STEP_SECONDS = 0.05
"""Interval of repair steps while a voter is being replaced."""

JOINING_SECONDS = 1.0
"""How long a replica that isn't known to follow the log counts as a successor."""

LEARNER_REMOVAL_SECONDS = 30.0
"""A learner silent for this long is removed; it rejoins when it is back."""

AUTO_JOIN_INTERVAL_SECONDS = 0.5
SMALL_GROUP_VOTERS = 3
LARGE_GROUP_VOTERS = 5
"""Voters if at least five replicas exist; two disks may then be lost at a time."""

_log = ComponentLogger(prefix="membership")


class AutoJoin(NamedTuple):
    """
    Configuration of a group that adds and removes replicas without operators.

    Parameters
    ----------
    live_names : callable
        Returns the names of all control replicas heard from recently, except this
        replica's own.
    catch_up_seconds : float, optional
        Time after its start within which a successor should have taken over the vote of
        a replica that is lost.
    """

    live_names: Callable[[], Iterable[VmName]]
    catch_up_seconds: Seconds | None = None

    @property
    def replacement_seconds(self) -> Seconds:
        """How long a voter may be silent before it is replaced."""
        if self.catch_up_seconds is None:
            return VOTER_REPLACEMENT_SECONDS
        share = REPLACEMENT_SHARE * self.catch_up_seconds
        return min(VOTER_REPLACEMENT_SECONDS, max(LEASE_SECONDS, share))


class Membership:
    """
    Add and remove replicas, and re-add those that lost their disk.

    A replica that answers under an incarnation other than the group's members hold
    has lost its disk. It replaces its former incarnation as a learner, and becomes a
    voter once its log has caught up.

    With auto-join, every live replica joins as a learner. Learners are promoted until
    there are three voters, or five if at least five replicas exist, and to replace
    voters that are lost or stop. Such a voter is removed once its replacement votes.

    Parameters
    ----------
    auto_join : AutoJoin or None
        ``None`` if operators add and remove replicas.
    """

    def __init__(
        self,
        *,
        state: ConsensusState,
        leadership: Leadership,
        identification: Identification,
        auto_join: AutoJoin | None = None,
    ) -> None:
        self._auto_join = auto_join
        self._auto_join_checked_at = float("-inf")
        self._state = state
        self._leadership = leadership
        self._identification = identification
        self._retiring: set[Member] = set()

    async def run(self) -> None:
        """Repair the membership while this replica is the leader."""
        pause = HEARTBEAT_SECONDS
        while True:
            await asyncio.sleep(STEP_SECONDS if self._retiring else pause)
            if not self._leadership.may_change_members:
                continue
            pause = HEARTBEAT_SECONDS
            members = self._next_members()
            if members is None and self._auto_join is not None:
                members = await self._with_joining_learner(self._auto_join)
            if members is not None and self._leadership.may_change_members:
                data = encode_members(members)
                self._state.append_as_leader(EntryKind.MEMBERS, data)
                pause = STEP_SECONDS

    async def change(self, action: str, name: VmName) -> ReplicaChangeOutcome:
        """Add or remove a replica, as the leader."""
        if not self._leadership.has_lease:
            return _refused("this replica is not the leader; ask again")
        if action == "add":
            return await self._add(name)
        if action == "remove":
            return await self._remove(name)
        return _refused(f"got action {action!r}, expected add or remove")

    async def retire(self, member: Member, seconds: Seconds) -> RetireReply:
        """
        Give a stopping replica's vote to another one, as the leader.

        Load pattern: operators replace a VM, and the next one may be lost right after;
        a voter that is gone would count until its silence is noticed. First the
        successor becomes a voter, then the stopping replica is removed, so that each
        change adds or removes one voter.

        Returns
        -------
        RetireReply
            ``no successor`` at once if no other replica could become a voter.
        """
        began = self._now()
        self._retiring.add(member)
        try:
            while self._leadership.has_lease:
                members = self._state.members
                if member not in members.voters:
                    if self._leadership.may_change_members:
                        return RetireReply("replaced")
                elif not self._has_successor(members, self._now() - began):
                    return RetireReply("no successor")
                if self._now() - began > seconds:
                    return RetireReply("timeout")
                await asyncio.sleep(STEP_SECONDS)
            return RetireReply("not the leader")
        finally:
            self._retiring.discard(member)

    def _has_successor(self, members: Members, waited: Seconds) -> bool:
        """Return whether another replica may become a voter, or already is a spare one."""
        if self._auto_join is None:
            return False
        if len(members.voters) > _target_voter_count(members):
            return True
        names = [learner.name for learner in members.learners]
        if waited < JOINING_SECONDS:
            live = self._auto_join.live_names()
            return bool(names) or any(members.find(name) is None for name in live)
        return any(self._is_responsive(name) for name in names)

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
        if not self._has_responsive_quorum(remaining):
            return _refused(
                f"without {name} too few of the remaining voters answer; repair "
                "one of them first"
            )
        return await self._propose(remaining)

    async def _propose(self, members: Members) -> ReplicaChangeOutcome:
        if not self._leadership.may_change_members:
            return _refused("another change of members is in progress; ask again")
        data = encode_members(members)
        outcome = await append_and_wait(self._state, EntryKind.MEMBERS, data)
        if isinstance(outcome, Failure):
            message = outcome.failure().message
            return _refused(f"{message}; look at the status and ask again")
        return ReplicaChangeOutcome(True, "committed")

    def _next_members(self) -> Members | None:
        """Return the members after the next repair step, ``None`` if none is due."""
        members = self._state.members
        for name, peer in self._leadership.peers_by_name.items():
            other = peer.other_incarnation
            if other is not None and self._may_replace(members, name):
                _log.warning("re-adding a replica that lost its disk", name=name)
                return members.with_learner(Member(name, other))
        for learner in members.learners:
            if learner in self._retiring:
                continue
            if self._has_caught_up(learner) and self._needs_voter(members):
                _log.info("promoting a learner to voter", name=learner.name)
                return members.with_voter(learner.name)
        return self._without_lost(members) if self._auto_join is not None else None

    async def _with_joining_learner(self, auto_join: AutoJoin) -> Members | None:
        """Return the members with one more learner, ``None`` if none can join now."""
        if self._now() - self._auto_join_checked_at < AUTO_JOIN_INTERVAL_SECONDS:
            return None
        self._auto_join_checked_at = self._now()
        members = self._state.members
        names = [name for name in auto_join.live_names() if members.find(name) is None]
        identities = await self._identification.ask_all(names)
        if self._state.members != members:
            return None
        for name, identity in identities.items():
            if identity.role == STOPPING:
                continue
            _log.info("adding a replica as learner", name=name, empty=identity.is_empty)
            return members.with_learner(Member(name, identity.incarnation))
        return None

    def _needs_voter(self, members: Members) -> bool:
        if self._auto_join is None:
            return True
        left = [voter for voter in members.voters if not self._must_replace(voter)]
        return len(left) < _target_voter_count(members)

    def _without_lost(self, members: Members) -> Members | None:
        """Return the members without one replaced voter or one lost learner."""
        for voter in members.voters:
            remaining = members.without(voter.name)
            has_successor = len(remaining.voters) >= _target_voter_count(members)
            if not self._must_replace(voter) or not has_successor:
                continue
            if self._has_responsive_quorum(remaining):
                if voter in self._retiring:
                    _log.info("votes out a stopping replica", name=voter.name)
                else:
                    _log.warning("votes out a lost replica", name=voter.name)
                return remaining
        for learner in members.learners:
            silence = self._now() - self._state.lease.answered_at(learner.name)
            leading_seconds = self._now() - self._leadership.leader_since
            if min(silence, leading_seconds) > LEARNER_REMOVAL_SECONDS:
                _log.warning("removing a lost learner", name=learner.name)
                return members.without(learner.name)
        return None

    def _must_replace(self, voter: Member) -> bool:
        return voter in self._retiring or self._is_lost(voter)

    def _is_lost(self, voter: Member) -> bool:
        """Return whether a voter has been silent for too long."""
        state = self._state
        if voter.name == state.name:
            return False
        patience = (
            VOTER_REPLACEMENT_SECONDS
            if self._auto_join is None
            else self._auto_join.replacement_seconds
        )
        silence = self._now() - state.lease.answered_at(voter.name)
        leading_seconds = self._now() - self._leadership.leader_since
        if voter.name == state.followed and leading_seconds > LEASE_SECONDS:
            # The leader before this one was heard until the election was due.
            return min(silence, self._now() - state.last_contact) > patience
        return min(silence, leading_seconds) > patience

    def _may_replace(self, members: Members, name: VmName) -> bool:
        return self._has_responsive_quorum(members.without(name))

    def _has_caught_up(self, learner: Member) -> bool:
        peer = self._leadership.peers_by_name.get(learner.name)
        if peer is None or peer.member != learner:
            return False
        lag = self._state.log.last_index - peer.match_index
        return (
            self._is_responsive(learner.name)
            and peer.match_index >= self._state.members_index
            and lag <= MAX_LEARNER_LAG_ENTRIES
        )

    def _has_responsive_quorum(self, members: Members) -> bool:
        responsive = [v for v in members.voters if self._is_responsive(v.name)]
        return len(responsive) >= members.quorum

    def _is_responsive(self, name: VmName) -> bool:
        if name == self._state.name:
            return True
        silence = self._now() - self._state.lease.answered_at(name)
        return silence < LEASE_SECONDS

    def _now(self) -> Seconds:
        return self._state.now()


def _target_voter_count(members: Members) -> int:
    if len(members.all) >= LARGE_GROUP_VOTERS:
        return LARGE_GROUP_VOTERS
    return SMALL_GROUP_VOTERS


def _refused(message: str) -> ReplicaChangeOutcome:
    return ReplicaChangeOutcome(False, message)
