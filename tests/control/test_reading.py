"""Tests of linearizable reads at a replica that lags behind the leader."""

import asyncio
from random import Random
from unittest import TestCase

from returns.result import Failure, Result, Success

from poplarlug.catalog import Change, Model
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.commands import encode_command
from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.reading import LinearizableReader
from poplarlug.control.replicated_log import LogEntry
from poplarlug.control.state import ControlState
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.lease_group import LeaseGroup, LeaseLog

LEADER, FOLLOWER = "c1", "c2"


class LinearizableReaderTests(TestCase):
    def setUp(self) -> None:
        self.network = MemoryNetwork(rng=Random(1))
        self.group = LeaseGroup(rng=Random(1), names=(LEADER, FOLLOWER))
        self.group.holder, self.group.lease_end = LEADER, 1000.0
        self.states_by_name = {LEADER: ControlState(), FOLLOWER: ControlState()}

    async def start(self) -> LinearizableReader:
        """Return the follower's reader."""
        readers = {}
        # Unreferenced tasks may be garbage collected before they finish.
        self.tasks = []
        for name, state in self.states_by_name.items():
            transport = MemoryTransport(name=name, network=self.network)
            calls = LeaderCalls(
                log=LeaseLog(group=self.group, name=name), transport=transport
            )
            readers[name] = LinearizableReader(state=state, leader_calls=calls)
            self.tasks.append(asyncio.ensure_future(transport.run()))
        await asyncio.sleep(0)
        return readers[FOLLOWER]

    def apply(self, name: str) -> None:
        value = encode_object(Model("corn"))
        command = encode_command(Change("a", "model", "corn", 0, value))
        self.states_by_name[name].apply(LogEntry(1, 1, command))

    def test_read_waits_for_the_leaders_version(self) -> None:
        """A lagging replica answers once it has applied the accepted version."""

        async def main() -> float:
            reader = await self.start()
            self.apply(LEADER)
            loop = asyncio.get_running_loop()
            loop.call_later(1.5, self.apply, FOLLOWER)
            self.assertEqual(await reader.wait(), Success(1))
            return loop.time()

        self.assertGreaterEqual(run_virtual(main()), 1.5)

    def test_read_of_a_replica_that_stays_behind_fails(self) -> None:
        """A read fails if the replica does not reach the version in time."""

        async def main() -> Result[int, str]:
            reader = await self.start()
            self.apply(LEADER)
            return await reader.wait(2.0)

        failed = run_virtual(main())
        assert isinstance(failed, Failure)
        self.assertIn("version 0 of 1", failed.failure())

    def test_read_without_a_leader_fails(self) -> None:
        """A replica that can't reach the leader does not answer from its own state."""

        async def main() -> Result[int, str]:
            reader = await self.start()
            self.network.cut(FOLLOWER, LEADER)
            return await reader.wait(2.0)

        self.assertIsInstance(run_virtual(main()), Failure)
