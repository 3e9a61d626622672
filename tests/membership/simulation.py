"""Simulated zones of entries in virtual time, for tests and benchmarks."""

import asyncio
from random import Random
from typing import Any

from poplarlug.logs import configure_logs
from poplarlug.membership.sharing import Membership
from poplarlug.membership.upstreams import Announcement
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import MemoryNetwork, MemoryTransport

configure_logs(log_format="json", level="error")


def build_topology(zones: int, entries: int) -> Topology:
    """Return ``zones`` zones of ``entries`` entries, each in its own region."""
    vms = [
        EntryVm(f"z{zone:02}-{entry:02}", f"r{zone:02}", f"z{zone:02}", "", "")
        for zone in range(zones)
        for entry in range(entries)
    ]
    return Topology("simulation", tuple(vms), ())


class SimulatedEntry:
    """The membership and transport of one run of an entry."""

    def __init__(
        self, *, vm: EntryVm, topology: Topology, network: Any, incarnation: int
    ) -> None:
        self.transport = MemoryTransport(name=vm.name, network=network)
        self.membership = Membership(
            own=vm,
            topology=topology,
            transport=self.transport,
            clock=asyncio.get_running_loop().time,
            rng=Random(f"{vm.name}{incarnation}"),
            incarnation=incarnation,
        )
        self.tasks = [
            asyncio.ensure_future(self.transport.run()),
            asyncio.ensure_future(self.membership.run()),
        ]

    def serving_ids(self) -> set[str]:
        return {a.id for a in self.membership.upstreams.serving.value}

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Simulation:
    """The entries of a topology, by name, connected by one memory network."""

    def __init__(
        self,
        *,
        zones: int = 1,
        entries: int = 3,
        rng: Random,
        network: MemoryNetwork | None = None,
    ) -> None:
        self.topology = build_topology(zones, entries)
        self.network = network or MemoryNetwork(rng=rng)
        self.entries_by_name: dict[str, SimulatedEntry] = {}
        self._incarnations_by_name: dict[str, int] = {}
        for vm in self.topology.entries:
            self.start(vm.name)

    def start(self, name: str) -> SimulatedEntry:
        vm = self.topology.entry(name)
        assert vm is not None
        incarnation = self._incarnations_by_name.get(name, 0) + 1
        self._incarnations_by_name[name] = incarnation
        self.entries_by_name[name] = SimulatedEntry(
            vm=vm,
            topology=self.topology,
            network=self.network,
            incarnation=incarnation,
        )
        return self.entries_by_name[name]

    async def crash(self, name: str) -> None:
        await self.entries_by_name.pop(name).stop()

    def isolate(self, name: str) -> None:
        """Cut the links between ``name`` and all other entries, in both directions."""
        for vm in self.topology.entries:
            self.network.cut(name, vm.name)
            self.network.cut(vm.name, name)

    def membership(self, name: str) -> Membership:
        return self.entries_by_name[name].membership


def announcement(upstream_id: str = "u1", **fields: Any) -> Announcement:
    values = {"incarnation": 1, "sequence": 1, "models": ("corn-7b",), **fields}
    return Announcement(upstream_id, "engine", "127.0.0.1:9", **values)


async def wait_for(condition: Any, *, seconds: float) -> float:
    """Wait until ``condition`` holds; return the virtual seconds that it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > seconds:
            raise AssertionError(f"not within {seconds} s")
        await asyncio.sleep(0.05)
    return loop.time() - started
