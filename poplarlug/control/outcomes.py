"""Bounded table of request outcomes by request id."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

import msgspec
import xxhash

T = TypeVar("T")


class Recorded(NamedTuple, Generic[T]):
    """
    An outcome and the hash of its request.

    Parameters
    ----------
    content_hash : int
        Hash of the request, to distinguish a resend from another request with the
        same id.
    """

    content_hash: int
    outcome: T


class OutcomeTable(Generic[T]):
    """
    Outcomes by request id; the oldest are evicted.

    Parameters
    ----------
    max_outcomes : int
        Maximum number of outcomes held.
    """

    def __init__(self, *, max_outcomes: int) -> None:
        self._max_outcomes = max_outcomes
        self._recorded_by_id: OrderedDict[str, Recorded[T]] = OrderedDict()

    def find(self, request_id: str) -> Recorded[T] | None:
        return self._recorded_by_id.get(request_id)

    def record(self, request_id: str, content_hash: int, outcome: T) -> None:
        """Store ``outcome``, replacing any previous outcome of the id."""
        self._recorded_by_id[request_id] = Recorded(content_hash, outcome)
        while len(self._recorded_by_id) > self._max_outcomes:
            self._recorded_by_id.popitem(last=False)

    def items(self) -> tuple[tuple[str, Recorded[T]], ...]:
        return tuple(self._recorded_by_id.items())

    def restore(self, items: Iterable[tuple[str, Recorded[T]]]) -> None:
        self._recorded_by_id = OrderedDict(items)


def hash_content(request: object) -> int:
    """Return a hash of ``request`` that is the same in every process."""
    # Reduced to 63 bits, so that any msgpack decoder can hold it in a signed int64.
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(request)) >> 1
