"""Claim records of at-most-once requests and the messages that carry them."""

from enum import Enum
from typing import NamedTuple

from poplarlug.types import AccountName, VmName, ZoneName


class ClaimKey(NamedTuple):
    """An account's idempotency key, and the zone whose entries hold its claim."""

    zone: ZoneName
    account: AccountName
    key: str


class ClaimAttempt(NamedTuple):
    """
    One attempt of an entry to own a key; not reused once it was released.

    Parameters
    ----------
    incarnation : str
        Random identifier of one run of the owner's process.
    number : int
        Sequence number of the attempt within that run.
    """

    owner: VmName
    incarnation: str
    number: int


class ClaimState(Enum):
    """
    State of a claim at a holder.

    The request of a ``CLAIMED`` claim may be about to run, running, or lost with
    its owner; that of a ``RELEASED`` claim has not run and won't run under the
    same attempt.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(NamedTuple):
    """A complete answer, replayed when the request is resent."""

    status: int
    content_type: str
    body: bytes
    served_by: str = ""
    zone: ZoneName = ""


class ClaimRecord(NamedTuple):
    """
    A holder's record of a key.

    Parameters
    ----------
    fingerprint : str
        Hash of the request, which detects reuse of a key for another request.
    answer : StoredAnswer or None
        ``None`` with ``DONE`` if the answer was too large to store.
    released : tuple of ClaimAttempt
        Most recent released attempts, whose delayed claims are refused.
    """

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None
    released: tuple[ClaimAttempt, ...] = ()


class ClaimRequest(NamedTuple):
    """Request for a holder's vote."""

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str


class Vote(Enum):
    """
    A holder's reply to a claim.

    ``RECOVERING`` and ``FULL`` carry no information about the key.
    """

    GRANTED = "granted"
    HELD = "held"
    STALE = "stale"
    RECOVERING = "recovering"
    FULL = "full"


class ClaimReply(NamedTuple):
    vote: Vote
    record: ClaimRecord | None = None


class ClaimUpdate(NamedTuple):
    """Outcome of an attempt, reported by its owner."""

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str
    state: ClaimState
    answer: StoredAnswer | None = None


class UpdateReply(NamedTuple):
    taken: bool


class JoinRequest(NamedTuple):
    """Request for the state of ``attempt``, waiting up to ``wait_seconds`` for it."""

    key: ClaimKey
    attempt: ClaimAttempt
    wait_seconds: float


class JoinReply(NamedTuple):
    """
    State of an attempt at its owner.

    Parameters
    ----------
    state : ClaimState
        ``CLAIMED`` while it runs; ``UNKNOWN`` also if the owner has no record of
        it.
    """

    state: ClaimState
    answer: StoredAnswer | None = None


class CopyRequest(NamedTuple):
    """Request for all claims shared by the peer and the sender of ``incarnation``."""

    zone: ZoneName
    incarnation: str


class CopyPage(NamedTuple):
    """
    One page of a peer's claims.

    Parameters
    ----------
    status : str
        ``ready``; ``recovering``; ``empty`` from a peer that lost all claims or
        never had any; or ``vouched`` from a peer that found the zone empty at its
        first start, with the sender's incarnation among the empty ones.
    incarnation : str
        Incarnation of the replying peer.
    remaining_seconds : tuple of float
        Remaining lifetime of each record, in the order of ``records``.
    """

    status: str
    incarnation: str = ""
    records: tuple[ClaimRecord, ...] = ()
    remaining_seconds: tuple[float, ...] = ()
