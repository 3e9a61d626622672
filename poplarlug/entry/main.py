"""Entry point of ``poplarlug-entry``."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

from returns.result import Success

from poplarlug.admission import RankAdmission
from poplarlug.callers.announcements import AnnouncementHandler
from poplarlug.callers.application import CallerApplication
from poplarlug.callers.connections import ConnectionGuard, HttpLimits
from poplarlug.callers.directory import Directory
from poplarlug.callers.observation import RequestObserver
from poplarlug.callers.platform_directory import DirectoryWriter, FileDirectory
from poplarlug.claims import ClaimSettings
from poplarlug.daemon import (
    EXIT_BAD_SETTINGS,
    add_health_routes,
    exit_with_errors,
    run_daemon,
    stop_event,
)
from poplarlug.distribution.follower import ConfigFollower
from poplarlug.distribution.store import ConfigStore, FileStore
from poplarlug.distribution.upstream_listing import serve_upstreams
from poplarlug.entry.at_most_once import AtMostOnceParts
from poplarlug.entry.forwards import ForwardGate
from poplarlug.logs import PartLog
from poplarlug.membership.sharing import Membership
from poplarlug.metrics import sample_loop_lag
from poplarlug.requestlog import RequestLog, RequestLogSettings
from poplarlug.routing import (
    ExpectedFinish,
    PrefixIndex,
    UpstreamLoads,
    WanBudget,
    ZoneRamp,
)
from poplarlug.routing.wan_budget import FORWARDS_SHARE, LINK_BYTES_PER_SECOND
from poplarlug.serving.attempts import UpstreamClient
from poplarlug.serving.dispatcher import DispatchParts
from poplarlug.serving.forwarding import Forwarder
from poplarlug.serving.gateway import Gateway
from poplarlug.serving.quarantine import Quarantine
from poplarlug.settings import load_settings
from poplarlug.supervision import Supervisor
from poplarlug.topology import EntryVm, KeyFiles, LogSettings, Topology
from poplarlug.transport import ZmqTransport

DRAIN_TIMEOUT_SECONDS = 120.0
NANOSECONDS_PER_MILLISECOND = 1_000_000

_log = PartLog(prefix="entry")


class EntrySettings(NamedTuple):
    """
    Settings of an entry.

    Parameters
    ----------
    name : str
        Own name in the topology file.
    data_folder : str or None
        Where state is kept on a VM with a disk.
    http : HttpLimits
        Bounds on what callers can hold.
    platform_directory_folder : str or None
        Where the stand-in of the platform's directory keeps its files.
    """

    name: str
    topology_file: str
    keys: KeyFiles
    data_folder: str | None = None
    claims: ClaimSettings = ClaimSettings()
    log: LogSettings = LogSettings()
    http: HttpLimits = HttpLimits()
    platform_directory_folder: str | None = None
    request_log: RequestLogSettings = RequestLogSettings()


class Entry:
    """
    All parts of one entry daemon, put together.

    Parameters
    ----------
    incarnation : int
        Number of this run, larger than those of former ones.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        keys: KeyFiles,
        rng: Random,
        incarnation: int,
        limits: HttpLimits,
        request_log: RequestLog,
        store: ConfigStore | None = None,
        claims: ClaimSettings = ClaimSettings(),
        data_folder: Path | None = None,
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.stopping = False
        self._limits = limits
        self.transport = ZmqTransport(
            name=own.name,
            address=own.peers,
            addresses_by_name=topology.peer_addresses_by_name(),
            keys=keys,
        )
        self.follower = ConfigFollower(
            transport=self.transport,
            peers=[
                vm.name
                for vm in topology.entries_of_zone(own.zone)
                if vm.name != own.name
            ],
            control=[vm.name for vm in topology.control],
            rng=rng,
            store=store,
        )
        self.membership = Membership(
            own=own,
            topology=topology,
            transport=self.transport,
            clock=clock,
            rng=rng,
            incarnation=incarnation,
            load=self.load,
            config_version=lambda: self.follower.version.value,
        )
        serve_upstreams(self.transport, self.membership.upstreams.all)
        self.client = UpstreamClient(zone=own.zone)
        entries = max(1, len(topology.entries_of_zone(own.zone)))
        loads = UpstreamLoads(sharers=entries)
        self.admission = RankAdmission(clock=clock)
        policy = ExpectedFinish(
            loads=loads,
            prefixes=PrefixIndex(clock=clock),
            wan=WanBudget(
                bytes_per_second=LINK_BYTES_PER_SECOND * FORWARDS_SHARE / entries,
                clock=clock,
            ),
            ramp=ZoneRamp(clock=clock),
            rng=rng,
        )
        forwarder = Forwarder(transport=self.transport)
        self.at_most_once = AtMostOnceParts(
            own=own,
            topology=topology,
            transport=self.transport,
            settings=claims,
            data_folder=data_folder,
            rng=rng,
        )
        self.gateway = Gateway(
            catalog=self.follower.catalog,
            membership=self.membership,
            dispatch=DispatchParts(policy, self.admission, loads),
            client=self.client,
            forwarder=forwarder,
            at_most_once=self.at_most_once.guard,
            quarantine=Quarantine(
                own=own, topology=topology, transport=self.transport, clock=clock
            ),
        )
        self.forwards = ForwardGate(serve=self.gateway.serve, accepts=self.accepts)
        forwarder.serve_by(self.forwards.serve)
        self.guard = ConnectionGuard(limits=limits)
        self.directory = Directory(
            membership=self.membership, catalog=self.follower.catalog, rng=rng
        )
        self.callers = CallerApplication(
            catalog=self.follower.catalog,
            membership=self.membership,
            gateway=self.gateway,
            directory=self.directory,
            announcements=AnnouncementHandler(
                membership=self.membership, accepts=self.accepts_announcements
            ),
            guard=self.guard,
            accepts=self.accepts,
            observer=RequestObserver(
                own=own, log=request_log, clock=clock, wall_clock=time.time
            ),
        )
        self.supervisor = Supervisor(name="entry", rng=rng)
        self.supervisor.add_child("request log", request_log.run)
        self.supervisor.add_child("loop lag", sample_loop_lag)
        self.supervisor.add_child("transport", self.transport.run)
        self.supervisor.add_child("follower", self.follower.run)
        self.supervisor.add_child("membership", self.membership.run)
        self.supervisor.add_child("admission", self.admission.run)
        self.supervisor.add_child("claims", self.at_most_once.holder.run)
        self.supervisor.add_child("connections", self.guard.run)

    def load(self) -> float:
        """Return the share, 0 to 1, of what this entry can hold; 1 if not ready."""
        if not self.is_ready():
            return 1.0
        return min(1.0, self.gateway.in_progress.value / self._limits.max_requests)

    def is_ready(self) -> bool:
        """Return whether configuration and tables are in force and no stop began."""
        if self.stopping or not self.follower.accepts:
            return False
        return self.membership.is_trusted()

    def accepts(self) -> bool:
        """Return whether new requests are taken in."""
        return self.is_ready() and self.load() < 1.0

    def accepts_announcements(self) -> bool:
        return not self.stopping and self.membership.is_trusted()

    def write_platform_directory(self, folder: Path) -> None:
        """Keep the platform's directory in ``folder`` up to date."""
        writer = DirectoryWriter(
            platform=FileDirectory(folder=folder),
            directory=self.directory,
            membership=self.membership,
        )
        self.supervisor.add_child("directory", writer.run)

    async def drain(self) -> None:
        """Take no new requests and wait for those in progress."""
        self.stopping = True
        await self.membership.leave()
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                await self.gateway.in_progress.wait_for(lambda count: count == 0)
                await self.transport.finish_streams()
        except TimeoutError:
            _log.warning("stopped with requests in progress")


async def run_entry(settings: EntrySettings, folder: Path) -> int:
    """Run an entry until SIGTERM; return the exit status."""
    loaded = load_settings(folder / settings.topology_file, Topology)
    if not isinstance(loaded, Success):
        exit_with_errors(loaded.failure())
    topology = loaded.unwrap()
    own = topology.entry(settings.name)
    if own is None:
        _log.error("name is not in the topology file", name=settings.name)
        return EXIT_BAD_SETTINGS
    store = None
    if settings.data_folder is not None:
        store = FileStore(folder=folder / settings.data_folder)
    entry = Entry(
        own=own,
        topology=topology,
        keys=settings.keys.relative_to(folder),
        rng=Random(),
        request_log=RequestLog(settings=settings.request_log, folder=folder),
        store=store,
        incarnation=time.time_ns() // NANOSECONDS_PER_MILLISECOND,
        limits=settings.http,
        claims=settings.claims,
        data_folder=folder / settings.data_folder if settings.data_folder else None,
    )
    if settings.platform_directory_folder is not None:
        entry.write_platform_directory(folder / settings.platform_directory_folder)
    await entry.client.open()
    app = entry.callers.build()
    holder = entry.at_most_once.holder
    add_health_routes(app, lambda: entry.is_ready() and holder.settled)
    runner = await entry.guard.serve(app, own.http)
    running = asyncio.ensure_future(entry.supervisor.run())
    _log.info("ready", name=own.name, http=own.http)
    stopping = asyncio.ensure_future(stop_event().wait())
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    _log.info("stopping", name=own.name)
    failed = running.done()
    await entry.drain()
    await runner.cleanup()
    await entry.client.close()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return 1 if failed else 0


def main() -> None:
    """Run ``poplarlug-entry``."""
    run_daemon(EntrySettings, run_entry)
