"""Charges callers' requests to the quotas of their teams."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from prometheus_client import Counter
from returns.result import Failure, Result, Success

from poplarlug.errors import GatewayError, not_run, over_quota
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.quotas.messages import (
    DRAW_TOPIC,
    Draw,
    DrawBatch,
    DrawReply,
)
from poplarlug.teams import Team
from poplarlug.transport import Transport
from poplarlug.types import Address, Seconds

DRAW_TIMEOUT_SECONDS = 0.45
"""How long a replica may take; one in the own zone answers in a few milliseconds, or
waits at most for its leader's answer."""

MAX_REPLICAS = 3
"""How many replicas are asked for a charge, one after the other. Together, they may
have the whole of a quota."""

UNREACHABLE_RETRY_SECONDS = 0.5
"""Retry time while no replica answers; an entry finds another one within this time."""

_CHARGES = Counter(
    "poplarlug_quota_charges_total",
    "Requests of teams with quotas by outcome.",
    ["outcome"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="quotas")


class Charge(NamedTuple):
    """A charge at a replica, or none (an id of 0) for a team without a quota."""

    replica: Address = ""
    id: int = 0


class _Waiting(NamedTuple):
    """A request to charge, and when a replica that has its share expects more."""

    draw: Draw
    charged: "asyncio.Future[Result[Charge, GatewayError]]"
    retry_seconds: Seconds | None = None


class QuotaCharging:
    """
    Draw credit for requests from a control replica, before they are sent.

    A team's draws of the same iteration of the event loop share a message. The charge dates from
    between the arrival of a request and its first send, as the quota's window counts.

    Parameters
    ----------
    replicas : callable
        Returns the control replicas to ask, the followed one first.
    """

    def __init__(
        self, *, transport: Transport, replicas: Callable[[], Sequence[Address]]
    ) -> None:
        self._transport = transport
        self._replicas = replicas
        self._waiting: list[_Waiting] = []
        self._returned_by_replica: dict[Address, list[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_due = False

    async def charge(
        self, team: Team | None, stated_tokens: int
    ) -> Result[Charge, GatewayError]:
        """
        Charge a request, or return its refusal.

        Parameters
        ----------
        stated_tokens : int
            Tokens of its prompt and of its longest response; 0 if not stated.
        """
        if team is None or team.quota is None:
            return Success(Charge())
        charged: asyncio.Future[Result[Charge, GatewayError]] = (
            asyncio.get_running_loop().create_future()
        )
        draw = Draw(team.name, team.quota.amount(stated_tokens))
        self._waiting.append(_Waiting(draw, charged))
        self._send_soon()
        try:
            result = await charged
        except asyncio.CancelledError:
            if charged.done() and not charged.cancelled():
                self.give_back(charged.result().value_or(Charge()))
            raise
        outcome = "charged" if isinstance(result, Success) else "refused"
        _CHARGES.labels(outcome).inc()
        return result

    def give_back(self, charge: Charge) -> None:
        """Undo the charge of a request that never ran."""
        if not charge.id:
            return
        _CHARGES.labels("given_back").inc()
        self._returned_by_replica.setdefault(charge.replica, []).append(charge.id)
        self._send_soon()

    def _send_soon(self) -> None:
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._start_sending)

    def _start_sending(self) -> None:
        self._is_due = False
        waiting, self._waiting = self._waiting, []
        returned, self._returned_by_replica = self._returned_by_replica, {}
        for replica, charge_ids in returned.items():
            batch = DrawBatch(returned=tuple(charge_ids))
            self._transport.notify(peer=replica, topic=DRAW_TOPIC, message=batch)
        # A team without credit is answered later than the others.
        waiting_by_team: dict[str, list[_Waiting]] = {}
        for one in waiting:
            waiting_by_team.setdefault(one.draw.team, []).append(one)
        for of_team in waiting_by_team.values():
            task = asyncio.ensure_future(self._draw(of_team))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _draw(self, waiting: Sequence[_Waiting]) -> None:
        """Draw at the nearest replica, then what it has no credit for at another."""
        for replica in self._replicas()[:MAX_REPLICAS]:
            waiting = [one for one in waiting if not one.charged.done()]
            if not waiting:
                return
            batch = DrawBatch(tuple(one.draw for one in waiting))
            reply = await self._transport.request(
                peer=replica,
                topic=DRAW_TOPIC,
                message=batch,
                reply_type=DrawReply,
                timeout_seconds=DRAW_TIMEOUT_SECONDS,
            )
            reason = "the outcomes don't match the draws"
            if isinstance(reply, Failure):
                reason = reply.failure().message
            elif len(reply.unwrap().outcomes) == len(waiting):
                waiting = self._settle_known(replica, waiting, reply.unwrap())
                if not waiting:
                    return
                reason = "it can't get credit"
            _log.warning("failed to draw credit", replica=replica, reason=reason)
        message = "no control replica in reach has credit for the team"
        for one in waiting:
            refusal = not_run(message, UNREACHABLE_RETRY_SECONDS)
            if one.retry_seconds is not None:
                refusal = over_quota(one.draw.team, one.retry_seconds)
            _settle(one, Failure(refusal))

    def _settle_known(
        self, replica: Address, waiting: Sequence[_Waiting], reply: DrawReply
    ) -> Sequence[_Waiting]:
        """Settle charged requests and those over the quota; return the others."""
        unknown = []
        for one, outcome in zip(waiting, reply.outcomes, strict=True):
            if outcome.charge_id:
                charge = Charge(replica, outcome.charge_id)
                if one.charged.done():
                    # Its caller has left.
                    self.give_back(charge)
                _settle(one, Success(charge))
            elif outcome.is_over:
                refusal = over_quota(one.draw.team, outcome.retry_seconds)
                _settle(one, Failure(refusal))
            elif outcome.is_limited:
                unknown.append(one._replace(retry_seconds=outcome.retry_seconds))
            else:
                unknown.append(one)
        return unknown


def _settle(waiting: _Waiting, result: Result[Charge, GatewayError]) -> None:
    if not waiting.charged.done():
        waiting.charged.set_result(result)
