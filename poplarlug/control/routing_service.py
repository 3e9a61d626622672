"""Changes and reads of the routing state at any control replica."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from prometheus_client import Counter
from returns.result import Failure, Result, Success

from poplarlug.catalog import ChangeOutcome, ChangeStatus
from poplarlug.control.commands import encode_command
from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.replicated_log import ProposeError
from poplarlug.control.routing_state import (
    EvacuationChange,
    RouteTableChange,
    RoutingImage,
    RoutingState,
    encode_table,
)
from poplarlug.control.standstill import StandstillWatch
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.routes import RouteTable
from poplarlug.types import Seconds, ZoneName

READ_TIMEOUT_SECONDS = 0.9
"""Below the 1 s after which an operator's client tries another replica."""

CHANGE_TIMEOUT_SECONDS = 4.0
"""Maximum wait for a quorum; the operator's client has moved on long before."""

DEPARTURE_CHECK_SECONDS = 0.25
"""How long an order without a version waits before it is proposed. If its bytes were
held up on the way, its sender's close follows them once they are acknowledged, a round
trip later; this is twice the one between the farthest regions."""

_CHANGES = Counter(
    "poplarlug_routing_changes_total",
    "Route tables and evacuations by outcome.",
    ["change", "outcome"],
    registry=REGISTRY,
)

Propose = Callable[[bytes], Awaitable[Result[ChangeOutcome, ProposeError]]]

_log = ComponentLogger(prefix="routing")


class RevisionRequest(NamedTuple):
    """Request the revision that the leader has applied."""


class Revision(NamedTuple):
    revision: int


async def wait_for_departure() -> None:
    """
    Wait until the close of a sender that has left is read.

    After a standstill the event loop may run due timers before it reads what has
    arrived, so it gets another iteration for that.
    """
    await asyncio.sleep(DEPARTURE_CHECK_SECONDS)
    await asyncio.sleep(0)


class RoutingService:
    """
    Propose route tables and evacuations, and read the state in force.

    Parameters
    ----------
    propose : callable
        Proposes a command at the leader and returns its outcome.
    standstill : StandstillWatch
        Tells whether orders may be read late.
    """

    def __init__(
        self,
        *,
        state: RoutingState,
        propose: Propose,
        leader_calls: LeaderCalls,
        standstill: StandstillWatch,
    ) -> None:
        self._state = state
        self._propose = propose
        self._standstill = standstill
        self._leader_calls = leader_calls
        leader_calls.register("routing_revision", RevisionRequest, self._serve_revision)

    @property
    def version(self) -> int:
        """Version of the table that this replica holds; -1 if there is none."""
        return self._state.version

    async def put_table(self, table: RouteTable, source: bytes) -> Result[int, str]:
        """
        Bring a checked table into force, unless a newer one is in force.

        Parameters
        ----------
        source : bytes
            The operator's document, returned unchanged by :meth:`read`.

        Returns
        -------
        Success(int) or Failure(str)
            The version in force; after a failure the outcome is unknown.
        """
        command = RouteTableChange(encode_table(table), source)
        return await self._change("table", encode_command(command), table.version)

    async def evacuate(
        self, zone: ZoneName, evacuated: bool, *, is_awaited: Callable[[], bool]
    ) -> Result[int, str]:
        """
        Start or end the evacuation of a zone, unless a newer order may be in force.

        These orders have no version. So one that may have been read late, or whose
        sender no longer waits, isn't proposed; and one that is handed on late conflicts
        with any order for the zone that this replica had not applied when it read it.

        Parameters
        ----------
        is_awaited : callable
            Returns whether the sender still waits for the answer.

        Returns
        -------
        Success(int) or Failure(str)
            The revision in force; after a failure the outcome is unknown.
        """
        command = EvacuationChange(zone, evacuated, self._state.last_order(zone))
        started = asyncio.get_running_loop().time()
        reason = ""
        if self._standstill.may_read_late:
            reason = "this replica stood still and may have read the order late"
        else:
            await wait_for_departure()
            if not is_awaited():
                reason = "the sender of the order has left"
        if reason:
            return self._failed("evacuation", zone, reason, started)
        return await self._change("evacuation", encode_command(command), zone)

    async def read(self) -> Result[RoutingImage, str]:
        """Return the state, including every change accepted before the call."""
        deadline = asyncio.get_running_loop().time() + READ_TIMEOUT_SECONDS
        answer = await self._leader_calls.call(
            "routing_revision", RevisionRequest(), Revision, READ_TIMEOUT_SECONDS
        )
        if isinstance(answer, Failure):
            return answer
        wanted = answer.unwrap().revision
        try:
            async with asyncio.timeout_at(deadline):
                await self._state.revision.wait_for(lambda held: held >= wanted)
        except TimeoutError:
            held = self._state.revision.value
            return Failure(f"this replica is at revision {held} of {wanted}; retry")
        return Success(self._state.image)

    async def _change(
        self, change: str, command: bytes, subject: object
    ) -> Result[int, str]:
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
                result = await self._propose(command)
        except TimeoutError:
            return self._failed(change, subject, "no outcome in time", started)
        if isinstance(result, Failure):
            return self._failed(change, subject, result.failure().message, started)
        outcome = result.unwrap()
        if outcome.status is not ChangeStatus.ACCEPTED:
            return self._failed(change, subject, outcome.message, started)
        _CHANGES.labels(change, outcome.status.value).inc()
        _log.info(
            "change decided",
            change=change,
            subject=subject,
            status=outcome.status.value,
            version=outcome.version,
            seconds=self._since(started),
        )
        return Success(outcome.version)

    def _failed(
        self, change: str, subject: object, reason: str, started: Seconds
    ) -> Result[int, str]:
        _CHANGES.labels(change, "unknown").inc()
        _log.warning(
            "outcome of a change is unknown",
            change=change,
            subject=subject,
            reason=reason,
            seconds=self._since(started),
        )
        return Failure(reason)

    def _since(self, started: Seconds) -> Seconds:
        return round(asyncio.get_running_loop().time() - started, 4)

    async def _serve_revision(self, message: RevisionRequest) -> Revision:
        return Revision(self._state.revision.value)
