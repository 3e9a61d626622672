"""Entry point of ``poplarlug-control``."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from aiohttp import web
from returns.result import Failure, Result, Success

from poplarlug.callers.connections import ConnectionGuard, HttpLimits
from poplarlug.control.control_group import ControlGroup
from poplarlug.control.disk import FileDisk
from poplarlug.control.grpc_server import TlsFiles, build_server
from poplarlug.control.operations import ControlServices, OrderLimits
from poplarlug.control.proposing import Proposer
from poplarlug.control.raft.replica import Replica
from poplarlug.control.raft.retirement import RETIREMENT_SECONDS
from poplarlug.control.replicated_log import ReplicatedLog
from poplarlug.control.state import ControlState
from poplarlug.daemon import (
    EXIT_BAD_SETTINGS,
    add_health_routes,
    exit_with_errors,
    run_daemon,
    stop_event,
)
from poplarlug.logs import ComponentLogger
from poplarlug.settings import load_settings
from poplarlug.supervision import Supervisor
from poplarlug.topology import KeyFiles, LogSettings, Topology
from poplarlug.transport import Transport, ZmqTransport

GRPC_STOP_SECONDS = 5.0
EXIT_DAMAGED_DATA = 3

_log = ComponentLogger(prefix="control")


class ControlSettings(NamedTuple):
    """
    Settings of a control replica.

    Parameters
    ----------
    name : str
        Name of this replica in the topology file.
    data_folder : str
        Folder of the replicated log, relative to the settings file's folder.
    operator_key_hashes_file : str
        File with one hash of an operator's key per line.
    grpc_tls : TlsFiles
        Enables TLS for operators' calls if set.
    http : HttpLimits
        Limits on connections for health and metrics; ``max_connections`` holds for
        operators' connections as well.
    orders : OrderLimits
        Rate limit of the orders that read the weight store.
    bootstrap : bool
        Whether the replicas in the topology file create a new group once all of
        them are up and empty. Has no effect once a group exists.
    recover_incarnation : str
        For recovery after a majority of the disks was lost: makes this replica the
        only member if its disk holds this incarnation.
    """

    name: str
    topology_file: str
    keys: KeyFiles
    data_folder: str
    operator_key_hashes_file: str
    grpc_tls: TlsFiles = TlsFiles()
    http: HttpLimits = HttpLimits()
    orders: OrderLimits = OrderLimits()
    bootstrap: bool = False
    recover_incarnation: str = ""
    log: LogSettings = LogSettings()


class Control:
    """One control replica: its log and the services for operators and entry VMs."""

    def __init__(
        self,
        *,
        settings: ControlSettings,
        folder: Path,
        topology: Topology,
        transport: Transport,
    ) -> None:
        self.state = ControlState()
        names = tuple(vm.name for vm in topology.control)
        self.disk = FileDisk(folder=folder / settings.data_folder)
        self.replica = Replica(
            name=settings.name,
            transport=transport,
            disk=self.disk,
            state_machine=self.state,
            rng=Random(),
            bootstrap=names if settings.bootstrap else (),
            recover_incarnation=settings.recover_incarnation,
        )
        self.log: ReplicatedLog = self.replica
        self.group = ControlGroup(
            replica=self.replica, transport=transport, names=names
        )
        self.proposer = Proposer(log=self.log, transport=transport)
        self.services = ControlServices(
            log=self.log,
            state=self.state,
            topology=topology,
            transport=transport,
            propose=self.proposer.propose,
            rng=Random(),
            limits=settings.orders,
            group=self.group,
        )

    def load(self) -> Result[None, str]:
        """Lock the data folder and restore the replica's state from it."""
        return self.disk.lock().bind(lambda _: self.replica.load())


async def run_control(settings: ControlSettings, folder: Path) -> int:
    """Run a control replica until SIGTERM; return the exit status."""
    loaded = load_settings(folder / settings.topology_file, Topology)
    if not isinstance(loaded, Success):
        exit_with_errors(loaded.failure())
    topology = loaded.unwrap()
    vm = topology.control_vm(settings.name)
    if vm is None:
        _log.error("name is not in the topology file", name=settings.name)
        return EXIT_BAD_SETTINGS
    transport = ZmqTransport(
        name=settings.name,
        address=vm.peers,
        addresses_by_name=topology.peer_addresses_by_name(),
        keys=settings.keys.relative_to(folder),
    )
    control = Control(
        settings=settings, folder=folder, topology=topology, transport=transport
    )
    restored = control.load()
    if isinstance(restored, Failure):
        _log.error("can't start", name=settings.name, reason=restored.failure())
        return EXIT_DAMAGED_DATA
    key_hashes = (folder / settings.operator_key_hashes_file).read_text().split()
    server = build_server(
        service=control.services.operator_service,
        address=vm.grpc,
        key_hashes=key_hashes,
        tls=settings.grpc_tls.relative_to(folder),
        max_connections=settings.http.max_connections,
    )
    guard = ConnectionGuard(limits=settings.http)
    app = web.Application()
    add_health_routes(app, lambda: control.log.leader is not None)
    runner = await guard.serve(app, vm.http)
    supervisor = Supervisor(name="control", rng=Random())
    supervisor.add_child("transport", transport.run)
    supervisor.add_child("log", control.log.run)
    supervisor.add_child("connections", guard.run)
    control.services.add_children(supervisor)
    running = asyncio.ensure_future(supervisor.run())
    await server.start()
    _log.info("ready", name=settings.name, grpc=vm.grpc)
    stopping = asyncio.ensure_future(stop_event().wait())
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    _log.info("stopping", name=settings.name)
    failed = running.done()
    retiring = asyncio.ensure_future(control.replica.retire(RETIREMENT_SECONDS))
    await server.stop(GRPC_STOP_SECONDS)
    await runner.cleanup()
    await asyncio.wait({retiring, running}, return_when=asyncio.FIRST_COMPLETED)
    retiring.cancel()
    running.cancel()
    await asyncio.gather(running, retiring, return_exceptions=True)
    return 1 if failed else 0


def main() -> None:
    """Run ``poplarlug-control``."""
    run_daemon(ControlSettings, run_control)
