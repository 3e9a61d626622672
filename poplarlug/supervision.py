"""Supervisor tree: restarts failed tasks with backoff, or escalates the failure."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

from poplarlug.logs import ComponentLogger
from poplarlug.metrics import SUPERVISOR_FAILURES

MAX_RESTARTS = 8
RESTART_WINDOW_SECONDS = 60.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 10.0

ChildFactory = Callable[[], Awaitable[None]]

_log = ComponentLogger(prefix="supervision")


class RestartsExhaustedError(Exception):
    """A child failed too often within the window, so its supervisor gives up."""


class Supervisor:
    """
    Run named children, each in a task, and restart those that fail.

    A child that returns is done. A child that raises is restarted after an
    exponential delay with jitter. More than ``max_restarts`` failures of one
    child in ``window_seconds`` end the supervisor with
    :class:`RestartsExhaustedError`, which its parent supervisor handles as a failure.
    When the supervisor ends, its children are cancelled one by one in reverse order
    of their start, so that no child outlives one that it depends on.

    Parameters
    ----------
    name : str
        Name for log lines and metrics.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        *,
        name: str,
        rng: Random,
        max_restarts: int = MAX_RESTARTS,
        window_seconds: float = RESTART_WINDOW_SECONDS,
    ) -> None:
        self._name = name
        self._rng = rng
        self._max_restarts = max_restarts
        self._window_seconds = window_seconds
        self._children_by_name: dict[str, ChildFactory] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._running = False

    def add_child(self, name: str, factory: ChildFactory) -> None:
        """Add a child; it starts at once if the supervisor is already running."""
        self._children_by_name[name] = factory
        if self._running:
            self._start(name, factory)

    async def run(self) -> None:
        """
        Run all children until they are done or one of them exhausts its restarts.

        Raises
        ------
        RestartsExhaustedError
            When a child failed more than ``max_restarts`` times within the window.
        """
        self._running = True
        for name, factory in self._children_by_name.items():
            self._start(name, factory)
        try:
            while self._tasks:
                done, _ = await asyncio.wait(
                    self._tasks, return_when=asyncio.FIRST_COMPLETED
                )
                self._tasks = [task for task in self._tasks if task not in done]
                for task in done:
                    task.result()
        finally:
            self._running = False
            await self._stop_children()

    def _start(self, name: str, factory: ChildFactory) -> None:
        task = asyncio.ensure_future(self._keep_running(name, factory))
        self._tasks.append(task)

    async def _stop_children(self) -> None:
        while self._tasks:
            task = self._tasks.pop()
            task.cancel()
            _, pending = await asyncio.wait({task}, timeout=STOP_TIMEOUT_SECONDS)
            if pending:
                _log.error("child did not stop in time", supervisor=self._name)
            elif not task.cancelled() and task.exception() is not None:
                error = repr(task.exception())
                _log.error("child failed to stop", supervisor=self._name, error=error)

    async def _keep_running(self, name: str, factory: ChildFactory) -> None:
        loop = asyncio.get_running_loop()
        failures: deque[float] = deque()
        while True:
            try:
                await factory()
                return
            except Exception as error:
                now = loop.time()
                failures.append(now)
                while failures and now - failures[0] > self._window_seconds:
                    failures.popleft()
                _log.error(
                    "child failed",
                    supervisor=self._name,
                    child=name,
                    error=repr(error),
                    exc_info=True,
                )
                SUPERVISOR_FAILURES.labels(self._name, name).inc()
                if len(failures) > self._max_restarts:
                    raise RestartsExhaustedError(
                        f"{self._name}/{name} failed {len(failures)} times"
                    ) from error
            await asyncio.sleep(self._backoff(len(failures)))

    def _backoff(self, failures: int) -> float:
        delay = FIRST_BACKOFF_SECONDS * 2 ** min(failures - 1, 10)
        return min(delay, MAX_BACKOFF_SECONDS) * (0.5 + self._rng.random())
