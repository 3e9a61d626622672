"""A clock that stands still while decisions that belong together are taken."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from poplarlug.types import Seconds


class HeldClock:
    """
    Tell the time of another clock, or that of the moment at which it was held.

    Load pattern: hundreds of requests wait in order for a right that grows with time,
    such as a share of an upstream's rate limit. If each were looked at a little later
    than the one before, a right that comes up in between would go to the wrong one.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._held_at: Seconds | None = None

    def __call__(self) -> Seconds:
        return self._clock() if self._held_at is None else self._held_at

    @contextmanager
    def held(self) -> Iterator[None]:
        """Stand still; no other task may run meanwhile."""
        self._held_at = self._clock()
        try:
            yield
        finally:
            self._held_at = None
