"""Minimal asyncio TCP forwarder that doesn't parse anything, as a baseline."""

import asyncio
import itertools
import sys


class _Upstream(asyncio.Protocol):
    def __init__(self, *, caller: asyncio.Transport) -> None:
        self._caller = caller

    def data_received(self, data: bytes) -> None:
        self._caller.write(data)


class _Caller(asyncio.Protocol):
    def __init__(self, *, address: str) -> None:
        self._address = address
        self._upstream: asyncio.Transport | None = None
        self._waiting = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: _Upstream(caller=self._transport), host, int(port)
        )
        self._upstream = transport
        transport.write(self._waiting)

    def data_received(self, data: bytes) -> None:
        if self._upstream is None:
            self._waiting += data
        else:
            self._upstream.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self._upstream is not None:
            self._upstream.close()


async def main(listen: str, upstreams: list[str]) -> None:
    """Forward connections accepted at ``listen`` to ``upstreams`` in round-robin."""
    host, _, port = listen.rpartition(":")
    addresses = itertools.cycle(upstreams)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Caller(address=next(addresses)), host, int(port)
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
