"""A control replica's credit: drawn from the leader, spent by entries' requests."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection
from random import Random

from returns.result import Failure, Result

from poplarlug.logs import ComponentLogger
from poplarlug.quotas.leading import CreditGiver
from poplarlug.quotas.ledger import QuotaBounds
from poplarlug.quotas.messages import (
    DRAW_TOPIC,
    Draw,
    DrawBatch,
    DrawOutcome,
    DrawReply,
    StockAnswers,
    StockQuestion,
    StockQuestions,
)
from poplarlug.quotas.metrics import DRAWS, QUESTIONS, STOCK, team_label
from poplarlug.quotas.stock import Asked, CreditStock, Spending
from poplarlug.teams import Team
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

ASK_INTERVAL_SECONDS = 0.25
"""Interval between questions to the leader while teams are in use."""

MIN_ASK_INTERVAL_SECONDS = 0.03
"""Interval between further questions, for requests that wait for credit."""

ASK_TIMEOUT_SECONDS = 0.5
"""A few round trips between regions."""

IDLE_ASK_SECONDS = 0.5
"""Interval between questions without a team in use; a new leader then soon knows what
all replicas have."""

DRAW_WAIT_SECONDS = 0.3
"""How long a request waits for the leader's answer: two round trips between the
farthest regions, as another question may be on its way already."""

NO_LEADER_RETRY_SECONDS = 0.5
"""When a request may come back that found no credit while no leader answered."""

AskLeader = Callable[[StockQuestions], Awaitable[Result[StockAnswers, str]]]

_log = ComponentLogger(prefix="quotas")


class QuotaService:
    """
    Charge entries' requests to credit of their teams, and keep a stock of it.

    Load pattern: hundreds of requests a second of some teams, of which one may be far
    over its quota. Requests are charged from the stock at once; one that finds it empty
    waits for the leader's next answer, unless the last one was short as well. What was
    answered to questions from before a change of the table says nothing of a lack.

    Parameters
    ----------
    name : VmName
        This replica among the holders of credit.
    ask_leader : callable
        Sends a question to the leader.
    term : callable
        Returns the term of the control group.
    members : callable
        Returns the names of all members of the control group.
    team : callable
        Returns a team of the table in force by its name.
    has_quotas : callable
        Returns whether the table has teams with quotas.
    table_version : callable
        Returns the version of the table at this replica.
    uptime : callable
        Returns seconds of uptime, including time while the VM was suspended.
    """

    def __init__(
        self,
        *,
        name: VmName,
        bounds: QuotaBounds,
        transport: Transport,
        ask_leader: AskLeader,
        term: Callable[[], int],
        members: Callable[[], Collection[VmName]],
        team: Callable[[str], Team | None],
        has_quotas: Callable[[], bool],
        table_version: Callable[[], int],
        rng: Random,
        uptime: Callable[[], Seconds],
    ) -> None:
        self._name = name
        self._bounds = bounds
        self._ask_leader = ask_leader
        self._term = term
        self._members = members
        self._team = team
        self._has_quotas = has_quotas
        self._table_version = table_version
        self._rng = rng
        self._uptime = uptime
        self._started_at = uptime()
        self._giver: CreditGiver | None = None
        self._seen_at_by_member: dict[VmName, Seconds] = {}
        self._stocks_by_team: dict[str, CreditStock] = {}
        self._spendings_by_id: dict[int, tuple[CreditStock, Spending]] = {}
        self._charge_id = rng.getrandbits(48)
        self._process = rng.getrandbits(48)
        self._number = self._answered = self._process
        self._known_giver = ""
        self._latest_giver = ""
        self._latest_giver_at = self._former_giver_at = -math.inf
        self._asked = asyncio.Event()
        self._changed = asyncio.Condition()
        transport.serve(DRAW_TOPIC, DrawBatch, self._serve_draws)

    async def answer_question(self, asked: StockQuestions) -> StockAnswers:
        """Answer a replica's question, as the leader."""
        term = self._term()
        if self._giver is None or self._giver.term != term:
            self._giver = CreditGiver(
                term=term,
                bounds=self._bounds,
                holders=self._recent_members(),
                team=self._team,
                rng=self._rng,
                clock=self._uptime,
            )
        return self._giver.answer(asked)

    async def run(self) -> None:
        """Report to the leader and draw credit from it, until cancelled."""
        while True:
            started = self._uptime()
            interval = IDLE_ASK_SECONDS
            # Also without a question, so that members that leave are remembered.
            self._recent_members()
            # Entries may have another table, and draw for a team that has no quota here.
            if self._has_quotas() or self._stocks_by_team:
                questions = self._questions(is_complete=not self._known_giver)
                await self._ask(questions)
                if questions.questions:
                    interval = ASK_INTERVAL_SECONDS
            left = interval - (self._uptime() - started)
            try:
                async with asyncio.timeout(max(MIN_ASK_INTERVAL_SECONDS, left)):
                    await self._asked.wait()
                self._asked.clear()
                left = MIN_ASK_INTERVAL_SECONDS - (self._uptime() - started)
                await asyncio.sleep(max(0.0, left))
            except TimeoutError:
                # The next report is due.
                continue

    def _questions(self, *, is_complete: bool) -> StockQuestions:
        now = self._uptime()
        self._forget(now)
        questions = []
        for team, stock in list(self._stocks_by_team.items()):
            wanted = stock.wanted(now)
            lots = stock.reports(now, is_complete=is_complete)
            STOCK.labels(team_label(team)).set(stock.left(now))
            if stock.is_forgettable(now):
                del self._stocks_by_team[team]
            elif wanted > 0 or lots:
                questions.append(StockQuestion(team, wanted, stock.request_size, lots))
        self._number += 1
        return StockQuestions(
            self._name,
            self._process,
            self._number,
            self._answered,
            now - self._started_at,
            is_complete,
            min(1e6, now - self._former_giver_at),
            tuple(questions),
            tuple(sorted(self._recent_members() - set(self._members()))),
        )

    def _recent_members(self) -> set[VmName]:
        """
        Return the members of the group, and those whose credit may still count.

        Load pattern: replicas are stopped in turn, and leave the group; the next one is
        the leader, which alone knew what the others had spent.
        """
        now = self._uptime()
        self._seen_at_by_member.update(dict.fromkeys(self._members(), now))
        oldest = now - self._bounds.blind_seconds
        for name, seen_at in list(self._seen_at_by_member.items()):
            if seen_at < oldest:
                del self._seen_at_by_member[name]
        return set(self._seen_at_by_member)

    async def _ask(self, questions: StockQuestions) -> None:
        asked = Asked(self._uptime(), self._table_version())
        answer = await self._ask_leader(questions)
        if isinstance(answer, Failure):
            QUESTIONS.labels("failed").inc()
            _log.debug("the leader gave no credit", reason=answer.failure())
        else:
            QUESTIONS.labels("answered").inc()
            self._accept(questions, answer.unwrap(), asked)
        async with self._changed:
            self._changed.notify_all()

    def _accept(
        self, questions: StockQuestions, answers: StockAnswers, asked: Asked
    ) -> None:
        self._answered = questions.number
        if answers.giver != self._latest_giver:
            self._latest_giver = answers.giver
            self._former_giver_at = self._latest_giver_at
            self._latest_giver_at = asked.at
        if answers.needs_all:
            _log.info("reports all credit", giver=answers.giver)
            self._known_giver = ""
            self._asked.set()
            return
        self._known_giver = answers.giver
        wanted_by_team = {}
        for question in questions.questions:
            wanted_by_team[question.team] = question.wanted
            self._stocks_by_team[question.team].confirm(question.lots)
        for given in answers.answers:
            self._stocks_by_team[given.team].accept(
                given,
                giver=answers.giver,
                wanted=wanted_by_team[given.team],
                asked=asked,
            )

    async def _serve_draws(self, sender: VmName, batch: DrawBatch) -> DrawReply:
        for charge_id in batch.returned:
            returned = self._spendings_by_id.pop(charge_id, None)
            if returned is not None:
                stock, spending = returned
                stock.take_back(spending)
        outcomes = await asyncio.gather(*(self._draw(draw) for draw in batch.draws))
        return DrawReply(tuple(outcomes))

    async def _draw(self, draw: Draw) -> DrawOutcome:
        arrived = self._uptime()
        stock = self._stocks_by_team.get(draw.team)
        if stock is None:
            stock = CreditStock(window_seconds=self._bounds.window_seconds)
            self._stocks_by_team[draw.team] = stock
        stock.note_demand(draw.amount, arrived)
        outcome = self._charge(stock, draw)
        if outcome is None and not self._is_short(
            stock, arrived - ASK_INTERVAL_SECONDS
        ):
            outcome = await self._wait_for_credit(stock, draw)
        label = team_label(draw.team)
        DRAWS.labels(label, "refused" if outcome is None else "charged").inc()
        if outcome is not None:
            return outcome
        is_answered = self._is_short(stock, arrived - 2 * ASK_INTERVAL_SECONDS)
        is_limited = is_answered and stock.is_limited
        retry = stock.retry_seconds if is_answered else NO_LEADER_RETRY_SECONDS
        return DrawOutcome(0, retry, is_answered and not is_limited, is_limited)

    async def _wait_for_credit(
        self, stock: CreditStock, draw: Draw
    ) -> DrawOutcome | None:
        arrived = self._uptime()
        outcome = None
        try:
            async with asyncio.timeout(DRAW_WAIT_SECONDS):
                while outcome is None and not self._is_short(stock, arrived):
                    # Others that wait may have spent what the last answer gave.
                    self._asked.set()
                    async with self._changed:
                        await self._changed.wait()
                    outcome = self._charge(stock, draw)
        except TimeoutError:
            _log.debug("no credit came in time", team=draw.team)
        return outcome

    def _is_short(self, stock: CreditStock, since: Seconds) -> bool:
        return stock.is_short(since=since, table_version=self._table_version())

    def _charge(self, stock: CreditStock, draw: Draw) -> DrawOutcome | None:
        now = self._uptime()
        if now < stock.unlimited_until:
            return DrawOutcome(self._next_charge_id())
        spending = stock.spend(draw.amount, now)
        if spending is None:
            return None
        charge_id = self._next_charge_id()
        self._spendings_by_id[charge_id] = stock, spending
        return DrawOutcome(charge_id)

    def _next_charge_id(self) -> int:
        self._charge_id += 1
        return self._charge_id

    def _forget(self, now: Seconds) -> None:
        """Forget the charges that have left the window."""
        while self._spendings_by_id:
            charge_id = next(iter(self._spendings_by_id))
            if (
                self._spendings_by_id[charge_id][1].at
                > now - self._bounds.window_seconds
            ):
                return
            del self._spendings_by_id[charge_id]
