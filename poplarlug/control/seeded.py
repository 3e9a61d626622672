"""Control replica that discovers its peers by seeds and serves seeded entries."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from aiohttp import web
from returns.result import Failure, Result, Success

from poplarlug.callers.client_memory import ClientMemory
from poplarlug.callers.connections import ConnectionGuard, HttpLimits
from poplarlug.callers.vm_limits import client_bytes, limit_connections
from poplarlug.control.confirmed_reading import ConfirmedReading
from poplarlug.control.control_group import ControlGroup
from poplarlug.control.disk import FileDisk
from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.proposing import Proposer
from poplarlug.control.raft.membership import AutoJoin
from poplarlug.control.raft.replica import Replica
from poplarlug.control.raft.retirement import RETIREMENT_SECONDS
from poplarlug.control.routing_service import RoutingService
from poplarlug.control.standstill import StandstillWatch
from poplarlug.control.state import ControlState
from poplarlug.daemon import Site, add_health_routes, stop_event
from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.registrar import Registrar
from poplarlug.discovery.registry import Registry
from poplarlug.discovery.registry_file import RegistryFile
from poplarlug.discovery.software_versions import SoftwareVersions
from poplarlug.discovery.stream_records import StreamRecords
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import sample_loop_lag
from poplarlug.quotas import QuotaBounds, QuotaService
from poplarlug.quotas.messages import STOCK_CALL, StockAnswers, StockQuestions
from poplarlug.quotas.service import ASK_TIMEOUT_SECONDS
from poplarlug.seeded_settings import (
    QuotaSettings,
    SeededControlSettings,
    seconds_since_boot,
    seed_peer_addresses,
    watch_settings,
)
from poplarlug.settings import Translate
from poplarlug.supervision import Supervisor
from poplarlug.transport import NamedByAddress, ZmqTransport
from poplarlug.types import Address

AUTO_JOIN_LIVENESS_SECONDS = 5.0
"""A replica heard from within this time may join the group."""

GRPC_STOP_SECONDS = 1.0

HANDLER_SHUTDOWN_SECONDS = 5.0
"""How long requests in progress may take in a stop; a change is decided in less."""

HTTP_FILES_SHARE = 0.5
"""Share of the descriptors for operators and upstreams; others are for replicas."""

EXIT_DAMAGED_DATA = 3

_log = ComponentLogger(prefix="control")


class SeededControl:
    """Components of a control replica that discovers its peers by seeds."""

    def __init__(self, *, settings: SeededControlSettings, rng: Random) -> None:
        clock = asyncio.get_running_loop().time
        own = f"{settings.ip}:{settings.peers_port}"
        seeds = seed_peer_addresses(settings.seeds, settings.peers_port)
        self.transport = ZmqTransport(
            name=own, address=own, addresses_by_name=NamedByAddress(), keys=None
        )
        self.state = ControlState()
        self.peers = ControlPeers(
            own=own,
            seeds=seeds,
            members=self._members,
            voters=self._voters,
            is_voter=lambda: self.replica.state.is_voter,
            clock=clock,
        )
        self._is_bootstrap = settings.bootstrap
        self.disk = FileDisk(folder=Path(settings.data_folder))
        self.replica = Replica(
            name=own,
            transport=self.transport,
            disk=self.disk,
            state_machine=self.state,
            rng=rng,
            bootstrap=seeds if settings.bootstrap else (),
            clock=seconds_since_boot,
            auto_join=AutoJoin(
                lambda: self.peers.recently_seen(AUTO_JOIN_LIVENESS_SECONDS)[1:],
                settings.catch_up_seconds,
            ),
        )
        self.proposer = Proposer(log=self.replica, transport=self.transport)
        self.group = ControlGroup(
            replica=self.replica, transport=self.transport, names=()
        )
        leader_calls = LeaderCalls(log=self.replica, transport=self.transport)
        self.standstill = StandstillWatch(uptime=seconds_since_boot)
        self.routing = RoutingService(
            state=self.state.routing,
            propose=self.proposer.propose,
            leader_calls=leader_calls,
            standstill=self.standstill,
        )
        self.reading = ConfirmedReading(
            routing=self.routing, state=self.state.routing, uptime=seconds_since_boot
        )
        self.quotas = QuotaService(
            name=own,
            bounds=QuotaBounds(*(settings.quotas or QuotaSettings())),
            transport=self.transport,
            ask_leader=lambda asked: leader_calls.call(
                STOCK_CALL, asked, StockAnswers, ASK_TIMEOUT_SECONDS
            ),
            term=lambda: self.replica.state.term,
            members=self._members,
            team=self.state.routing.team,
            has_quotas=lambda: self.state.routing.has_quotas,
            table_version=lambda: self.state.routing.version,
            rng=rng,
            uptime=seconds_since_boot,
        )
        leader_calls.register(STOCK_CALL, StockQuestions, self.quotas.answer_question)
        registry = Registry(
            clock=clock, announcement_seconds=settings.beat_milliseconds / 1000
        )
        marks = CrashMarks(clock=clock)
        versions = SoftwareVersions(clock=clock)
        self.registry_file = RegistryFile(
            disk=self.disk, registry=registry, marks=marks, versions=versions
        )
        self.streams = StreamRecords(disk=self.disk, clock=clock)
        self.registrar = Registrar(
            zone=settings.zone,
            regions_by_zone=settings.regions_by_zone,
            registry=registry,
            marks=marks,
            versions=versions,
            streams=self.streams,
            peers=self.peers,
            routing=self.state.routing,
            transport=self.transport,
            is_current=lambda: (
                self.replica.leader is not None and self.reading.is_recent
            ),
            flush=self.registry_file.flush,
            rng=rng,
            clock=clock,
            reading=self.reading,
        )
        self.supervisor = Supervisor(name="control", rng=rng)
        self.supervisor.add_child("loop lag", sample_loop_lag)
        self.supervisor.add_child("transport", self.transport.run)
        self.supervisor.add_child("log", self.replica.run)
        self.supervisor.add_child("registrar", self.registrar.run)
        self.supervisor.add_child("confirmed reading", self.reading.run)
        self.supervisor.add_child("registry file", self.registry_file.run)
        self.supervisor.add_child("stream records", self.streams.run)
        self.supervisor.add_child("standstills", self.standstill.run)
        self.supervisor.add_child("quotas", self.quotas.run)

    def load(self) -> Result[None, str]:
        """Lock the data folder and restore the replica's state from it."""
        loaded = self.disk.lock().bind(lambda _: self.replica.load())
        if isinstance(loaded, Success):
            has_records = self.registry_file.load()
            self.streams.load()
            if self._is_bootstrap and not has_records:
                self.registrar.note_first_start()
        return loaded

    def reload(self, settings: SeededControlSettings) -> None:
        """Apply the changed settings that take effect without a restart."""
        self.peers.replace_seeds(
            seed_peer_addresses(settings.seeds, settings.peers_port)
        )

    def _members(self) -> list[Address]:
        return [member.name for member in self.replica.state.members.all]

    def _voters(self) -> list[Address]:
        return [member.name for member in self.replica.state.members.voters]


MakeSites = Callable[[SeededControl, SeededControlSettings], list[Site]]


async def run_seeded_control(
    settings: SeededControlSettings,
    *,
    settings_file: Path,
    make_sites: MakeSites,
    translate: Translate | None = None,
) -> int:
    """
    Run a control replica until SIGTERM; return the exit status.

    Parameters
    ----------
    translate : callable, optional
        Turns the content of the settings file into settings, at each reload.
    make_sites : callable
        Returns the HTTP applications for operators and upstreams.
    """
    control = SeededControl(settings=settings, rng=Random())
    restored = control.load()
    if isinstance(restored, Failure):
        _log.error("can't start", name=settings.name, reason=restored.failure())
        return EXIT_DAMAGED_DATA
    metrics = web.Application()
    add_health_routes(metrics, lambda: control.replica.leader is not None)
    sites = [
        *make_sites(control, settings),
        Site(f"{settings.ip}:{settings.metrics_port}", metrics),
    ]
    # Until then, a signal ends the process at once.
    stop = stop_event()
    guard = ConnectionGuard(
        limits=limit_connections(HttpLimits(), settings.vm, HTTP_FILES_SHARE),
        memory=ClientMemory(
            total_bytes=client_bytes(settings.vm),
            clock=asyncio.get_running_loop().time,
        ),
    )
    control.supervisor.add_child("connections", guard.run)
    runners = [
        await guard.serve(
            site.app, site.address, shutdown_seconds=HANDLER_SHUTDOWN_SECONDS
        )
        for site in sites
    ]
    server = _operators_server(control, settings, settings_file.parent)
    if server is not None:
        await server.start()
    running = asyncio.ensure_future(control.supervisor.run())
    watching = asyncio.ensure_future(
        watch_settings(settings_file, SeededControlSettings, control.reload, translate)
    )
    _log.info("started", name=settings.name, zone=settings.zone, http=settings.http)
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    _log.info("stopping", name=settings.name)
    failed = running.done()
    watching.cancel()
    retiring = asyncio.ensure_future(control.replica.retire(RETIREMENT_SECONDS))
    await guard.stop_listening()
    if server is not None:
        await server.stop(GRPC_STOP_SECONDS)
    await asyncio.gather(*(runner.cleanup() for runner in runners))
    await asyncio.wait({retiring, running}, return_when=asyncio.FIRST_COMPLETED)
    retiring.cancel()
    running.cancel()
    await asyncio.gather(running, retiring, return_exceptions=True)
    _log.info("stopped", name=settings.name)
    return 1 if failed else 0


def _operators_server(
    control: SeededControl, settings: SeededControlSettings, folder: Path
) -> Any:
    """Return the gRPC server for operators, ``None`` if it is not configured."""
    if settings.grpc is None:
        return None
    # The gRPC library takes 10 MB of memory, so it is imported only if used.
    from poplarlug.control.grpc_server import build_server
    from poplarlug.control.suspects_servicer import SuspectsServicer

    hashes = (folder / settings.operator_key_hashes_file).read_text().split()
    return build_server(
        service=SuspectsServicer(
            registrar=control.registrar, routing=control.routing, group=control.group
        ),
        address=settings.grpc,
        key_hashes=hashes,
    )
