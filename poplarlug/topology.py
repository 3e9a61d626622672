"""The VMs of a deployment, as listed in its topology file."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from poplarlug.addresses import is_address
from poplarlug.logs import LogFormat, LogLevel
from poplarlug.settings import SettingsError
from poplarlug.types import Address, RegionName, VmName, ZoneName

MAX_PORT = 65535


class EntryVm(NamedTuple):
    """
    An entry VM.

    Parameters
    ----------
    http : Address
        Address for callers, and for upstreams of the zone.
    peers : Address
        Address for poplarlug's other processes.
    """

    name: VmName
    region: RegionName
    zone: ZoneName
    http: Address
    peers: Address


class ControlVm(NamedTuple):
    """A VM with a disk that runs a control replica."""

    name: VmName
    region: RegionName
    zone: ZoneName
    peers: Address
    grpc: Address
    http: Address


class Topology(NamedTuple):
    """Contents of a topology file, identical on all VMs of a deployment."""

    deployment: str
    entries: tuple[EntryVm, ...]
    control: tuple[ControlVm, ...]

    def cross_check(self) -> list[SettingsError]:
        """Return all inconsistencies between VMs, and all invalid addresses."""
        return [
            *self._check_names(),
            *self._check_addresses(),
            *self._check_zones(),
        ]

    def entry(self, name: VmName) -> EntryVm | None:
        return next((vm for vm in self.entries if vm.name == name), None)

    def control_vm(self, name: VmName) -> ControlVm | None:
        return next((vm for vm in self.control if vm.name == name), None)

    def entries_of_zone(self, zone: ZoneName) -> tuple[EntryVm, ...]:
        return tuple(vm for vm in self.entries if vm.zone == zone)

    def peer_addresses_by_name(self) -> dict[VmName, Address]:
        """Return the peer addresses of all entries and control replicas."""
        by_name = {vm.name: vm.peers for vm in self.entries}
        by_name.update({vm.name: vm.peers for vm in self.control})
        return by_name

    def _check_names(self) -> list[SettingsError]:
        errors = []
        if not self.entries:
            errors.append(SettingsError("$.entries", "got none, expected at least one"))
        if not self.control:
            errors.append(SettingsError("$.control", "got none, expected 3 or 5"))
        names = [vm.name for vm in self.entries]
        names += [vm.name for vm in self.control]
        for name in _duplicates(names):
            message = f"the name {name!r} stands twice; give each VM one of its own"
            errors.append(SettingsError("$", message))
        return errors

    def _check_addresses(self) -> list[SettingsError]:
        paths_by_address: dict[Address, list[str]] = {}
        errors = []
        for path, address in self._addresses():
            paths_by_address.setdefault(address, []).append(path)
            if not is_address(address):
                message = (
                    f"got {address!r}, expected an IP number and a port, "
                    "as '10.0.0.7:8101'"
                )
                errors.append(SettingsError(path, message))
        for address, paths in paths_by_address.items():
            if len(paths) > 1:
                message = f"{address!r} stands at {', '.join(paths[:-1])} too"
                errors.append(SettingsError(paths[-1], message))
        return errors

    def _addresses(self) -> Iterable[tuple[str, Address]]:
        for index, entry in enumerate(self.entries):
            yield f"$.entries[{index}].http", entry.http
            yield f"$.entries[{index}].peers", entry.peers
        for index, control in enumerate(self.control):
            yield f"$.control[{index}].peers", control.peers
            yield f"$.control[{index}].grpc", control.grpc
            yield f"$.control[{index}].http", control.http

    def _check_zones(self) -> list[SettingsError]:
        regions_by_zone: dict[ZoneName, RegionName] = {}
        errors = []
        for index, entry in enumerate(self.entries):
            region = regions_by_zone.setdefault(entry.zone, entry.region)
            if region != entry.region:
                message = f"zone {entry.zone!r} lies in region {region!r} above"
                path = f"$.entries[{index}].region"
                errors.append(
                    SettingsError(path, f"got {entry.region!r}, but {message}")
                )
        for index, control in enumerate(self.control):
            path = f"$.control[{index}]"
            region = regions_by_zone.get(control.zone, "")
            if not region:
                known = ", ".join(regions_by_zone) or "none"
                message = (
                    f"got {control.zone!r}, expected a zone of the entries: {known}"
                )
                errors.append(SettingsError(f"{path}.zone", message))
            elif region != control.region:
                message = (
                    f"got {control.region!r}, expected {region!r}, as its zone has"
                )
                errors.append(SettingsError(f"{path}.region", message))
        return errors


class KeyFiles(NamedTuple):
    """Paths of a process's secret key and of its peers' public keys."""

    secret_file: str
    peers_folder: str

    def relative_to(self, folder: Path) -> "KeyFiles":
        """Return the same files with relative paths resolved against ``folder``."""
        return KeyFiles(str(folder / self.secret_file), str(folder / self.peers_folder))


class LogSettings(NamedTuple):
    """Format (``json`` or ``console``) and minimum level of log lines."""

    format: LogFormat = "json"
    level: LogLevel = "info"


def _duplicates(names: Iterable[str]) -> list[str]:
    return sorted(name for name, count in Counter(names).items() if count > 1)
