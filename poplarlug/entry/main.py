"""Entry point of ``poplarlug-entry``."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

from returns.result import Success

from poplarlug.callers.connections import HttpLimits
from poplarlug.claims import ClaimSettings
from poplarlug.daemon import (
    EXIT_BAD_SETTINGS,
    add_health_routes,
    exit_with_errors,
    run_daemon,
    stop_event,
)
from poplarlug.distribution.store import FileStore
from poplarlug.entry.entry import Entry
from poplarlug.logs import ComponentLogger
from poplarlug.requestlog import RequestLog, RequestLogSettings
from poplarlug.settings import load_settings
from poplarlug.topology import KeyFiles, LogSettings, Topology

NANOSECONDS_PER_MILLISECOND = 1_000_000

_log = ComponentLogger(prefix="entry")


class EntrySettings(NamedTuple):
    """
    Settings of an entry.

    Parameters
    ----------
    name : str
        Name of this entry in the topology file.
    data_folder : str or None
        Folder for persistent state; ``None`` on a VM without a disk.
    http : HttpLimits
        Limits on the resources that callers can use.
    platform_directory_folder : str or None
        Folder for the files of the platform directory's local substitute.
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
    app = entry.caller_application.build()
    holder = entry.at_most_once.holder
    add_health_routes(app, lambda: entry.is_ready() and holder.allows_readiness)
    runner = await entry.guard.serve(app, own.http)
    supervisor_task = asyncio.ensure_future(entry.supervisor.run())
    _log.info("ready", name=own.name, http=own.http)
    stop_task = asyncio.ensure_future(stop_event().wait())
    await asyncio.wait(
        {supervisor_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
    )
    _log.info("stopping", name=own.name)
    failed = supervisor_task.done()
    await entry.drain()
    await runner.cleanup()
    await entry.client.close()
    supervisor_task.cancel()
    await asyncio.gather(supervisor_task, return_exceptions=True)
    return 1 if failed else 0


def main() -> None:
    """Run ``poplarlug-entry``."""
    run_daemon(EntrySettings, run_entry)
