"""Rendezvous hashing: every process makes the same choice without communication."""

from collections.abc import Iterable

import xxhash

from poplarlug.types import VmName


def rank_by_rendezvous(key: str, names: Iterable[VmName]) -> list[VmName]:
    """
    Return ``names`` ordered by their rendezvous weight for ``key``.

    Removing a name does not change the relative order of the others.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name),
    )
