"""Entry point of ``poplarlug-entry``."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from returns.result import Success

from poplarlug.admission import RankAdmission
from poplarlug.callers.application import CallerApplication
from poplarlug.daemon import (
    EXIT_BAD_SETTINGS,
    add_health_routes,
    exit_with_errors,
    run_daemon,
    serve_http,
    stop_event,
)
from poplarlug.distribution.follower import ConfigFollower
from poplarlug.distribution.store import ConfigStore, FileStore
from poplarlug.distribution.upstream_listing import serve_upstreams
from poplarlug.logs import PartLog
from poplarlug.membership.sharing import Membership
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
from poplarlug.settings import load_settings
from poplarlug.supervision import Supervisor
from poplarlug.topology import EntryVm, KeyFiles, LogSettings, Topology
from poplarlug.transport import ZmqTransport

DRAIN_TIMEOUT_SECONDS = 120.0

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
    """

    name: str
    topology_file: str
    keys: KeyFiles
    data_folder: str | None = None
    log: LogSettings = LogSettings()


class Entry:
    """All parts of one entry daemon, put together."""

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        keys: KeyFiles,
        rng: Random,
        store: ConfigStore | None = None,
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.stopping = False
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
            own=own, topology=topology, transport=self.transport, clock=clock
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
        self.gateway = Gateway(
            catalog=self.follower.catalog,
            membership=self.membership,
            dispatch=DispatchParts(policy, self.admission, loads),
            client=self.client,
            forwarder=Forwarder(transport=self.transport),
        )
        self.callers = CallerApplication(
            catalog=self.follower.catalog,
            membership=self.membership,
            gateway=self.gateway,
            accepts=self.accepts,
        )
        self.supervisor = Supervisor(name="entry", rng=rng)
        self.supervisor.add_child("transport", self.transport.run)
        self.supervisor.add_child("follower", self.follower.run)
        self.supervisor.add_child("membership", self.membership.run)
        self.supervisor.add_child("admission", self.admission.run)

    def accepts(self) -> bool:
        return not self.stopping and self.follower.accepts

    async def drain(self) -> None:
        """Take no new requests and wait for those in progress."""
        self.stopping = True
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                await self.gateway.in_progress.wait_for(lambda count: count == 0)
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
        store=store,
    )
    await entry.client.open()
    app = entry.callers.build()
    add_health_routes(app, entry.accepts)
    runner = await serve_http(app, own.http)
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
