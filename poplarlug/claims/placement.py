"""Placement of claims: home zone and holders of a key."""

import xxhash

from poplarlug.catalog import Account
from poplarlug.claims.records import ClaimKey
from poplarlug.topology import Topology
from poplarlug.types import VmName, ZoneName

HOLDERS_PER_KEY = 3
ZONE_SEPARATOR = ":"


def home_zone(key: str, account: Account, topology: Topology) -> ZoneName | None:
    """
    Return the zone whose entries hold the claim of ``key``.

    This is the zone named before the first colon of the key if it lies in a region
    of the account, else the first zone of the account's home region. Return
    ``None`` if the account may not use its home region or that has no zone.
    """
    regions_by_zone = {vm.zone: vm.region for vm in topology.entries}
    named, separator, _ = key.partition(ZONE_SEPARATOR)
    if separator and regions_by_zone.get(named) in account.regions:
        return named
    if account.home_region not in account.regions:
        return None
    return next(
        (
            zone
            for zone, region in regions_by_zone.items()
            if region == account.home_region
        ),
        None,
    )


def holders_of(key: ClaimKey, topology: Topology) -> tuple[VmName, ...]:
    """
    Return the configured entries of the key's zone that hold its claim.

    Uses rendezvous hashing over the configured VMs rather than the live ones, so
    that all entries agree whatever their view of the membership.
    """
    names = [vm.name for vm in topology.entries_of_zone(key.zone)]
    text = f"{key.account}\0{key.key}"
    ranked = sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}\0{text}".encode())
    )
    return tuple(ranked[:HOLDERS_PER_KEY])


def majority_of(holders: tuple[VmName, ...]) -> int:
    return len(holders) // 2 + 1
