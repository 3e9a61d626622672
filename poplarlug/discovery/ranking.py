"""Selects the entries that a caller should use."""

from collections.abc import Iterable

from poplarlug.discovery.records import EntryRecord
from poplarlug.types import Address, RegionName, ZoneName

MAX_RANKED = 64
ENOUGH_IN_ZONE = 2
"""With at least this many entries in the caller's zone, only these are offered."""


def rank_entries(
    entries: Iterable[EntryRecord], zone: ZoneName, region: RegionName
) -> list[Address]:
    """
    Return the addresses of the entries nearest to a caller.

    Entries of other regions are offered only if the caller's region has none that
    accepts requests, so that callers' data stays in their region whenever possible.
    """
    serving = [entry for entry in entries if entry.state == "serving"]
    in_zone = [entry for entry in serving if entry.zone == zone]
    in_region = [entry for entry in serving if entry.region == region]
    enough = len(in_zone) >= ENOUGH_IN_ZONE
    chosen = in_zone if enough else in_region or serving
    return [entry.http for entry in chosen][:MAX_RANKED]
