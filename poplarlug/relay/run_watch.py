"""Proves that the process at an address has been the same one for a while."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from prometheus_client import Counter

from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.probing import (
    FIRST_PROBE_SECONDS,
    PROBE_SECONDS,
    is_listening,
)
from poplarlug.types import Address

RENEW_SECONDS = 0.8
"""How long a connection serves as a proof. Upstreams close idle ones, after a second at
the earliest."""

_WATCHES = Counter(
    "poplarlug_relay_run_watches_total",
    "Ends of answers without a length whose callers read slowly, by what is known of"
    " the run that sent them.",
    ["run"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class _Connection(asyncio.Protocol):
    """A connection on which nothing is sent."""

    def __init__(self) -> None:
        self.is_open = False
        self._transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.is_open = True

    def eof_received(self) -> None:
        self.is_open = False

    def connection_lost(self, error: Exception | None) -> None:
        self.is_open = False

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()


class _Chain:
    """
    Idle connections to an address, each opened while the one before is open.

    A process that ends closes its connections. So whoever accepted the first one still
    runs while the latest one is open.
    """

    def __init__(self, *, address: Address) -> None:
        self.users = 0
        self.is_broken = False
        self._address = address
        self._connection: _Connection | None = None
        self._running = asyncio.ensure_future(self._run())

    @property
    def is_unbroken(self) -> bool:
        connection = self._connection
        return not self.is_broken and connection is not None and connection.is_open

    def close(self) -> None:
        self._running.cancel()

    async def _run(self) -> None:
        try:
            while True:
                connection = await self._connect()
                former, self._connection = self._connection, connection
                if former is not None:
                    is_open = former.is_open
                    former.close()
                    if not is_open:
                        break
                if connection is None:
                    break
                await asyncio.sleep(RENEW_SECONDS)
        finally:
            self.is_broken = True
            if self._connection is not None:
                self._connection.close()

    async def _connect(self) -> _Connection | None:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                _, connection = await loop.create_connection(
                    _Connection, host, int(port)
                )
                return connection
        except (OSError, TimeoutError) as error:
            _log.info("can't watch a run", address=self._address, reason=repr(error))
            return None


class RunWatch:
    """
    Tell whether the run of an upstream that began an answer has ended it.

    Load pattern: callers read answers without a length slowly, so that the end of one is
    seen seconds after its upstream crashed. Something listens at the address again by
    then.
    """

    def __init__(self, *, address: Address, watches: "RunWatches") -> None:
        self._address = address
        self._watches = watches
        self._chain: _Chain | None = None

    def start(self) -> None:
        """Watch from now on; the answer must have been read as it came until now."""
        if self._chain is None:
            self._chain = self._watches.join(self._address)

    async def is_same_run(self) -> bool:
        """
        Return whether the process that sent the answer is there after its end.

        Without a start the end is taken for seen at once; then whatever listens at the
        address is that process.
        """
        if self._chain is None:
            return await is_listening(self._address)
        # A process that ends closes its connections one after the other.
        await asyncio.sleep(FIRST_PROBE_SECONDS)
        is_same = self._chain.is_unbroken
        _WATCHES.labels("same" if is_same else "unknown").inc()
        return is_same

    def close(self) -> None:
        if self._chain is not None:
            self._watches.leave(self._address, self._chain)
            self._chain = None


class RunWatches:
    """Share the connections of watches of the same address."""

    def __init__(self) -> None:
        self._chains_by_address: dict[Address, _Chain] = {}

    @contextmanager
    def watch(self, address: Address) -> Iterator[RunWatch]:
        """Return a watch for one answer of the process at ``address``."""
        run_watch = RunWatch(address=address, watches=self)
        try:
            yield run_watch
        finally:
            run_watch.close()

    def join(self, address: Address) -> _Chain:
        chain = self._chains_by_address.get(address)
        if chain is None or chain.is_broken:
            chain = self._chains_by_address[address] = _Chain(address=address)
        chain.users += 1
        return chain

    def leave(self, address: Address, chain: _Chain) -> None:
        chain.users -= 1
        if chain.users:
            return
        chain.close()
        if self._chains_by_address.get(address) is chain:
            del self._chains_by_address[address]
