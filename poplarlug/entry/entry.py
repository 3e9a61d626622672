"""Assembles the components of an entry daemon with a fixed topology."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from poplarlug.admission import RankAdmission
from poplarlug.callers.announcements import AnnouncementHandler
from poplarlug.callers.application import CallerApplication
from poplarlug.callers.authentication import Authenticator
from poplarlug.callers.connections import ConnectionGuard, HttpLimits
from poplarlug.callers.directory import Directory
from poplarlug.callers.observation import RequestObserver
from poplarlug.callers.platform_directory import DirectoryWriter, FileDirectory
from poplarlug.claims import ClaimSettings
from poplarlug.distribution.follower import ConfigFollower
from poplarlug.distribution.store import ConfigStore
from poplarlug.distribution.upstream_listing import serve_upstreams
from poplarlug.entry.at_most_once import AtMostOnceParts
from poplarlug.entry.forwards import ForwardGate
from poplarlug.logs import ComponentLogger
from poplarlug.membership.sharing import Membership
from poplarlug.metrics import sample_loop_lag
from poplarlug.relay.planned_stop import PlannedStop
from poplarlug.requestlog import RequestLog
from poplarlug.routing import (
    ExpectedFinish,
    PrefixIndex,
    UpstreamLoads,
    WanBudget,
    ZoneRamp,
)
from poplarlug.routing.wan_budget import FORWARD_BANDWIDTH_SHARE, LINK_BYTES_PER_SECOND
from poplarlug.serving.attempts import UpstreamClient
from poplarlug.serving.dispatcher import DispatchParts
from poplarlug.serving.forwarding import Forwarder
from poplarlug.serving.gateway import Gateway
from poplarlug.serving.quarantine import Quarantine
from poplarlug.supervision import Supervisor
from poplarlug.topology import EntryVm, KeyFiles, Topology
from poplarlug.transport import ZmqTransport
from poplarlug.types import Seconds

DRAIN_TIMEOUT_SECONDS = 120.0

END_SECONDS = 5.0
"""How long callers and peers may take to be told the end of what outlasts the drain, and
holders of claims to be told outcomes."""

_log = ComponentLogger(prefix="entry")


class Entry:
    """
    The components of an entry daemon that reads the deployment from a topology file.

    Parameters
    ----------
    incarnation : int
        Number of this run of the process, larger than that of any earlier run.
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
        self._stop = PlannedStop(clock=clock)
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
        self.admission = RankAdmission(clock=clock)
        dispatch = _build_dispatch(own, topology, self.admission, clock, rng)
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
            dispatch=dispatch,
            client=self.client,
            forwarder=forwarder,
            stop=self._stop,
            at_most_once=self.at_most_once.executor,
            quarantine=Quarantine(
                own=own, topology=topology, transport=self.transport, clock=clock
            ),
        )
        self.forwards = ForwardGate(serve=self.gateway.serve, accepts=self.accepts)
        forwarder.set_handler(self.forwards.serve)
        self.guard = ConnectionGuard(limits=limits)
        authenticator = Authenticator(
            catalog=self.follower.catalog,
            is_catalog_current=lambda: self.follower.can_serve,
        )
        self.directory = Directory(
            membership=self.membership, authenticator=authenticator, rng=rng
        )
        self.caller_application = CallerApplication(
            catalog=self.follower.catalog,
            authenticator=authenticator,
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
        self._add_children(request_log)

    def load(self) -> float:
        """Return the used share of the request limit, 0 to 1; 1 when not ready."""
        if not self.is_ready():
            return 1.0
        return min(1.0, self.gateway.in_progress.value / self._limits.max_requests)

    def is_ready(self) -> bool:
        """Return whether configuration and tables are loaded and no stop has begun."""
        if self.stopping or not self.follower.can_serve:
            return False
        return self.membership.is_trusted()

    def accepts(self) -> bool:
        """Return whether new requests are accepted."""
        return self.is_ready() and self.load() < 1.0

    def accepts_announcements(self) -> bool:
        return not self.stopping and self.membership.is_trusted()

    def write_platform_directory(self, folder: Path) -> None:
        """Keep the platform directory in ``folder`` up to date."""
        writer = DirectoryWriter(
            platform_directory=FileDirectory(folder=folder),
            directory=self.directory,
            membership=self.membership,
        )
        self.supervisor.add_child("directory", writer.run)

    async def drain(self) -> None:
        """Stop accepting requests, and wait for those in progress or end them."""
        self.stopping = True
        await self.membership.leave()
        if not await self._wait_until_idle(DRAIN_TIMEOUT_SECONDS):
            in_progress = self.gateway.in_progress.value
            _log.warning("ends requests in progress", in_progress=in_progress)
            self._stop.end_requests()
            if not await self._wait_until_idle(END_SECONDS):
                _log.warning("some callers are not told")
        await self.guard.stop_listening()
        await self.at_most_once.owner.wait_until_reported(END_SECONDS)

    async def _wait_until_idle(self, seconds: Seconds) -> bool:
        """Wait until all requests are answered; return whether they are."""
        try:
            async with asyncio.timeout(seconds):
                await self.gateway.in_progress.wait_for(lambda count: count == 0)
                await self.guard.wait_until_answered()
                await self.transport.finish_streams()
        except TimeoutError:
            return False
        return True

    def _add_children(self, request_log: RequestLog) -> None:
        self.supervisor.add_child("request log", request_log.run)
        self.supervisor.add_child("loop lag", sample_loop_lag)
        self.supervisor.add_child("transport", self.transport.run)
        self.supervisor.add_child("follower", self.follower.run)
        self.supervisor.add_child("membership", self.membership.run)
        self.supervisor.add_child("admission", self.admission.run)
        self.supervisor.add_child("claims", self.at_most_once.holder.run)
        self.supervisor.add_child("connections", self.guard.run)


def _build_dispatch(
    own: EntryVm,
    topology: Topology,
    admission: RankAdmission,
    clock: Callable[[], Seconds],
    rng: Random,
) -> DispatchParts:
    entry_count = max(1, len(topology.entries_of_zone(own.zone)))
    loads = UpstreamLoads(entry_count=entry_count)
    policy = ExpectedFinish(
        loads=loads,
        prefixes=PrefixIndex(clock=clock),
        wan=WanBudget(
            bytes_per_second=LINK_BYTES_PER_SECOND
            * FORWARD_BANDWIDTH_SHARE
            / entry_count,
            clock=clock,
        ),
        ramp=ZoneRamp(clock=clock),
        rng=rng,
    )
    return DispatchParts(policy, admission, loads)
