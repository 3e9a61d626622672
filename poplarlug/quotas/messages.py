"""Messages about credit between entries, control replicas and their leader."""

from typing import NamedTuple

from poplarlug.types import Seconds, VmName

DRAW_TOPIC = "quota.draw"
STOCK_CALL = "quota_stock"


class Draw(NamedTuple):
    """One request of a team, in units of its quota."""

    team: str
    amount: float


class DrawBatch(NamedTuple):
    """
    Requests to charge, and charges to take back, from an entry to a replica.

    Parameters
    ----------
    returned : tuple of int
        Ids of charges of requests that were refused without having run.
    """

    draws: tuple[Draw, ...] = ()
    returned: tuple[int, ...] = ()


class DrawOutcome(NamedTuple):
    """
    Whether a request was charged.

    Parameters
    ----------
    charge_id : int
        0 if it was not.
    retry_seconds : float
        When there may be credit for it.
    is_over : bool
        Whether the quota is used up; else another replica may have credit.
    is_limited : bool
        Whether this replica has as much of the quota as one may have.
    """

    charge_id: int = 0
    retry_seconds: Seconds = 0.0
    is_over: bool = False
    is_limited: bool = False


class DrawReply(NamedTuple):
    """One outcome for each draw, in their order."""

    outcomes: tuple[DrawOutcome, ...]


class LotReport(NamedTuple):
    """
    What a holder has spent of a lot of credit.

    Parameters
    ----------
    giver, number
        Identify the lot.
    amount, spent : float
        Its whole amount, and how much of it was spent so far.
    spent_age : float
        Seconds since it was last spent from.
    ends_in : float
        Seconds until it ends; 0 or less once nothing more is spent from it.
    """

    giver: str
    number: int
    amount: float
    spent: float
    spent_age: Seconds
    ends_in: Seconds


class StockQuestion(NamedTuple):
    """
    A holder's wish for credit for a team, and what became of former credit.

    Parameters
    ----------
    wanted : float
        Amount that it asks for; 0 to report only.
    request_size : float
        Amount of a typical request; credit for less is of no use.
    """

    team: str
    wanted: float = 0.0
    request_size: float = 0.0
    lots: tuple[LotReport, ...] = ()


class StockQuestions(NamedTuple):
    """
    Questions of a holder for all its teams.

    Parameters
    ----------
    process : int
        Differs between processes of the same name; their numbers don't overlap.
    number, answered : int
        Number of this message, and of the latest one whose answer arrived; credit given
        in answer to those between them was lost.
    age_seconds : float
        How long its process has run; of a former one it knows nothing.
    is_complete : bool
        Whether all lots of the last window are reported, not the changed ones only.
    former_giver_seconds : float
        Time since its first answer from the giver before.
    former_holders : tuple of VmName
        Those that have left the group, and whose credit may still count.
    """

    holder: VmName
    process: int
    number: int
    answered: int
    age_seconds: Seconds
    is_complete: bool
    former_giver_seconds: Seconds = 1e6
    questions: tuple[StockQuestion, ...] = ()
    former_holders: tuple[VmName, ...] = ()


class StockAnswer(NamedTuple):
    """
    Credit for a team.

    Parameters
    ----------
    lot : int
        Number of the lot; 0 without new credit.
    life_seconds : float
        How long it may be spent, counted from the question.
    is_tight : bool
        Whether little of the quota is left.
    retry_seconds : float
        When more of the quota becomes free.
    is_limited : bool
        Whether other holders may get credit, as this one has its largest share.
    is_unlimited : bool
        Whether the team has no quota any more.
    """

    team: str
    lot: int = 0
    amount: float = 0.0
    life_seconds: Seconds = 0.0
    is_tight: bool = False
    retry_seconds: Seconds = 0.0
    is_limited: bool = False
    is_unlimited: bool = False


class StockAnswers(NamedTuple):
    """
    Answers of a giver.

    Parameters
    ----------
    giver : str
        Differs between any two that don't know of each other's credit.
    needs_all : bool
        Whether it gives nothing before a complete report.
    """

    giver: str
    needs_all: bool = False
    answers: tuple[StockAnswer, ...] = ()
