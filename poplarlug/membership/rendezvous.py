"""Rendezvous hashing: the same choice on every process, with no messages."""

from collections.abc import Iterable

import xxhash

from poplarlug.types import VmName


def rank_by_rendezvous(key: str, names: Iterable[VmName]) -> list[VmName]:
    """
    Return ``names`` in the order of their weight for ``key``.

    A name that goes away moves up only those below it.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name),
    )
