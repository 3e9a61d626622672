"""Limits the bytes of incomplete responses that an entry buffers."""

from types import TracebackType

from prometheus_client import Gauge

from poplarlug.metrics import REGISTRY

MAX_HELD_RESPONSE_BYTES = 256 * 1024
"""A response up to this size is buffered until it is complete, so that a truncated one
can be replaced by an error response or another attempt."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Limit for all responses together; a tenth of the memory of the smallest entry VMs."""

MAX_COMPLETION_BYTES = 1024 * 1024
"""Limit for what is held of one answer at the accounts' face."""

MIN_COMPLETION_BYTES = 1024
"""An incomplete line or event up to this size is held beyond any budget."""

MAX_HELD_COMPLETION_BYTES = 8 * 1024 * 1024
"""Limit for all answers together, once for unchecked lines and once for events."""

_HELD = Gauge(
    "poplarlug_relay_held_bytes",
    "Bytes of answers that are held until they are whole.",
    registry=REGISTRY,
)
_HELD_COMPLETIONS = Gauge(
    "poplarlug_held_completion_bytes",
    "Bytes of accounts' answers that are held, by what is awaited.",
    ["part"],
    registry=REGISTRY,
)


class HeldBytesBudget:
    """
    Buffer budget for bodies.

    Load pattern: upstreams that send without end, or many long responses at once.
    A response that exceeds the budget is streamed on as it arrives, at the speed of its
    caller.

    Parameters
    ----------
    max_body_bytes : int
        Limit for one body.
    max_total_bytes : int
        Limit for all bodies together.
    gauge : Gauge
        Shows the reserved bytes.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int = MAX_HELD_RESPONSE_BYTES,
        max_total_bytes: int = MAX_HELD_BYTES,
        gauge: Gauge = _HELD,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._gauge = gauge
        self._held = 0

    def reserve(self) -> "HeldBytesReservation":
        """Return a reservation for one body, a context manager that releases it."""
        return HeldBytesReservation(budget=self)

    def acquire(self, count: int) -> bool:
        """Reserve ``count`` more bytes if available; return whether they were."""
        if self._held + count > self._max_total_bytes:
            return False
        self._held += count
        self._gauge.set(self._held)
        return True

    def release(self, count: int) -> None:
        self._held -= count
        self._gauge.set(self._held)


class HeldBytesReservation:
    """Bytes that are reserved for one body."""

    def __init__(self, *, budget: HeldBytesBudget) -> None:
        self._budget = budget
        self.count = 0

    def __enter__(self) -> "HeldBytesReservation":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._budget.release(self.count)

    def resize(self, count: int) -> bool:
        """Set the reservation to ``count`` bytes if available; return whether it is."""
        if count > self._budget.max_body_bytes or not self._budget.acquire(
            count - self.count
        ):
            return False
        self.count = count
        return True


def completions_budget(part: str) -> HeldBytesBudget:
    """
    Return a budget for answers at the accounts' face.

    Load pattern: many answers with long lines or events. What exceeds the budget is
    passed on without a check of its end.

    Parameters
    ----------
    part : str
        What is held, as a label of the gauge.
    """
    return HeldBytesBudget(
        max_body_bytes=MAX_COMPLETION_BYTES,
        max_total_bytes=MAX_HELD_COMPLETION_BYTES,
        gauge=_HELD_COMPLETIONS.labels(part),
    )
