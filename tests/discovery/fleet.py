"""In-memory control replicas and entries of three regions in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

from poplarlug.control.confirmed_reading import ConfirmedReading
from poplarlug.control.memory_disk import MemoryDisk
from poplarlug.control.routing_state import RoutingState
from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import POLL_TOPIC, Poll, PollReply
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import EntryRecord
from poplarlug.discovery.registrar import Registrar
from poplarlug.discovery.registry import Registry
from poplarlug.discovery.registry_file import RegistryFile
from poplarlug.discovery.software_versions import SoftwareVersions, StreamVersions
from poplarlug.discovery.stream_records import StreamRecords
from poplarlug.discovery.subscriber import OwnLoads, Subscriber
from poplarlug.relay.engine_memory import EngineMemories
from poplarlug.teams import KeyFreshness
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.transport.memory import LinkQuality
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase

REGIONS_BY_ZONE = {"a": "east", "b": "west", "c": "south"}
REPLICAS = tuple(f"control-{zone}" for zone in REGIONS_BY_ZONE)
START_SECONDS = 3.0


class ControlParts(NamedTuple):
    """The replicated routing state of a replica, and the tasks that keep it."""

    routing: RoutingState
    is_current: Callable[[], bool]
    reading: ConfirmedReading | None = None
    runs: tuple[Awaitable[None], ...] = ()


class Fleet:
    """A control replica and an entry in each of three regions."""

    def __init__(self) -> None:
        quality = LinkQuality(0.055, 0.06)
        self.network = MemoryNetwork(rng=Random(1), quality=quality)
        self.registrars: dict[str, Registrar] = {}
        self.disks_by_zone = {
            zone: MemoryDisk(rng=Random(zone)) for zone in REGIONS_BY_ZONE
        }
        self.deployments_by_zone: dict[str, Deployment] = {}
        self.marks_by_zone: dict[str, CrashMarks] = {}
        self.limits_by_zone: dict[str, NamedLimits] = {}
        self.memories_by_zone: dict[str, EngineMemories] = {}
        self.streams_by_zone: dict[str, StreamVersions] = {}
        self.subscribers_by_zone: dict[str, Subscriber] = {}
        self.tasks_by_name: dict[str, list[asyncio.Future[None]]] = {}
        for zone in REGIONS_BY_ZONE:
            self.start_replica(zone)
            self.start_entry(zone)

    def start_replica(self, zone: str) -> None:
        clock = asyncio.get_running_loop().time
        name = f"control-{zone}"
        transport = MemoryTransport(name=name, network=self.network)
        registry = Registry(clock=clock, announcement_seconds=1.2)
        marks = CrashMarks(clock=clock)
        versions = SoftwareVersions(clock=clock)
        file = RegistryFile(
            disk=self.disks_by_zone[zone],
            registry=registry,
            marks=marks,
            versions=versions,
        )
        streams = StreamRecords(disk=self.disks_by_zone[zone], clock=clock)
        control = self.make_control(zone, transport)
        registrar = Registrar(
            zone=zone,
            regions_by_zone=REGIONS_BY_ZONE,
            registry=registry,
            marks=marks,
            versions=versions,
            streams=streams,
            peers=ControlPeers(
                own=name,
                seeds=REPLICAS,
                members=lambda: REPLICAS,
                voters=lambda: REPLICAS,
                clock=clock,
                is_address=lambda address: address in REPLICAS,
            ),
            routing=control.routing,
            transport=transport,
            is_current=control.is_current,
            reading=control.reading,
            flush=file.flush,
            rng=Random(f"{name}/{clock()}"),
            clock=clock,
        )
        self.registrars[zone] = registrar
        file.load()
        streams.load()
        runs = (transport.run(), registrar.run(), file.run(), streams.run())
        self._run(name, *runs, *control.runs)

    def start_entry(self, zone: str) -> None:
        clock = asyncio.get_running_loop().time
        name = f"entry-{zone}"
        transport = MemoryTransport(name=name, network=self.network)
        marks = self.marks_by_zone[zone] = CrashMarks(clock=clock)
        limits = self.limits_by_zone[zone] = NamedLimits(clock=clock)
        streams = self.streams_by_zone[zone] = StreamVersions(clock=clock)
        deployment = self.deployments_by_zone[zone] = Deployment(
            own_region=REGIONS_BY_ZONE[zone],
            regions_by_zone=REGIONS_BY_ZONE,
            clock=clock,
        )
        memories = self.memories_by_zone[zone] = EngineMemories(clock=clock)
        subscriber = self.subscribers_by_zone[zone] = Subscriber(
            zone=zone,
            deployment=deployment,
            marks=marks,
            limits=limits,
            streams=streams,
            transport=transport,
            seeds=REPLICAS,
            record=lambda: EntryRecord(name, REGIONS_BY_ZONE[zone], zone, "", "", 1),
            own_loads=OwnLoads,
            freshness=self.make_freshness(zone),
            parts=memories,
            rng=Random(zone),
            clock=clock,
        )
        self._run(name, transport.run(), subscriber.run())

    def make_control(self, zone: str, transport: MemoryTransport) -> ControlParts:
        """Return a state without a log, for tests that change no routes."""
        return ControlParts(RoutingState(), lambda: True)

    def make_freshness(self, zone: str) -> KeyFreshness | None:
        return None

    async def poll_once(self, replica: str, *, is_probe: bool = False) -> PollReply:
        """Return a replica's reply to an entry that has routes already."""
        transport = MemoryTransport(name="probe", network=self.network)
        self._run("probe", transport.run())
        await asyncio.sleep(0)
        record = EntryRecord("probe", "south", "c", "", "", 1)
        reply = await transport.request(
            peer=replica,
            topic=POLL_TOPIC,
            message=Poll(record, "", 0, 1, is_probe=is_probe),
            reply_type=PollReply,
            timeout_seconds=1.0,
        )
        return reply.unwrap()

    def stop(self, name: str) -> None:
        for task in self.tasks_by_name.pop(name):
            task.cancel()
        kind, _, zone = name.partition("-")
        if kind == "control":
            self.disks_by_zone[zone].crash()

    def cut_off(self, zone: str) -> None:
        """Cut the links between a zone's replica and entry and those of other zones."""
        own = {f"control-{zone}", f"entry-{zone}"}
        names = {*REPLICAS, *(f"entry-{other}" for other in REGIONS_BY_ZONE)}
        for inside in own:
            for outside in names - own:
                self.network.cut(inside, outside)
                self.network.cut(outside, inside)

    def active_mark_counts(self) -> list[int]:
        """Return the number of active marks of request 7 at each entry."""
        return [len(marks.active_for(7)) for marks in self.marks_by_zone.values()]

    def _run(self, name: str, *parts: Awaitable[None]) -> None:
        tasks = [asyncio.ensure_future(part) for part in parts]
        self.tasks_by_name[name] = tasks


class FleetTestCase(QuietTestCase):
    def run_scenario(self, scenario: Callable[[Fleet], Awaitable[None]]) -> None:
        """Run a scenario with a started fleet, and stop the fleet afterwards."""

        async def main() -> None:
            fleet = Fleet()
            await asyncio.sleep(START_SECONDS)
            await scenario(fleet)
            for name in list(fleet.tasks_by_name):
                fleet.stop(name)

        run_virtual(main())
