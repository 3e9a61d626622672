"""Pooled connections, and which request a response on one of them is for."""

import asyncio
import select
import socket
import struct
from collections.abc import Mapping
from functools import partial
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from poplarlug.relay.header_names import HeaderNames
from poplarlug.types import RequestId

HEAD_SLICE_BYTES = 8 * 1024
"""Bytes parsed at a time until the response head is complete; most are shorter."""

MAX_HEADS = 8
"""Response heads per exchange, including 1xx responses; servers send one or two."""

NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes closing a socket send a TCP reset."""


class ResponseSource(NamedTuple):
    """
    How a response relates to the request that was sent before it.

    Parameters
    ----------
    names_request : bool or None
        Whether the response echoes the id of the request, ``None`` if it has no id.
    exchange : int
        Number of the request on its connection, from 1 on.
    has_early_bytes : bool
        Whether bytes had arrived on the connection before the request was written.
    """

    names_request: bool | None
    exchange: int
    has_early_bytes: bool


class RelayResponse(aiohttp.ClientResponse):
    """Response that knows its source."""

    source: ResponseSource

    async def start(self, connection: Any) -> "RelayResponse":
        handler = connection.protocol
        assert isinstance(handler, StrictHandler)
        await super().start(connection)
        self.source = handler.response_source(self.headers)
        return self


class StrictHandler(ResponseHandler):
    """
    Report a response as truncated after a reset, and reset abandoned exchanges.

    aiohttp treats the end of the connection as the end of a body without a length,
    even if the connection was reset. It also closes a connection gracefully when the
    exchange is abandoned, so that the rest of the request would still be sent and run
    for a caller that has left. An endless series of interim responses is an error;
    data is parsed in slices so that such a series can't block other exchanges.
    """

    def __init__(self, *, header_names: HeaderNames, **options: Any) -> None:
        super().__init__(**options)
        self._header_names = header_names
        self._request_id: RequestId = ""
        self._exchanges = 0
        self._has_early_bytes = False
        self._in_exchange = False
        self._heads = 0

    def expect_response_to(self, request_id: RequestId) -> None:
        """Begin the exchange of a request."""
        self._request_id = request_id
        self._exchanges += 1

    def response_source(self, headers: Mapping[str, str]) -> ResponseSource:
        """Return the source of a response with these headers."""
        echoed = headers.get(self._header_names.request_id)
        return ResponseSource(
            names_request=None if echoed is None else echoed == self._request_id,
            exchange=self._exchanges,
            has_early_bytes=self._has_early_bytes,
        )

    def set_response_params(self, **options: Any) -> None:
        self._has_early_bytes = self._has_unread_bytes
        self._in_exchange = True
        self._heads = 0
        # Belongs to the previous response; the new one hasn't started yet.
        self._payload = None
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        if self._payload is not None or len(data) <= HEAD_SLICE_BYTES:
            super().data_received(data)
            return
        for start in range(0, len(data), HEAD_SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            super().data_received(data[start : start + HEAD_SLICE_BYTES])

    def feed_data(self, data: Any, size: int = 0) -> None:
        self._heads += 1
        if self._heads <= MAX_HEADS:
            super().feed_data(data, size)
        elif self.transport is not None and not self.transport.is_closing():
            self.set_exception(aiohttp.ClientPayloadError("too many interim answers"))
            _reset(self.transport)

    def close(self) -> None:
        if (
            self._in_exchange
            and not self._is_response_complete
            and self.transport is not None
        ):
            _reset(self.transport)
        super().close()

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether bytes or the end of the connection have arrived since the last read."""
        if self._buffer or self._tail:
            return True
        sock = (
            None if self.transport is None else self.transport.get_extra_info("socket")
        )
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def _is_response_complete(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Don't reuse a connection that received bytes after its last response."""

    def __init__(self, *, header_names: HeaderNames, **options: Any) -> None:
        super().__init__(**options)
        self._header_names = header_names
        self._factory: Any = partial(
            StrictHandler, loop=self._loop, header_names=header_names
        )

    async def connect(
        self, req: aiohttp.ClientRequest, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        handler = connection.protocol
        assert isinstance(handler, StrictHandler)
        handler.expect_response_to(req.headers.get(self._header_names.request_id, ""))
        return connection

    async def _get(self, key: Any, traces: Any) -> Any:
        idle = self._conns.get(key)
        if idle is not None:
            for item in [item for item in idle if item[0].should_close]:
                idle.remove(item)
                item[0].close()
        return await super()._get(key, traces)


def _reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection and discard the data in the kernel's send buffer."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    assert isinstance(transport, asyncio.WriteTransport)
    transport.abort()
