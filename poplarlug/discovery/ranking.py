"""Which entries a caller should use."""

from collections.abc import Iterable

from poplarlug.discovery.records import EntryRecord
from poplarlug.types import Address, RegionName, ZoneName

MAX_RANKED = 64
ENOUGH_IN_ZONE = 2
"""Entries of the caller's own zone that are enough to offer only these."""


def rank_entries(
    entries: Iterable[EntryRecord], zone: ZoneName, region: RegionName
) -> list[Address]:
    """
    Return the addresses of the entries nearest to a caller.

    Entries of another region are offered only where the caller's region has none
    that takes requests: data of callers stays in their region as long as it can.
    """
    serving = [entry for entry in entries if entry.state == "serving"]
    in_zone = [entry for entry in serving if entry.zone == zone]
    in_region = [entry for entry in serving if entry.region == region]
    enough = len(in_zone) >= ENOUGH_IN_ZONE
    chosen = in_zone if enough else in_region or serving
    return [entry.http for entry in chosen][:MAX_RANKED]
