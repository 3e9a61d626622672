"""HTTP client for upstreams and other entries with pooled connections."""

import asyncio
import errno
import socket
from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple, cast

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from poplarlug.relay.connections import (
    CheckedConnector,
    ClosedHereError,
    RelayResponse,
)
from poplarlug.relay.header_names import HeaderNames
from poplarlug.types import Address, Seconds

CONNECT_SECONDS = 0.5
"""Connecting takes milliseconds within a region; an unresponsive host never answers."""

REMOTE_CONNECT_SECONDS = 1.0
"""Connect timeout to other regions; covers several round trips."""

AHEAD_BYTES = 8 * 1024
"""How much of an answer is read ahead of its caller; twice as much and one read more at
most."""

IDLE_SECONDS = 4.0
"""Keepalive of idle connections; shorter than the idle timeout of upstreams."""

KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""TCP keepalive detects an unresponsive peer in 4 s while a response is pending."""

UNACKNOWLEDGED_MILLISECONDS = 3000
"""Maximum time that sent data may remain unacknowledged by the peer's TCP stack."""


LOCAL_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
"""Errors of a connect that this machine has caused: it has no descriptor, memory or port
left."""


class SendErrorKind(Enum):
    """
    Reason why there is no response.

    ``NOT_SENT`` is the only kind that guarantees that no byte was sent to the target.
    ``CLOSED_HERE`` tells nothing of the target: this process closed the connection.
    """

    NOT_SENT = "not_sent"
    CLOSED_HERE = "closed_here"
    BROKEN = "broken"
    TIMEOUT = "timeout"


class SendError(NamedTuple):
    """
    Why there is no response.

    Parameters
    ----------
    is_own : bool
        Whether this process or its machine caused it, which tells nothing of the target.
    """

    kind: SendErrorKind
    message: str
    is_own: bool = False


class RelayClient:
    """
    Send requests over pooled connections.

    The client never retries, and passes redirects and content encodings through.

    Parameters
    ----------
    connect_seconds : float
        Connect timeout.
    header_names : HeaderNames
        Names of the headers that tell which request a response is for.
    """

    def __init__(
        self,
        *,
        connect_seconds: Seconds = CONNECT_SECONDS,
        header_names: HeaderNames | None = None,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._header_names = header_names or HeaderNames()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        connector = CheckedConnector(
            header_names=self._header_names,
            limit=0,
            keepalive_timeout=IDLE_SECONDS,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            response_class=RelayResponse,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_seconds
            ),
            auto_decompress=False,
            read_bufsize=AHEAD_BYTES,
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
    ) -> Result[RelayResponse, SendError]:
        """
        Return the response once its head has arrived; the caller closes it.

        Parameters
        ----------
        timeout_seconds : float
            Timeout for the arrival of the response head.
        """
        assert self._session is not None
        if self._session.closed:
            message = "this client is closed"
            return Failure(SendError(SendErrorKind.NOT_SENT, message, is_own=True))
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
                return Success(cast(RelayResponse, response))
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(SendError(SendErrorKind.NOT_SENT, repr(error)))
        except aiohttp.ClientConnectorError as error:
            is_own = error.os_error.errno in LOCAL_ERRORS
            return Failure(SendError(SendErrorKind.NOT_SENT, repr(error), is_own))
        except TimeoutError:
            message = f"no answer in {timeout_seconds:.3f} s"
            return Failure(SendError(SendErrorKind.TIMEOUT, message))
        except ClosedHereError as error:
            message = repr(error)
            return Failure(SendError(SendErrorKind.CLOSED_HERE, message, is_own=True))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(SendError(SendErrorKind.BROKEN, repr(error)))


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
