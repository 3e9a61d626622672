"""The VMs of a deployment, as its topology file lists them."""

from pathlib import Path
from typing import NamedTuple

from poplarlug.types import Address, RegionName, VmName, ZoneName


class EntryVm(NamedTuple):
    """
    An entry VM.

    Parameters
    ----------
    http : Address
        Where callers and upstreams of the zone reach it.
    peers : Address
        Where the system's other processes reach it.
    """

    name: VmName
    region: RegionName
    zone: ZoneName
    http: Address
    peers: Address


class ControlVm(NamedTuple):
    """A VM with a disk that holds a control replica."""

    name: VmName
    region: RegionName
    zone: ZoneName
    peers: Address
    grpc: Address
    http: Address


class Topology(NamedTuple):
    """Contents of a topology file, the same on all VMs of a deployment."""

    deployment: str
    entries: tuple[EntryVm, ...]
    control: tuple[ControlVm, ...]

    def entry(self, name: VmName) -> EntryVm | None:
        return next((vm for vm in self.entries if vm.name == name), None)

    def control_vm(self, name: VmName) -> ControlVm | None:
        return next((vm for vm in self.control if vm.name == name), None)

    def entries_of_zone(self, zone: ZoneName) -> tuple[EntryVm, ...]:
        return tuple(vm for vm in self.entries if vm.zone == zone)

    def peer_addresses_by_name(self) -> dict[VmName, Address]:
        """Return the addresses of all processes of the deployment."""
        by_name = {vm.name: vm.peers for vm in self.entries}
        by_name.update({vm.name: vm.peers for vm in self.control})
        return by_name


class KeyFiles(NamedTuple):
    """Where a process finds its own secret key and its peers' public ones."""

    secret_file: str
    peers_folder: str

    def relative_to(self, folder: Path) -> "KeyFiles":
        """Return the same files with paths taken from ``folder``."""
        return KeyFiles(str(folder / self.secret_file), str(folder / self.peers_folder))


class LogSettings(NamedTuple):
    """Format (``json`` or ``console``) and lowest level of log lines."""

    format: str = "json"
    level: str = "info"
