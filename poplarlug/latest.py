"""An observable that holds its latest value for many tasks to read and wait on."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from reactivex.subject import BehaviorSubject

T = TypeVar("T")


class Latest(Generic[T]):
    """
    Hold a value and notify subscribers of each new one; values are not queued.

    Parameters
    ----------
    initial : T
        The value until the first :meth:`set`.
    """

    def __init__(self, *, initial: T) -> None:
        self.subject: BehaviorSubject[T] = BehaviorSubject(initial)

    @property
    def value(self) -> T:
        return self.subject.value

    def set(self, value: T) -> None:
        self.subject.on_next(value)

    async def wait_for(self, predicate: Callable[[T], bool]) -> T:
        """Return the first value, the current one included, that fits ``predicate``."""
        found: asyncio.Future[T] = asyncio.get_running_loop().create_future()

        def check(value: T) -> None:
            if not found.done() and predicate(value):
                found.set_result(value)

        subscription = self.subject.subscribe(check)
        try:
            return await found
        finally:
            subscription.dispose()
