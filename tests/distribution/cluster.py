"""Simulated entries and one control replica in memory, in virtual time."""

import asyncio
from collections.abc import Callable
from random import Random

from poplarlug.catalog import Delta, Model, Update
from poplarlug.catalog.catalog import encode_object
from poplarlug.control.state import ControlState
from poplarlug.distribution.follower import ConfigFollower
from poplarlug.distribution.publisher import ConfigPublisher
from poplarlug.distribution.store import ConfigStore
from poplarlug.logs import configure_logs
from poplarlug.topology import EntryVm
from poplarlug.transport import MemoryNetwork, MemoryTransport

POLL_SECONDS = 0.01

configure_logs(log_format="json", level="error")


async def wait_for(condition: Callable[[], bool], seconds: float) -> None:
    """Wait until ``condition`` holds, for at most ``seconds`` of virtual time."""
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_SECONDS)


class MemoryStore(ConfigStore):
    """A disk that outlives the process; compaction is due beyond ``max_updates``."""

    def __init__(self, *, max_updates: int = 5) -> None:
        self.updates: list[Update] = []
        self._max_updates = max_updates

    async def load(self) -> list[Update]:
        return list(self.updates)

    async def append(self, update: Update) -> None:
        await asyncio.sleep(0.005)
        self.updates.append(update)

    @property
    def needs_compaction(self) -> bool:
        return len(self.updates) > self._max_updates

    async def compact(self, whole: Update) -> None:
        await asyncio.sleep(0.005)
        self.updates = [whole]


class Process:
    """An entry that can crash and restart."""

    def __init__(self, *, cluster: "Cluster", vm: EntryVm, with_disk: bool) -> None:
        self._cluster = cluster
        self.vm = vm
        self.store = MemoryStore() if with_disk else None
        self.task: asyncio.Task[None] | None = None
        self.versions_accepted: list[int] = []
        self.start()

    def start(self) -> None:
        cluster = self._cluster
        transport = MemoryTransport(name=self.vm.name, network=cluster.network)
        zone = [vm.name for vm in cluster.vms if vm.zone == self.vm.zone]
        self.follower = ConfigFollower(
            transport=transport,
            peers=[name for name in zone if name != self.vm.name],
            control=["control"],
            rng=cluster.rng,
            store=self.store,
        )
        self.task = asyncio.ensure_future(self._run(transport))

    async def _run(self, transport: MemoryTransport) -> None:
        carrying = asyncio.ensure_future(transport.run())
        try:
            await self.follower.run()
        finally:
            carrying.cancel()
            await asyncio.gather(carrying, return_exceptions=True)

    async def crash(self) -> None:
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def is_up(self) -> bool:
        return self.task is not None and not self.task.done()


class Cluster:
    """One control replica and the entries of a few zones."""

    def __init__(
        self, *, rng: Random, zones: int = 2, entries_per_zone: int = 3
    ) -> None:
        self.rng = rng
        self.network = MemoryNetwork(rng=rng)
        self.vms = [
            EntryVm(f"z{zone}-{index}", f"r{zone}", f"z{zone}", "", "")
            for zone in range(zones)
            for index in range(entries_per_zone)
        ]
        self.state = ControlState()
        self.is_leader = True
        self.is_current = True
        self.hashes_by_version = {0: self.state.catalog.state_hash()}
        self._transport = MemoryTransport(name="control", network=self.network)
        self.publisher = ConfigPublisher(
            transport=self._transport,
            entries=self.vms,
            catalog=self.state.catalog,
            version=self.state.version,
            is_leader=lambda: self.is_leader,
            is_current=lambda: self.is_current,
        )
        self.processes_by_name: dict[str, Process] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        for run in (self._transport.run, self.publisher.run):
            self._tasks.append(asyncio.ensure_future(run()))
        await asyncio.sleep(0)
        for index, vm in enumerate(self.vms):
            process = Process(cluster=self, vm=vm, with_disk=index % 2 == 0)
            self.processes_by_name[vm.name] = process
        await asyncio.sleep(0)

    def change(self) -> int:
        """Accept a random change, sometimes a deletion; return its version."""
        version = self.state.catalog.version + 1
        name = f"m{self.rng.randrange(20)}"
        value: bytes | None = encode_object(Model(name, version=str(version)))
        held = self.state.catalog.object_version("model", name)
        if held and self.rng.random() < 0.3:
            value = None
        self.state.catalog.apply(Delta(version, "model", name, value))
        self.state.version.set(version)
        self.hashes_by_version[version] = self.state.catalog.state_hash()
        return version

    def running(self) -> list[Process]:
        return [p for p in self.processes_by_name.values() if p.is_up()]

    async def wait_converged(self, seconds: float) -> None:
        """Wait until all running entries hold the control replica's state."""
        expected = self.state.catalog.state_hash()
        await wait_for(
            lambda: all(
                p.follower.catalog.state_hash() == expected for p in self.running()
            ),
            seconds,
        )
