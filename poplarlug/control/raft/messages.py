"""Messages between the control replicas."""

from typing import NamedTuple

from poplarlug.control.log_storage import Entry

VOTE_TOPIC = "raft.vote"
APPEND_TOPIC = "raft.append"
INSTALL_TOPIC = "raft.install"
IDENTITY_TOPIC = "raft.identity"
CHANGE_REPLICA_TOPIC = "raft.change_replica"


class VoteRequest(NamedTuple):
    """
    Ask for a vote, or whether one would be given.

    Parameters
    ----------
    voter_incarnation : str
        Incarnation of the voter that the candidate's members hold.
    pre_vote : bool
        Whether nothing is voted yet.
    """

    term: int
    candidate_incarnation: str
    voter_incarnation: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(NamedTuple):
    """
    A vote, or its refusal.

    Parameters
    ----------
    granted_if_unanimous : bool
        Whether it would count if all voters gave theirs. The sender started lately
        and doesn't know whose lease it renewed before.
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
        Incarnation of the receiver that the leader's members hold.
    """

    term: int
    member_incarnation: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class AppendReply(NamedTuple):
    """
    What became of an :class:`AppendRequest`.

    Parameters
    ----------
    match_index : int
        Up to where the receiver's log is durable and the leader's own, or,
        when the request was not accepted, from where to try again.
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
    What became of an :class:`InstallRequest`.

    Parameters
    ----------
    offset : int
        Where the next chunk has to start.
    installed : bool
        Whether the receiver holds the state of the whole snapshot.
    """

    term: int
    incarnation: str
    offset: int
    installed: bool


class IdentityRequest(NamedTuple):
    """Ask a replica who it is."""


class Identity(NamedTuple):
    """
    Who a replica is and where it stands.

    Parameters
    ----------
    is_empty : bool
        Whether it holds no entry and no snapshot.
    """

    name: str
    incarnation: str
    is_empty: bool
    role: str
    term: int
    last_index: int
    commit_index: int


class ReplicaChange(NamedTuple):
    """Ask the leader to ``add`` or ``remove`` a replica."""

    action: str
    name: str


class ReplicaChangeOutcome(NamedTuple):
    accepted: bool
    message: str
