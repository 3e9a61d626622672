"""Proposing commands to the leader from any control replica."""

import asyncio
from typing import NamedTuple

from returns.result import Failure, Result, Success

from poplarlug.catalog import ChangeOutcome
from poplarlug.control.replicated_log import (
    ProposeError,
    ProposeErrorKind,
    ReplicatedLog,
)
from poplarlug.transport import Transport, TransportError, TransportErrorKind
from poplarlug.types import VmName

PROPOSE_TOPIC = "control.propose"
PROPOSE_TIMEOUT_SECONDS = 5.0
LINK_WAIT_SECONDS = 0.8
"""Maximum wait for a link to the leader to connect, as after a restart; operators'
clients try another replica after 1 s."""

LINK_RETRY_SECONDS = 0.05


class Proposal(NamedTuple):
    """A command forwarded by another replica to the leader."""

    command: bytes


class ProposalOutcome(NamedTuple):
    outcome: ChangeOutcome | None
    error: str = ""
    not_leader: bool = False


class Proposer:
    """
    Propose commands to the log, locally or at the leader.

    Parameters
    ----------
    log : ReplicatedLog
        Identifies the leader.
    """

    def __init__(self, *, log: ReplicatedLog, transport: Transport) -> None:
        self._log = log
        self._transport = transport
        transport.serve(PROPOSE_TOPIC, Proposal, self._serve_proposal)

    async def propose(self, command: bytes) -> Result[ChangeOutcome, ProposeError]:
        """Propose ``command`` at the leader, whether local or remote."""
        result = await self._log.propose(command)
        leader = self._log.leader
        if isinstance(result, Success) or leader in (None, self._transport.name):
            return result
        assert leader is not None
        return await self._propose_at(leader, command)

    async def _propose_at(
        self, leader: VmName, command: bytes
    ) -> Result[ChangeOutcome, ProposeError]:
        reply = await self._request(leader, command)
        if isinstance(reply, Failure):
            return Failure(
                ProposeError(ProposeErrorKind.UNKNOWN, reply.failure().message)
            )
        outcome, error, not_leader = reply.unwrap()
        if outcome is not None:
            return Success(outcome)
        kind = ProposeErrorKind.NOT_LEADER if not_leader else ProposeErrorKind.UNKNOWN
        return Failure(ProposeError(kind, error))

    async def _request(
        self, leader: VmName, command: bytes
    ) -> Result[ProposalOutcome, TransportError]:
        """Send a command, waiting for a link that is not connected yet."""
        loop = asyncio.get_running_loop()
        link_deadline = loop.time() + LINK_WAIT_SECONDS
        while True:
            reply = await self._transport.request(
                peer=leader,
                topic=PROPOSE_TOPIC,
                message=Proposal(command),
                reply_type=ProposalOutcome,
                timeout_seconds=PROPOSE_TIMEOUT_SECONDS,
            )
            if isinstance(reply, Success):
                return reply
            # Nothing was sent to the leader, so a retry can't propose it twice.
            is_connecting = reply.failure().kind is TransportErrorKind.NOT_SENT
            if not is_connecting or loop.time() >= link_deadline:
                return reply
            await asyncio.sleep(LINK_RETRY_SECONDS)

    async def _serve_proposal(
        self, sender: VmName, message: Proposal
    ) -> ProposalOutcome:
        result = await self._log.propose(message.command)
        if isinstance(result, Success):
            return ProposalOutcome(result.unwrap())
        error = result.failure()
        return ProposalOutcome(
            None, error.message, error.kind is ProposeErrorKind.NOT_LEADER
        )
