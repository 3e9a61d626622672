"""Tests of proposing commands at the leader."""

import asyncio
from random import Random
from typing import Any
from unittest import TestCase

from returns.result import Failure, Result, Success

from poplarlug.catalog import ChangeOutcome, ChangeStatus
from poplarlug.control.proposing import Proposer
from poplarlug.control.replicated_log import (
    ProposeError,
    ProposeErrorKind,
    ReplicatedLog,
)
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual

OUTCOME = ChangeOutcome(ChangeStatus.ACCEPTED, 3)


class FixedLog(ReplicatedLog):
    """A log with a fixed leader."""

    def __init__(self, *, leads: bool) -> None:
        self._leads = leads
        self.commands: list[bytes] = []

    @property
    def leader(self) -> str:
        return "leader"

    @property
    def is_leader(self) -> bool:
        return self._leads

    @property
    def is_current(self) -> bool:
        return True

    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        if not self._leads:
            return Failure(ProposeError(ProposeErrorKind.NOT_LEADER, "no", "leader"))
        self.commands.append(command)
        return Success(OUTCOME)

    async def run(self) -> None:
        pass


class DelayedLinkTransport(MemoryTransport):
    """A transport with links that connect only at ``connected_at``."""

    connected_at = 0.0

    def _send(self, *arguments: Any) -> bool:
        if asyncio.get_running_loop().time() < self.connected_at:
            return False
        return super()._send(*arguments)


class ProposerTests(TestCase):
    def propose(self, connected_at: float) -> tuple[object, list[bytes]]:
        async def main() -> tuple[object, list[bytes]]:
            network = MemoryNetwork(rng=Random(1))
            near = DelayedLinkTransport(name="near", network=network)
            near.connected_at = connected_at
            far = MemoryTransport(name="leader", network=network)
            leading = FixedLog(leads=True)
            Proposer(log=leading, transport=far)
            proposer = Proposer(log=FixedLog(leads=False), transport=near)
            tasks = [asyncio.ensure_future(t.run()) for t in (near, far)]
            await asyncio.sleep(0)
            result = await proposer.propose(b"command")
            for task in tasks:
                task.cancel()
            return result, leading.commands

        return run_virtual(main())

    def test_proposal_waits_for_a_link_that_is_not_up_yet(self) -> None:
        """After a restart of all replicas, the first change reaches the leader once."""
        result, commands = self.propose(connected_at=0.5)
        self.assertEqual(result, Success(OUTCOME))
        self.assertEqual(commands, [b"command"])

    def test_unreachable_leader_is_reported_within_a_second(self) -> None:
        """The operator's client can then try another replica."""
        result, commands = self.propose(connected_at=60.0)
        self.assertIsInstance(result, Failure)
        self.assertEqual(commands, [])
