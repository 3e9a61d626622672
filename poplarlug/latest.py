"""A latest-value subject that many tasks read and wait on."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from reactivex.subject import BehaviorSubject

T = TypeVar("T")


class Latest(Generic[T]):
    """
    Hold one value and tell watchers of each newer one; never queues.

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
        """Return the first value, the present one included, that fits."""
        found: asyncio.Future[T] = asyncio.get_running_loop().create_future()

        def check(value: T) -> None:
            if not found.done() and predicate(value):
                found.set_result(value)

        subscription = self.subject.subscribe(check)
        try:
            return await found
        finally:
            subscription.dispose()
