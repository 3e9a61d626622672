"""Claims of at-most-once requests and the messages about them."""

from enum import Enum
from typing import NamedTuple

from poplarlug.types import AccountName, VmName, ZoneName


class ClaimKey(NamedTuple):
    """An account's idempotency key and the zone whose entries hold its claim."""

    zone: ZoneName
    account: AccountName
    key: str


class ClaimAttempt(NamedTuple):
    """
    One try of one entry to own a key; never used again once it was released.

    Parameters
    ----------
    incarnation : str
        Random name of one run of the owner's process.
    number : int
        Counts the tries of that run.
    """

    owner: VmName
    incarnation: str
    number: int


class ClaimState(Enum):
    """
    What a holder knows of a claim.

    ``CLAIMED`` may be about to run, running or lost with its owner;
    ``RELEASED`` was never run and never will be by that attempt.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(NamedTuple):
    """A whole answer that is replayed to a resend."""

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
        Hash of the request, so that a key is not used for another one.
    answer : StoredAnswer or None
        ``None`` with ``DONE`` when the answer was too large to keep.
    released : tuple of ClaimAttempt
        Latest attempts that gave the key up; their late claims are refused.
    """

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None
    released: tuple[ClaimAttempt, ...] = ()


class ClaimRequest(NamedTuple):
    """Asks a holder for its vote."""

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str


class Vote(Enum):
    """
    A holder's answer to a claim.

    ``RECOVERING`` and ``FULL`` say nothing about the key.
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
    """The owner's word on how its attempt ended."""

    key: ClaimKey
    attempt: ClaimAttempt
    fingerprint: str
    state: ClaimState
    answer: StoredAnswer | None = None


class UpdateReply(NamedTuple):
    taken: bool


class JoinRequest(NamedTuple):
    """Asks an owner how ``attempt`` stands, waiting for its end for a while."""

    key: ClaimKey
    attempt: ClaimAttempt
    wait_seconds: float


class JoinReply(NamedTuple):
    """
    How an attempt stands.

    Parameters
    ----------
    state : ClaimState
        ``CLAIMED`` while it runs; ``UNKNOWN`` also when the owner knows
        nothing of it.
    """

    state: ClaimState
    answer: StoredAnswer | None = None


class CopyRequest(NamedTuple):
    """Asks a peer for all claims that both hold; names the asker's incarnation."""

    zone: ZoneName
    incarnation: str


class CopyPage(NamedTuple):
    """
    A part of a peer's claims.

    Parameters
    ----------
    status : str
        ``ready``, ``recovering``, ``empty`` for a peer that lost all or never
        had any, or ``vouched`` by a peer that found the zone empty at its first
        start, with the asker's incarnation among the empty ones.
    incarnation : str
        The answering peer's.
    remaining_seconds : tuple of float
        Life left of each record, in their order.
    """

    status: str
    incarnation: str = ""
    records: tuple[ClaimRecord, ...] = ()
    remaining_seconds: tuple[float, ...] = ()
