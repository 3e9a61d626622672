"""Selects the entries that a caller should use."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

import xxhash
from prometheus_client import Counter

from poplarlug.discovery.records import EntryRecord
from poplarlug.metrics import REGISTRY
from poplarlug.types import Address, RegionName, Seconds, ZoneName

MAX_RANKED = 64
ENOUGH_IN_ZONE = 2
"""With at least this many entries in the caller's zone, only these are offered."""

HASH_RANGE = 2**64

REDRAW_SECONDS = 60.0
"""How long a caller is named the same entries, so that it keeps its connections."""

_ANSWERS = Counter(
    "poplarlug_directory_answers_total",
    "Answers of the directory that name all of the nearest entries, or some by room.",
    ["choice"],
    registry=REGISTRY,
)


class DirectoryRequest(NamedTuple):
    """
    A caller's request for the entries that it should use.

    Parameters
    ----------
    caller : str
        Its address without the port.
    at : float
        Seconds on a clock that all entries share roughly.
    """

    zone: ZoneName
    region: RegionName
    caller: str = ""
    at: Seconds = 0.0


def rank_entries(
    entries: Iterable[EntryRecord], request: DirectoryRequest
) -> list[Address]:
    """
    Return the addresses of the entries nearest to a caller.

    Entries of other regions are offered only if the caller's region has none that
    accepts requests, so that callers' data stays in their region whenever possible.

    Load pattern: entries differ in size, and callers draw one of the addresses at
    random for each connection. So an answer contains an entry with a probability in
    proportion to its room. All entries name a caller the same ones, as it closes its
    connections to others; these change every :data:`REDRAW_SECONDS`.
    """
    serving = [entry for entry in entries if entry.state == "serving"]
    in_zone = [entry for entry in serving if entry.zone == request.zone]
    in_region = [entry for entry in serving if entry.region == request.region]
    enough = len(in_zone) >= ENOUGH_IN_ZONE
    nearest = in_zone if enough else in_region or serving
    by_room = len({entry.room for entry in nearest}) > 1
    if by_room:
        nearest = draw_by_room(nearest, request)
    _ANSWERS.labels("by_room" if by_room else "all").inc()
    return [entry.http for entry in nearest][:MAX_RANKED]


def draw_by_room(
    entries: Sequence[EntryRecord], request: DirectoryRequest
) -> list[EntryRecord]:
    """
    Return a sample that contains entries with probabilities in proportion to their room.

    It contains the largest entries and at least :data:`ENOUGH_IN_ZONE`, if there are as
    many. When an entry leaves, the others stay as they are.
    """
    caller = xxhash.xxh3_64_intdigest(request.caller.encode())
    # Callers change at different times.
    period = int(request.at / REDRAW_SECONDS + caller / HASH_RANGE)
    largest = max(entry.room for entry in entries)
    places = {
        entry.name: _draw(f"{entry.name}/{period}", seed=caller) * largest / entry.room
        for entry in entries
    }
    drawn = sum(place < 1.0 for place in places.values())
    count = min(max(drawn, ENOUGH_IN_ZONE), MAX_RANKED)
    return sorted(entries, key=lambda entry: places[entry.name])[:count]


def _draw(text: str, *, seed: int) -> float:
    """Return a number from 0 to less than 1 that follows from ``text``."""
    return (xxhash.xxh3_64_intdigest(text.encode(), seed) >> 11) / 2**53


def pick_by_room(entries: Sequence[EntryRecord], rng: Random) -> EntryRecord:
    """
    Return a random entry, drawn in proportion to room.

    Load pattern: entries of one region hand requests on to those of another.
    """
    rooms = [entry.room for entry in entries]
    if len(set(rooms)) == 1:
        return rng.choice(entries)
    return rng.choices(entries, rooms)[0]
