"""A control replica's stock of credit for its entries' requests of one team."""

import math
from typing import NamedTuple

from poplarlug.quotas.messages import LotReport, StockAnswer
from poplarlug.types import Seconds

DEMAND_SECONDS = 1.0
"""Averaging time of demand; a team's peak moves between regions within seconds."""

AMPLE_STOCK_SECONDS = 2.0
"""Demand that the stock covers while much of the quota is left; an election of a leader
takes no longer."""

TIGHT_STOCK_SECONDS = 0.5
RENEW_SECONDS = 0.6
"""Credit that ends sooner is no part of the stock any more; a question and its answer
take less."""

IN_USE_SECONDS = 60.0
"""A stock is held for teams with a request within this time; a peak that returns to a
region then finds one."""

UNLIMITED_SECONDS = 2.0
"""How long requests aren't charged after the leader said that the team has no quota."""

AMPLE_REQUESTS = 2
"""Requests that the stock covers at least while much is left."""


class HeldLot:
    """Credit that may be spent until it ends."""

    def __init__(
        self, *, giver: str, number: int, amount: float, ends_at: Seconds
    ) -> None:
        self.giver = giver
        self.number = number
        self.amount = amount
        self.ends_at = ends_at
        self.spent = 0.0
        self.spent_at = -math.inf
        self.is_changed = False
        self.is_end_reported = False

    @property
    def left(self) -> float:
        return self.amount - self.spent

    def needs_report(self, now: Seconds) -> bool:
        return self.is_changed or (self.ends_at <= now and not self.is_end_reported)

    def report(self, now: Seconds) -> LotReport:
        spent_age = min(1e6, now - self.spent_at)
        return LotReport(
            self.giver,
            self.number,
            self.amount,
            self.spent,
            spent_age,
            self.ends_at - now,
        )


class Asked(NamedTuple):
    """When the leader was asked, and the version of the table here at that time."""

    at: Seconds
    table_version: int


NEVER = Asked(-math.inf, -1)


class Spending(NamedTuple):
    """What one request took from which lots."""

    lots: tuple[tuple[HeldLot, float], ...]
    at: Seconds


class CreditStock:
    """
    Lots of credit, and the demand by which more of it is drawn.

    Load pattern: a team that is far under its quota gets its credit here at once, also
    while there is no leader for a moment; one that is at its quota holds little here
    that other replicas could use.

    Parameters
    ----------
    window_seconds : float
        How long lots are remembered after their end, for a new giver.
    """

    def __init__(self, *, window_seconds: Seconds) -> None:
        self._window_seconds = window_seconds
        self._lots: list[HeldLot] = []
        self._demand = 0.0
        self._noted_at: Seconds | None = None
        self.request_size = 0.0
        self.is_tight = False
        self.is_limited = False
        self.unlimited_until = -math.inf
        # The latest question, if the leader gave less than wanted.
        self._short = NEVER
        self.retry_seconds: Seconds = 0.0

    def demand(self, now: Seconds) -> float:
        """Return the demand per second, of charged and refused requests."""
        if self._noted_at is None:
            return 0.0
        return self._demand * math.exp((self._noted_at - now) / DEMAND_SECONDS)

    def note_demand(self, amount: float, now: Seconds) -> None:
        self._demand = self.demand(now) + amount / DEMAND_SECONDS
        self._noted_at = now
        self.request_size = max(amount, 0.9 * self.request_size)

    def is_in_use(self, now: Seconds) -> bool:
        return self._noted_at is not None and now - self._noted_at < IN_USE_SECONDS

    def is_forgettable(self, now: Seconds) -> bool:
        """Return whether nothing is left to draw, to spend or to report."""
        return not self._lots and not self.is_in_use(now)

    def is_short(self, *, since: Seconds, table_version: int) -> bool:
        """
        Return whether the leader has too little, as far as is known.

        It has if it was last asked at ``since`` or later and gave less than was wanted.
        The question must not be older than the table that is in force here, as a newer
        one may raise the quota.
        """
        return self._short.at >= since and self._short.table_version == table_version

    def left(self, now: Seconds) -> float:
        """Return what may be spent."""
        return sum(lot.left for lot in self._lots if lot.ends_at > now)

    def wanted(self, now: Seconds) -> float:
        """Return how much credit to ask for."""
        if not self.is_in_use(now):
            return 0.0
        seconds = TIGHT_STOCK_SECONDS if self.is_tight else AMPLE_STOCK_SECONDS
        requests = 1 if self.is_tight else AMPLE_REQUESTS
        target = max(self.demand(now) * seconds, requests * self.request_size)
        return max(0.0, target - self.left(now + RENEW_SECONDS))

    def spend(self, amount: float, now: Seconds) -> Spending | None:
        """Charge a request; return ``None`` if there is too little credit."""
        if self.left(now) < amount:
            return None
        taken = []
        rest = amount
        for lot in sorted(self._lots, key=lambda lot: lot.ends_at):
            if lot.ends_at <= now or lot.left <= 0:
                continue
            part = min(rest, lot.left)
            lot.spent += part
            lot.spent_at = now
            lot.is_changed = True
            taken.append((lot, part))
            rest -= part
            if rest <= 0:
                break
        return Spending(tuple(taken), now)

    def take_back(self, spending: Spending) -> None:
        """Undo the charge of a request that never ran."""
        for lot, part in spending.lots:
            lot.spent = max(0.0, lot.spent - part)
            lot.is_changed = True

    def reports(self, now: Seconds, *, is_complete: bool) -> tuple[LotReport, ...]:
        """Return reports of changed lots, or of all that were held in the window."""
        self._lots = [
            lot for lot in self._lots if lot.ends_at + self._window_seconds > now
        ]
        return tuple(
            lot.report(now)
            for lot in self._lots
            if is_complete or lot.needs_report(now)
        )

    def confirm(self, reports: tuple[LotReport, ...]) -> None:
        """Record that the giver has these reports."""
        by_id = {(report.giver, report.number): report for report in reports}
        for lot in self._lots:
            report = by_id.get((lot.giver, lot.number))
            if report is not None:
                lot.is_changed = lot.spent != report.spent
                lot.is_end_reported = report.ends_in <= 0

    def accept(
        self, answer: StockAnswer, *, giver: str, wanted: float, asked: Asked
    ) -> None:
        """Take in an answer; the life of its credit counts from the question."""
        self.is_tight = answer.is_tight
        self.is_limited = answer.is_limited
        self.retry_seconds = answer.retry_seconds
        if answer.is_unlimited:
            self.unlimited_until = asked.at + UNLIMITED_SECONDS
            return
        self.unlimited_until = -math.inf
        if wanted > 0:
            # A full answer also ends what an earlier one said, as after a raise.
            self._short = asked if answer.amount < wanted else NEVER
        if answer.lot:
            ends_at = asked.at + answer.life_seconds
            self._lots.append(
                HeldLot(
                    giver=giver,
                    number=answer.lot,
                    amount=answer.amount,
                    ends_at=ends_at,
                )
            )
