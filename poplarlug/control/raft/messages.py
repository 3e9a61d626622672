"""Raft messages between the control replicas."""

from typing import NamedTuple

from poplarlug.control.log_storage import Entry
from poplarlug.types import Seconds

VOTE_TOPIC = "raft.vote"
APPEND_TOPIC = "raft.append"
INSTALL_TOPIC = "raft.install"
IDENTITY_TOPIC = "raft.identity"
CHANGE_REPLICA_TOPIC = "raft.change_replica"
HAND_OVER_TOPIC = "raft.hand_over"
RETIRE_TOPIC = "raft.retire"


class VoteRequest(NamedTuple):
    """
    Request a vote or a pre-vote.

    Parameters
    ----------
    voter_incarnation : str
        Incarnation of the voter according to the candidate's members.
    pre_vote : bool
        Whether the candidate only asks if a vote would be granted; the voter then
        changes neither its term nor its vote.
    is_handed_over : bool
        Whether the leader of the term before gave up its lease for this candidate.
    """

    term: int
    candidate_incarnation: str
    voter_incarnation: str
    last_index: int
    last_term: int
    pre_vote: bool
    is_handed_over: bool = False


class VoteReply(NamedTuple):
    """
    Whether the vote is granted.

    Parameters
    ----------
    granted_if_unanimous : bool
        Whether the vote counts only if all other voters grant theirs. The voter
        started recently and does not know whose lease it renewed before.
    """

    term: int
    incarnation: str
    granted: bool
    granted_if_unanimous: bool = False


class AppendRequest(NamedTuple):
    """
    Entries after ``previous_index``; none in a heartbeat.

    Parameters
    ----------
    member_incarnation : str
        Incarnation of the receiver according to the leader's members.
    """

    term: int
    member_incarnation: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class AppendReply(NamedTuple):
    """
    Outcome of an :class:`AppendRequest`.

    Parameters
    ----------
    match_index : int
        If accepted, the last index up to which the receiver's log is durable and
        matches the leader's; otherwise the index after which to retry.
    """

    term: int
    incarnation: str
    accepted: bool
    match_index: int


class InstallRequest(NamedTuple):
    """A chunk of the leader's encoded snapshot of ``total`` bytes."""

    term: int
    member_incarnation: str
    log_index: int
    total: int
    offset: int
    chunk: bytes


class InstallReply(NamedTuple):
    """
    Outcome of an :class:`InstallRequest`.

    Parameters
    ----------
    offset : int
        Offset in bytes at which the next chunk must start.
    installed : bool
        Whether the receiver holds the whole state of the snapshot or a later one.
    """

    term: int
    incarnation: str
    offset: int
    installed: bool


class IdentityRequest(NamedTuple):
    """Request the identity of a replica."""


class Identity(NamedTuple):
    """
    Identity, role and log position of a replica.

    Parameters
    ----------
    is_empty : bool
        Whether the replica holds no entry and no snapshot.
    """

    name: str
    incarnation: str
    is_empty: bool
    role: str
    term: int
    last_index: int
    commit_index: int


class HandOver(NamedTuple):
    """Ask a voter to lead after ``term``, whose leader has given up its lease."""

    term: int


class HandOverReply(NamedTuple):
    accepted: bool


class RetireRequest(NamedTuple):
    """
    Ask the leader to give a stopping replica's vote to another one.

    Parameters
    ----------
    seconds : float
        How long the replica waits for that.
    """

    incarnation: str
    seconds: Seconds


class RetireReply(NamedTuple):
    """
    What became of a :class:`RetireRequest`.

    Parameters
    ----------
    outcome : str
        ``replaced``, ``no successor``, ``timeout``, or ``not the leader``, which may
        have changed.
    """

    outcome: str


class ReplicaChange(NamedTuple):
    """Ask the leader to ``add`` or ``remove`` a replica."""

    action: str
    name: str


class ReplicaChangeOutcome(NamedTuple):
    accepted: bool
    message: str
