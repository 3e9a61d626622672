"""The leader's answers to control replicas that ask for credit."""

from collections.abc import Callable, Collection
from random import Random

from poplarlug.logs import ComponentLogger
from poplarlug.quotas.ledger import CreditLedger, QuotaBounds
from poplarlug.quotas.messages import (
    StockAnswer,
    StockAnswers,
    StockQuestion,
    StockQuestions,
)
from poplarlug.teams import Quota, Team
from poplarlug.types import Seconds, VmName

_log = ComponentLogger(prefix="quotas")


class CreditGiver:
    """
    Ledgers of all teams in one term of leadership.

    Parameters
    ----------
    term : int
        The term; another one needs another giver, as credit may have been given in
        between.
    holders : collection of VmName
        All members of the control group, and those that have left it of late.
    team : callable
        Returns a team of the table in force, ``None`` if it has none of the name.
    """

    def __init__(
        self,
        *,
        term: int,
        bounds: QuotaBounds,
        holders: Collection[VmName],
        team: Callable[[str], Team | None],
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self.term = term
        self.id = f"{term}/{rng.getrandbits(48):x}"
        self._bounds = bounds
        self._holders = set(holders)
        self._team = team
        self._clock = clock
        self._started_at = clock()
        self._has_reserve = True
        self._complete: set[VmName] = set()
        self._reported: set[VmName] = set()
        self._processes_by_holder: dict[VmName, int] = {}
        self._numbers_by_holder: dict[VmName, int] = {}
        self._ledgers_by_team: dict[str, CreditLedger] = {}
        _log.info("gives credit", giver=self.id, holders=len(holders))

    def answer(self, asked: StockQuestions) -> StockAnswers:
        """Take in a holder's reports and return credit, if it has reported all."""
        holder = asked.holder
        if self._processes_by_holder.get(holder) != asked.process:
            self._processes_by_holder[holder] = asked.process
            self._numbers_by_holder.pop(holder, None)
            self._reported.discard(holder)
        if asked.number <= self._numbers_by_holder.get(holder, 0):
            return StockAnswers(self.id)
        self._numbers_by_holder[holder] = asked.number
        self._note_former(asked.former_holders)
        now = self._clock()
        for question in asked.questions:
            ledger = self._ledger(question.team)
            for lot in question.lots:
                ledger.report(holder, lot, now)
        if asked.former_giver_seconds < self._bounds.blind_seconds:
            self._has_reserve = False
        if asked.is_complete:
            self._reported.add(holder)
        if holder not in self._reported:
            return StockAnswers(self.id, needs_all=True)
        # A process that has run for less knows not all that was spent at its VM.
        if asked.age_seconds >= self._bounds.window_seconds:
            self._note_complete(holder)
        for ledger in self._ledgers_by_team.values():
            ledger.note_lost(holder, after=asked.answered, before=asked.number)
        answers = [
            self._give(holder, asked.number, question, now)
            for question in asked.questions
            if question.wanted > 0
        ]
        return StockAnswers(self.id, answers=tuple(answers))

    def _note_former(self, holders: Collection[VmName]) -> None:
        """Count holders that left the group before this replica was in it."""
        for holder in set(holders) - self._holders:
            self._holders.add(holder)
            _log.info("counts credit of a former holder", holder=holder)
            for ledger in self._ledgers_by_team.values():
                ledger.note_former(holder)

    def _note_complete(self, holder: VmName) -> None:
        if holder in self._complete:
            return
        self._complete.add(holder)
        for ledger in self._ledgers_by_team.values():
            ledger.note_complete(holder)

    def _give(
        self, holder: VmName, number: int, question: StockQuestion, now: Seconds
    ) -> StockAnswer:
        team = self._team(question.team)
        if team is not None and team.quota is None:
            return StockAnswer(question.team, amount=question.wanted, is_unlimited=True)
        lot = self._ledger(question.team).give(
            holder,
            giver=self.id,
            question=number,
            quota=Quota(0.0) if team is None or team.quota is None else team.quota,
            wanted=question.wanted,
            request_size=question.request_size,
            now=now,
            has_reserve=self._has_reserve,
        )
        return StockAnswer(
            question.team,
            lot.number,
            lot.amount,
            lot.life_seconds,
            lot.is_tight,
            lot.retry_seconds,
            lot.is_limited,
        )

    def _ledger(self, team: str) -> CreditLedger:
        ledger = self._ledgers_by_team.get(team)
        if ledger is None:
            ledger = CreditLedger(
                bounds=self._bounds,
                holders=self._holders,
                started_at=self._started_at,
            )
            for holder in self._complete:
                ledger.note_complete(holder)
            self._ledgers_by_team[team] = ledger
        return ledger
