"""A listening socket that stops without losing accepted connections."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any

from aiohttp import web

from poplarlug.logs import ComponentLogger

BACKLOG_CONNECTIONS = 1024
ACCEPTED_CONNECTIONS = 16
"""How many connections are accepted in a round of the event loop; those beyond the limit
have a descriptor until they are closed a few rounds later."""

HANDSHAKE_SECONDS = 0.02
"""Several round trips between a caller and an entry of its region."""

SO_ATTACH_FILTER = 26
IP_MINTTL = 21
"""Linux option numbers; the standard library does not define them."""

MAX_TTL = 255
"""A router on the way leaves less."""

_DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFF),
)
"""BPF program that drops SYN packets: load byte 13 of the TCP header, test its SYN
bit, then drop or keep the packet."""

_log = ComponentLogger(prefix="callers")


class Blocking(Enum):
    """How the kernel drops the SYN packets of new connections to a listener."""

    BY_FILTER = "filter"
    BY_TTL = "ttl"
    REFUSED = "refused"


class GuardedSite(web.BaseSite):
    """
    A listener that can stop without losing accepted connections.

    Parameters
    ----------
    own : callable
        Takes aiohttp's protocol of a connection; returns the one that owns it.
    """

    def __init__(
        self,
        runner: web.AppRunner,
        *,
        own: Callable[[Any], asyncio.Protocol],
        host: str,
        port: int,
    ) -> None:
        super().__init__(runner)
        self._own = own
        self._host = host
        self._port = port
        self._accepting: set[asyncio.Task[Any]] = set()

    @property
    def name(self) -> str:
        return f"http://{self._host}:{self._port}"

    @property
    def is_accepting(self) -> bool:
        """Whether a connection accepted during the stop has no protocol yet."""
        return bool(self._accepting)

    async def start(self) -> None:
        await super().start()
        self._socket = socket.create_server(
            (self._host, self._port), backlog=BACKLOG_CONNECTIONS
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection, sock=self._socket, backlog=ACCEPTED_CONNECTIONS
        )
        # asyncio accepts as many at a time as the backlog that it sets.
        self._socket.listen(BACKLOG_CONNECTIONS)

    async def stop_listening(self) -> None:
        """
        Accept all connections in the listener's backlog, then close it.

        The kernel resets connections that are still in the backlog at the close, so
        first new ones are dropped, while pending handshakes get time to complete.
        The server's last accepted connections get their transport in the loop's next
        iteration, and none once the server is closed.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        blocking = _block_new_connections(self._socket)
        await asyncio.sleep(HANDSHAKE_SECONDS)
        accepted = self._accept_all()
        if blocking is Blocking.BY_TTL:
            for connection in accepted:
                # Those whose handshake ended since have the listener's minimum.
                connection.setsockopt(socket.IPPROTO_IP, IP_MINTTL, 0)
        self._socket.shutdown(socket.SHUT_RD)
        self._server.close()
        self._server = None
        for connection in accepted:
            accepting = loop.create_task(
                loop.connect_accepted_socket(self._make_connection, connection)
            )
            self._accepting.add(accepting)
            accepting.add_done_callback(self._accepting.discard)

    def _accept_all(self) -> list[socket.socket]:
        accepted: list[socket.socket] = []
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return accepted
            except OSError as error:
                _log.warning("failed to accept a connection", error=repr(error))
                return accepted
            connection.setblocking(False)
            accepted.append(connection)

    def _make_connection(self) -> asyncio.Protocol:
        factory = self._runner.server
        assert factory is not None
        return self._own(factory())


def _block_new_connections(listener: socket.socket) -> Blocking:
    """
    Have the kernel drop SYN packets, so that no new connections are established.

    Some machines allow no filters on sockets. There, a minimum TTL that only a direct
    neighbour's packets can have drops them as well.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        _log_refused("failed to block new connections by a filter", repr(error))
    else:
        return Blocking.BY_FILTER
    try:
        listener.setsockopt(socket.IPPROTO_IP, IP_MINTTL, MAX_TTL)
    except OSError as error:
        _log_refused("connections may be reset as a listener closes", repr(error))
    else:
        return Blocking.BY_TTL
    return Blocking.REFUSED


@cache
def _log_refused(event: str, error: str) -> None:
    """Log a refusal of the machine once, as it is the same for all listeners."""
    _log.warning(event, error=error)
