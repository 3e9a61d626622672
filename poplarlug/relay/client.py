"""Sends requests to upstreams and to other entries over kept connections."""

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
"""In a region a connection stands within milliseconds; a silent host never answers."""

REMOTE_CONNECT_SECONDS = 1.0
"""Several round trips between regions."""

IDLE_SECONDS = 4.0
"""How long an idle connection is kept; shorter than the idle timeout of upstreams."""

KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""Keepalive probes find a silent peer in four seconds while an answer is awaited."""

HEAD_SLICE_BYTES = 8 * 1024
"""Bytes parsed at a time while an answer's head is awaited; most heads are shorter."""

MAX_HEADS = 8
"""Heads of one exchange, interim ones included; servers send one or two."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Option of a socket whose end is a reset."""

UNACKNOWLEDGED_MILLISECONDS = 3000
"""Sent bytes may wait so long for the peer's TCP acknowledgement."""


class SendErrorKind(Enum):
    """
    Why there is no answer.

    ``NOT_SENT`` is the only kind that says that no byte left for the target.
    """

    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMEOUT = "timeout"


class SendError(NamedTuple):
    kind: SendErrorKind
    message: str


class _StrictHandler(ResponseHandler):
    """
    Take no answer for whole whose connection was reset, and reset unanswered ones.

    Interim answers without end are none, and keep no other exchange from its turn.
    The library ends a body without a length at any end of its connection. It closes
    a connection in good order also where the exchange was given up: the rest of the
    request would still be sent, and run for a caller that has left.
    """

    _in_exchange = False
    _heads = 0

    def set_response_params(self, **options: Any) -> None:
        self._in_exchange = True
        self._heads = 0
        # The former answer's; the new one is not there yet.
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
        if self._in_exchange and not self._is_answered and self.transport is not None:
            _reset(self.transport)
        super().close()

    @property
    def _is_answered(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class _CheckedConnector(aiohttp.TCPConnector):
    """Reuse no connection on which bytes came after the last answer."""

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
    Open exchanges over pooled connections.

    Nothing is repeated here, and redirects and encodings pass through.

    Parameters
    ----------
    connect_seconds : float
        Longest time for a connection to stand.
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
        # The gateway alone knows what may be sent twice.
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
        Return the answer once its head has come; the caller closes it.

        Parameters
        ----------
        timeout_seconds : float
            Longest time until the head has come.
        """
        assert self._session is not None
        try:
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                response = await self._session.request(
                    method,
                    URL(f"http://{target}{path}", encoded=True),
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
    """End a connection and drop what the kernel still holds to be sent."""
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
