"""Limits the bytes of incomplete responses that an entry buffers."""

from types import TracebackType

from prometheus_client import Gauge

from poplarlug.metrics import REGISTRY

MAX_HELD_RESPONSE_BYTES = 256 * 1024
"""A response up to this size is buffered until it is complete, so that a truncated one
can be replaced by an error response or another attempt."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Limit for all responses together; a tenth of the memory of the smallest entry VMs."""

_HELD = Gauge(
    "poplarlug_relay_held_bytes",
    "Bytes of answers that are held until they are whole.",
    registry=REGISTRY,
)


class HeldBytesBudget:
    """
    Buffer budget for incomplete responses.

    Load pattern: upstreams that send without end, or many long responses at once.
    A response that exceeds the budget is streamed on as it arrives, at the speed of its
    caller.

    Parameters
    ----------
    max_response_bytes : int
        Limit for one response.
    max_total_bytes : int
        Limit for all responses together.
    """

    def __init__(
        self,
        *,
        max_response_bytes: int = MAX_HELD_RESPONSE_BYTES,
        max_total_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self._max_total_bytes = max_total_bytes
        self._held = 0

    def reserve(self) -> "HeldBytesReservation":
        """Return a reservation for one response, a context manager that releases it."""
        return HeldBytesReservation(budget=self)

    def acquire(self, count: int) -> bool:
        """Reserve ``count`` more bytes if available; return whether they were."""
        if self._held + count > self._max_total_bytes:
            return False
        self._held += count
        _HELD.set(self._held)
        return True

    def release(self, count: int) -> None:
        self._held -= count
        _HELD.set(self._held)


class HeldBytesReservation:
    """Bytes that are reserved for one response."""

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
        """Set the reservation to ``count`` bytes if available; return whether it is."""
        if count > self._budget.max_response_bytes or not self._budget.acquire(
            count - self._count
        ):
            return False
        self._count = count
        return True
