"""Settings of daemons that discover each other by seeds, without a topology file."""

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
from poplarlug.settings import SettingsError, Translate, load_settings
from poplarlug.topology import LogSettings
from poplarlug.types import Address, RegionName, Seconds, VmName, ZoneName

T = TypeVar("T")

SETTINGS_CHECK_SECONDS = 1.0
"""How often the settings file is checked; much shorter than the time allowed for a
reload."""

Port = Annotated[int, Meta(ge=1, le=65535)]
Duration = Annotated[float, Meta(gt=0, le=86_400)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
"""A ratio, factor or number of requests; the platform may set fractions."""

_log = ComponentLogger(prefix="settings")


class SharedBudgets(NamedTuple):
    """
    Budgets that all entries share, as set by the owners of upstreams.

    Parameters
    ----------
    retry_ratio, retry_extra, retry_window_seconds
        Limit of retries to a service per window: a fraction of its requests, plus
        a constant.
    warmup_overage, warmup_slack
        Limit of requests to a cold upstream in any second: a factor on its warm-up
        rate, plus a constant.
    """

    retry_ratio: Amount = 0.2
    retry_extra: Amount = 50.0
    retry_window_seconds: Duration = 10.0
    warmup_overage: Amount = 1.5
    warmup_slack: Amount = 3.0


class RevocationSettings(NamedTuple):
    """
    How soon a key that was taken away must be refused, at all entries.

    Parameters
    ----------
    bound_milliseconds : float
        Time from the acknowledgement of the configuration without the key.
    """

    bound_milliseconds: Annotated[float, Meta(gt=0, le=3_600_000)]


class QuotaSettings(NamedTuple):
    """
    How closely teams' quotas are kept, summed over all entries.

    Parameters
    ----------
    window_seconds : float
        Length of the sliding window in which a quota holds.
    overage, slack : float
        What a window may hold beyond the quota: a fraction of it, plus an amount in
        the quota's unit.
    """

    window_seconds: Duration = 8.0
    overage: Amount = 0.0
    slack: Amount = 0.0


class VmSize(NamedTuple):
    """
    Resources of the VM that the process may use.

    Parameters
    ----------
    cpu_share, cores : float
        Share of a processor's time that it gets, and that processor's speed in nominal
        cores.
    memory_mb, link_mbps : float
        Memory in megabytes, and bandwidth of its link in megabits per second.
    max_files : int
        Number of descriptors that it may have open.
    """

    cpu_share: Annotated[float, Meta(gt=0, le=1024)]
    cores: Annotated[float, Meta(gt=0, le=1024)]
    memory_mb: Annotated[float, Meta(gt=0, le=1e7)]
    max_files: Annotated[int, Meta(gt=0, le=10**8)]
    link_mbps: Annotated[float, Meta(gt=0, le=1e7)]

    @property
    def nominal_cores(self) -> float:
        """Processor time that it gets per second, in seconds of a nominal core."""
        return self.cpu_share * self.cores


class SeededEntrySettings(NamedTuple):
    """
    Settings of an entry that discovers the deployment by seeds.

    Parameters
    ----------
    ip : str
        IP address of this VM, used with all of the ports below.
    http : Address
        Listening address for callers.
    readiness, directory : Address
        Listening addresses of the platform's readiness check, and of the directory
        of entries for callers.
    peers_port, forwards_port, metrics_port : int
        Ports for control replicas, for other entries and for metrics.
    seeds : tuple of Address
        Control replicas; only their hosts are used, with ``peers_port``.
    grace_seconds : float
        Time from SIGTERM until the process is killed.
    directory_life_seconds : float
        How long callers may cache a response of the directory.
    revocation : RevocationSettings or None
        ``None`` to take what is known as new enough while no control replica answers.
    quotas : QuotaSettings or None
        ``None`` for the default bounds.
    vm : VmSize or None
        ``None`` if unknown; limits then have their defaults.
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
    revocation: RevocationSettings | None = None
    quotas: QuotaSettings | None = None
    vm: VmSize | None = None
    log: LogSettings = LogSettings()

    def cross_check(self) -> list[SettingsError]:
        return _check_region(self.zone, self.region, self.regions_by_zone)


class SeededControlSettings(NamedTuple):
    """
    Settings of a control replica that discovers the others by seeds.

    Parameters
    ----------
    http : Address
        Listening address for operators and upstreams.
    data_folder : str
        Folder of the replicated log.
    bootstrap : bool
        Whether the seeds create a new control group when all of them are empty.
    beat_milliseconds : float
        Interval of upstreams' heartbeats.
    catch_up_seconds : float or None
        Time after its start within which a new replica should have taken over the vote
        of a lost one; ``None`` for no such target.
    grpc : Address or None
        Listening address for operators' gRPC calls; ``None`` to not serve them.
    operator_key_hashes_file : str
        File with one hash of an operator's key per line; required with ``grpc``.
    quotas : QuotaSettings or None
        ``None`` for the default bounds.
    vm : VmSize or None
        ``None`` if unknown; limits then have their defaults.
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
    beat_milliseconds: Annotated[float, Meta(gt=0, le=3_600_000)] = 1200.0
    catch_up_seconds: Annotated[float, Meta(gt=0, le=3600)] | None = None
    grpc: Address | None = None
    operator_key_hashes_file: str = ""
    quotas: QuotaSettings | None = None
    vm: VmSize | None = None
    log: LogSettings = LogSettings()

    def cross_check(self) -> list[SettingsError]:
        errors = _check_region(self.zone, self.region, self.regions_by_zone)
        if self.grpc is not None and not self.operator_key_hashes_file:
            message = "missing; operators' calls need the hashes of their keys"
            errors.append(SettingsError("$.operator_key_hashes_file", message))
        return errors


def seed_peer_addresses(seeds: tuple[str, ...], peers_port: int) -> tuple[Address, ...]:
    """Return the seeds' peer addresses, independent of the order of the seeds."""
    hosts = {seed.rpartition(":")[0] or seed for seed in seeds}
    return tuple(sorted(f"{host}:{peers_port}" for host in hosts))


def seconds_since_boot() -> Seconds:
    """Return the seconds since the VM booted, including time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FileWatch:
    """Detects that a file's content may have changed."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._last_stamp = self._stamp()

    def has_changed(self) -> bool:
        """Return whether the file differs from the one at the last call."""
        stamp = self._stamp()
        changed = stamp != self._last_stamp and stamp is not None
        self._last_stamp = stamp or self._last_stamp
        return changed

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # The file is being replaced.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


async def watch_settings(
    path: Path,
    kind: type[T],
    reload: Callable[[T], object],
    translate: Translate | None = None,
) -> None:
    """Reload settings whenever their file changes, and on SIGHUP."""
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
        loaded = load_settings(path, kind, translate)
        if isinstance(loaded, Success):
            reload(loaded.unwrap())
            _log.info("reloaded", file=str(path))
        else:
            errors = [str(error) for error in loaded.failure()]
            _log.error("kept the previous settings", errors=errors)


def _check_region(
    zone: ZoneName, region: RegionName, regions_by_zone: Mapping[ZoneName, RegionName]
) -> list[SettingsError]:
    expected = regions_by_zone.get(zone)
    if expected == region:
        return []
    message = f"got {region!r} for zone {zone!r}, but regions_by_zone has {expected!r}"
    return [SettingsError("$.region", message)]
