"""Settings of daemons that find each other by seeds, with no topology file."""

import asyncio
import os
import signal
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, NamedTuple, TypeVar

from msgspec import Meta
from returns.result import Success

from poplarlug.logs import ComponentLogger
from poplarlug.settings import SettingsError, load_settings
from poplarlug.topology import LogSettings
from poplarlug.types import Address, RegionName, Seconds, VmName, ZoneName

T = TypeVar("T")

SETTINGS_CHECK_SECONDS = 1.0
"""How often the settings file is looked at; well within the time for a reload."""

Port = Annotated[int, Meta(ge=1, le=65535)]
Duration = Annotated[float, Meta(gt=0, le=3600)]
Ratio = Annotated[float, Meta(ge=0, le=100)]
Count = Annotated[int, Meta(ge=0)]

_log = ComponentLogger(prefix="settings")


class SharedBudgets(NamedTuple):
    """
    Budgets that all entries spend from together, as upstreams' owners set them.

    Parameters
    ----------
    retry_ratio, retry_extra, retry_window_seconds
        Repeats to a service in a window: a share of its requests, and some more.
    warmup_overage, warmup_slack
        Factor on a cold upstream's rate, and requests beyond it, in any second.
    """

    retry_ratio: Ratio = 0.2
    retry_extra: Count = 50
    retry_window_seconds: Duration = 10.0
    warmup_overage: Ratio = 1.5
    warmup_slack: Ratio = 3.0


class SeededEntrySettings(NamedTuple):
    """
    Settings of an entry that finds the deployment by seeds.

    Parameters
    ----------
    ip : str
        Where all ports of this VM are.
    http : Address
        Where callers reach it.
    readiness, directory : Address
        Where the platform asks for readiness, and callers for entries.
    peers_port, forwards_port, metrics_port : int
        For control replicas, for other entries and for metrics.
    seeds : tuple of Address
        Control replicas; only their hosts count, with ``peers_port``.
    grace_seconds : float
        Time from SIGTERM until the process is killed.
    directory_life_seconds : float
        How long callers may keep an answer of the directory.
    """

    name: VmName
    zone: ZoneName
    region: RegionName
    regions_by_zone: dict[ZoneName, RegionName]
    ip: str
    http: Address
    readiness: Address
    directory: Address
    peers_port: Port
    forwards_port: Port
    metrics_port: Port
    seeds: tuple[str, ...]
    grace_seconds: Duration = 8.0
    directory_life_seconds: Duration = 2.0
    budgets: SharedBudgets = SharedBudgets()
    log: LogSettings = LogSettings()

    def cross_check(self) -> list[SettingsError]:
        return _check_region(self.zone, self.region, self.regions_by_zone)


class SeededControlSettings(NamedTuple):
    """
    Settings of a control replica that finds the others by seeds.

    Parameters
    ----------
    http : Address
        Where operators and upstreams reach it.
    data_folder : str
        Where the log lives.
    bootstrap : bool
        Whether the seeds found a new group when all of them hold nothing.
    beat_milliseconds : float
        Time between two announcements of an upstream.
    grpc : Address or None
        Where operators' remote procedure calls are served, if they are.
    operator_key_hashes_file : str
        File with one hash of an operator's key a line; needed with ``grpc``.
    """

    name: VmName
    zone: ZoneName
    region: RegionName
    regions_by_zone: dict[ZoneName, RegionName]
    ip: str
    http: Address
    peers_port: Port
    metrics_port: Port
    seeds: tuple[str, ...]
    data_folder: str
    bootstrap: bool = False
    beat_milliseconds: Annotated[float, Meta(gt=0, le=60_000)] = 1200.0
    grpc: Address | None = None
    operator_key_hashes_file: str = ""
    log: LogSettings = LogSettings()

    def cross_check(self) -> list[SettingsError]:
        errors = _check_region(self.zone, self.region, self.regions_by_zone)
        if self.grpc is not None and not self.operator_key_hashes_file:
            message = "missing; operators' calls need the hashes of their keys"
            errors.append(SettingsError("$.operator_key_hashes_file", message))
        return errors


def seed_peer_addresses(seeds: tuple[str, ...], peers_port: int) -> tuple[Address, ...]:
    """Return the seeds' addresses for peers, the same in any order of the seeds."""
    hosts = {seed.rpartition(":")[0] or seed for seed in seeds}
    return tuple(sorted(f"{host}:{peers_port}" for host in hosts))


def seconds_since_boot() -> Seconds:
    """Return seconds since the VM's start, those while it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FileWatch:
    """Tells when a file's content may have changed."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._last_stamp = self._stamp()

    def has_changed(self) -> bool:
        """Return whether the file is another one than at the last call."""
        stamp = self._stamp()
        changed = stamp != self._last_stamp and stamp is not None
        self._last_stamp = stamp or self._last_stamp
        return changed

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # It is between its old and its new content.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


async def watch_settings(
    path: Path, kind: type[T], reload: Callable[[T], object]
) -> None:
    """Reload settings whenever their file changes, and at SIGHUP."""
    watch = FileWatch(path=path)
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_SECONDS):
                await reload_requested.wait()
        except TimeoutError:
            if not watch.has_changed():
                continue
        reload_requested.clear()
        loaded = load_settings(path, kind)
        if isinstance(loaded, Success):
            reload(loaded.unwrap())
            _log.info("reloaded", file=str(path))
        else:
            errors = [str(error) for error in loaded.failure()]
            _log.error("kept the former settings", errors=errors)


def _check_region(
    zone: ZoneName, region: RegionName, regions_by_zone: Mapping[ZoneName, RegionName]
) -> list[SettingsError]:
    expected = regions_by_zone.get(zone)
    if expected == region:
        return []
    message = f"got {region!r} for zone {zone!r}, but regions_by_zone has {expected!r}"
    return [SettingsError("$.region", message)]
