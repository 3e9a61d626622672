"""Bounds the bytes of answers that an entry holds until they are whole."""

from types import TracebackType

from prometheus_client import Gauge

from poplarlug.metrics import REGISTRY

MAX_HELD_ANSWER_BYTES = 256 * 1024
"""An answer up to this is held until it is whole, so that a broken one can be answered
by a failure or by another attempt."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Of all answers together; a tenth of the memory of the smallest entry VMs."""

_HELD = Gauge(
    "poplarlug_relay_held_bytes",
    "Bytes of answers that are held until they are whole.",
    registry=REGISTRY,
)


class HeldBytesBudget:
    """
    Room for the bytes of answers that are not whole yet.

    Load pattern: upstreams that send without end, or many long answers at once. What
    finds no room is passed on as it comes, at the pace of its caller.

    Parameters
    ----------
    answer_bytes : int
        Room for one answer.
    all_bytes : int
        Room for all of them.
    """

    def __init__(
        self,
        *,
        answer_bytes: int = MAX_HELD_ANSWER_BYTES,
        all_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self.answer_bytes = answer_bytes
        self._all_bytes = all_bytes
        self._held = 0

    def reserve(self) -> "HeldBytesReservation":
        """Return what one answer holds, a context manager that gives it back."""
        return HeldBytesReservation(budget=self)

    def acquire(self, count: int) -> bool:
        """Return whether there is room for so many bytes more, and take it."""
        if self._held + count > self._all_bytes:
            return False
        self._held += count
        _HELD.set(self._held)
        return True

    def release(self, count: int) -> None:
        self._held -= count
        _HELD.set(self._held)


class HeldBytesReservation:
    """The bytes that one answer holds."""

    def __init__(self, *, budget: HeldBytesBudget) -> None:
        self._budget = budget
        self._count = 0

    def __enter__(self) -> "HeldBytesReservation":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._budget.release(self._count)

    def resize(self, count: int) -> bool:
        """Return whether the answer may hold so many bytes; hold them if so."""
        if count > self._budget.answer_bytes or not self._budget.acquire(
            count - self._count
        ):
            return False
        self._count = count
        return True
