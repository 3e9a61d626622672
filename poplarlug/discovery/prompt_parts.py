"""Prompt parts that entries sent to engines, shared within a region with load reports."""

import struct
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun

PART_BYTES = 8
"""Size of a part's key, a hash of its model and its id."""

MAX_PARTS_PER_REPORT = 1024
"""Maximum number of parts that one entry reports, or learns, at a time, 8 KB. An entry
that sent more has no caller who returns before others learn of them."""


class EngineParts(NamedTuple):
    """
    Shared parts that an engine was sent, as far as others don't know yet.

    Parameters
    ----------
    read_tokens : int
        Tokens that it was sent to prefill since the last report.
    parts : bytes
        Keys of the parts, see :func:`pack_parts`.
    """

    id: str
    born: int
    read_tokens: int
    parts: bytes = b""

    @property
    def run(self) -> UpstreamRun:
        return UpstreamRun(self.id, self.born)


class PartNews(NamedTuple):
    """
    Parts sent to engines, in a poll by the entry itself and in a reply by the others.

    Parameters
    ----------
    revision : int
        Revision of the replica's log of parts that the entry has reached.
    """

    revision: int = 0
    engines: tuple[EngineParts, ...] = ()


class PartExchange(ABC):
    """What an entry tells of the parts that it sent, and learns of those of others."""

    @abstractmethod
    def take_sent(self) -> tuple[EngineParts, ...]:
        """Return what was sent since the last call; it isn't returned again."""

    @abstractmethod
    def note_sent_by_others(self, engines: Iterable[EngineParts]) -> None:
        """Record what other entries sent."""


def pack_parts(keys: Sequence[int]) -> bytes:
    """Return the keys as bytes, ``PART_BYTES`` each."""
    return struct.pack(f"<{len(keys)}Q", *keys)


def unpack_parts(parts: bytes) -> tuple[int, ...]:
    """Return the keys in ``parts``."""
    count = len(parts) // PART_BYTES
    keys: tuple[int, ...] = struct.unpack_from(f"<{count}Q", parts)
    return keys
