"""HTTP client for upstreams and other entries with pooled connections."""

import asyncio
import socket
import struct
from collections.abc import Sequence
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from returns.result import Failure, Result, Success
from yarl import URL

from poplarlug.types import Address, Seconds

CONNECT_SECONDS = 0.5
"""Connecting takes milliseconds within a region; an unresponsive host never answers."""

REMOTE_CONNECT_SECONDS = 1.0
"""Connect timeout to other regions; covers several round trips."""

IDLE_SECONDS = 4.0
"""Keepalive of idle connections; shorter than the idle timeout of upstreams."""

KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""TCP keepalive detects an unresponsive peer in 4 s while a response is pending."""

HEAD_SLICE_BYTES = 8 * 1024
"""Bytes parsed at a time until the response head is complete; most are shorter."""

MAX_HEADS = 8
"""Response heads per exchange, including 1xx responses; servers send one or two."""

NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes closing a socket send a TCP reset."""

UNACKNOWLEDGED_MILLISECONDS = 3000
"""Maximum time that sent data may remain unacknowledged by the peer's TCP stack."""


class SendErrorKind(Enum):
    """
    Reason why there is no response.

    ``NOT_SENT`` is the only kind that guarantees that no byte was sent to the target.
    """

    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMEOUT = "timeout"


class SendError(NamedTuple):
    kind: SendErrorKind
    message: str


class _StrictHandler(ResponseHandler):
    """
    Report a response as truncated after a reset, and reset abandoned exchanges.

    aiohttp treats the end of the connection as the end of a body without a length,
    even if the connection was reset. It also closes a connection gracefully when the
    exchange is abandoned, so that the rest of the request would still be sent and run
    for a caller that has left. An endless series of interim responses is an error;
    data is parsed in slices so that such a series can't block other exchanges.
    """

    _in_exchange = False
    _heads = 0

    def set_response_params(self, **options: Any) -> None:
        self._in_exchange = True
        self._heads = 0
        # Belongs to the previous response; the new one hasn't started yet.
        self._payload = None
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        if self._payload is not None or len(data) <= HEAD_SLICE_BYTES:
            super().data_received(data)
            self._fail_broken_framing()
            return
        for start in range(0, len(data), HEAD_SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            super().data_received(data[start : start + HEAD_SLICE_BYTES])

    def _fail_broken_framing(self) -> None:
        """Fail a body whose framing aiohttp gave up, which tells its reader nothing."""
        payload = self._payload
        if (
            payload is not None
            and (self.transport is None or self.transport.is_closing())
            and not payload.is_eof()
            and payload.exception() is None
        ):
            payload.set_exception(aiohttp.ClientPayloadError("broken framing"))

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
    def _is_response_complete(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class _CheckedConnector(aiohttp.TCPConnector):
    """Don't reuse a connection that received bytes after its last response."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = partial(_StrictHandler, loop=self._loop)

    async def _get(self, key: Any, traces: Any) -> Any:
        idle = self._conns.get(key)
        if idle is not None:
            for item in [item for item in idle if item[0].should_close]:
                idle.remove(item)
                item[0].close()
        return await super()._get(key, traces)


class RelayClient:
    """
    Send requests over pooled connections.

    The client never retries, and passes redirects and content encodings through.

    Parameters
    ----------
    connect_seconds : float
        Connect timeout.
    """

    def __init__(self, *, connect_seconds: Seconds = CONNECT_SECONDS) -> None:
        self._connect_seconds = connect_seconds
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        connector = _CheckedConnector(
            limit=0,
            keepalive_timeout=IDLE_SECONDS,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_seconds
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # Only the gateway knows which requests may be sent twice.
        self._session._retry_connection = False

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        *,
        target: Address,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        timeout_seconds: Seconds,
    ) -> Result[aiohttp.ClientResponse, SendError]:
        """
        Return the response once its head has arrived; the caller closes it.

        Parameters
        ----------
        timeout_seconds : float
            Timeout for the arrival of the response head.
        """
        assert self._session is not None
        try:
            # Parsed as part of an URL, an empty query would be dropped.
            url = URL(f"http://{target}").with_path(path, encoded=True)
            # Raises for an invalid address, like the constructor.
            _ = url.host, url.port
        except ValueError as error:
            return Failure(SendError(SendErrorKind.NOT_SENT, repr(error)))
        try:
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                response = await self._session.request(
                    method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                )
                return Success(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(SendError(SendErrorKind.NOT_SENT, repr(error)))
        except TimeoutError:
            message = f"no answer in {timeout_seconds:.3f} s"
            return Failure(SendError(SendErrorKind.TIMEOUT, message))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(SendError(SendErrorKind.BROKEN, repr(error)))


def _reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection and discard the data in the kernel's send buffer."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    assert isinstance(transport, asyncio.WriteTransport)
    transport.abort()


def _make_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
    )
    return sock
