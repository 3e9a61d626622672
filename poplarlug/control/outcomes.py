"""A bounded table of the outcomes of identified requests."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

import msgspec
import xxhash

T = TypeVar("T")


class Recorded(NamedTuple, Generic[T]):
    """
    An outcome and what it was the outcome of.

    Parameters
    ----------
    content_hash : int
        Hash of the request, to tell a resend from another request that uses
        the same id.
    """

    content_hash: int
    outcome: T


class OutcomeTable(Generic[T]):
    """
    First outcomes by request id; the oldest are forgotten.

    Parameters
    ----------
    max_outcomes : int
        How many outcomes are held.
    """

    def __init__(self, *, max_outcomes: int) -> None:
        self._max_outcomes = max_outcomes
        self._recorded_by_id: OrderedDict[str, Recorded[T]] = OrderedDict()

    def find(self, request_id: str) -> Recorded[T] | None:
        return self._recorded_by_id.get(request_id)

    def record(self, request_id: str, content_hash: int, outcome: T) -> None:
        """Hold ``outcome`` in place of the id's former one, if any."""
        self._recorded_by_id[request_id] = Recorded(content_hash, outcome)
        while len(self._recorded_by_id) > self._max_outcomes:
            self._recorded_by_id.popitem(last=False)

    def items(self) -> tuple[tuple[str, Recorded[T]], ...]:
        return tuple(self._recorded_by_id.items())

    def restore(self, items: Iterable[tuple[str, Recorded[T]]]) -> None:
        self._recorded_by_id = OrderedDict(items)


def hash_content(request: object) -> int:
    """Return the same hash for equal requests on every process."""
    # Signed 64 bits fit msgpack whatever decodes it.
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(request)) >> 1
