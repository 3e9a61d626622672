"""Callers' connections: bounds on their number and on slow headers."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, NamedTuple
from weakref import WeakSet

from aiohttp import web
from msgspec import Meta

from poplarlug.logs import ComponentLogger
from poplarlug.types import Address, Seconds

SWEEP_SECONDS = 0.5
KEEPALIVE_PROBE_SECONDS = 15
MAX_HEADERS = 64
BACKLOG_CONNECTIONS = 1024
SHUTDOWN_SECONDS = 60.0
STOP_CHECK_SECONDS = 0.02
FIRST_REQUEST_SECONDS = 0.3
"""How long a connection that was made last may take to send its request; callers send
it at once, and the farthest one takes two round trips."""

HANDSHAKE_SECONDS = 0.02
"""Some round trips between a caller and an entry of its region."""

SO_ATTACH_FILTER = 26
"""Linux's number of the option; the standard library has no name for it."""

_DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFF),
)
"""Load byte 13 of the TCP header, test its bit SYN, drop the packet or keep it."""

Count = Annotated[int, Meta(ge=1)]
Duration = Annotated[float, Meta(gt=0, le=3600)]

_log = ComponentLogger(prefix="callers")


class HttpLimits(NamedTuple):
    """
    Bounds on what a caller can hold of an entry.

    Parameters
    ----------
    max_connections, max_requests : int
        Connections open, and requests in progress, at a time.
    max_body_bytes, max_header_bytes : int
        Longest body, and longest single header line.
    header_seconds, body_seconds : float
        Longest time for a request's headers, and for its body.
    keepalive_seconds : float
        How long an idle connection stays open.
    unacknowledged_seconds : float
        How long sent bytes may wait for the client's TCP acknowledgement.
    """

    max_connections: Count = 20_000
    max_requests: Count = 4_000
    max_body_bytes: Count = 8 * 1024 * 1024
    max_header_bytes: Annotated[int, Meta(ge=256, le=65536)] = 8190
    header_seconds: Duration = 10.0
    body_seconds: Duration = 10.0
    keepalive_seconds: Duration = 30.0
    unacknowledged_seconds: Duration = 30.0


class ConnectionGuard:
    """
    Watch all connections of one listener.

    Parameters
    ----------
    limits : HttpLimits
        The bounds to hold.
    """

    def __init__(self, *, limits: HttpLimits) -> None:
        self.limits = limits
        self.refused = 0
        self._connections_by_protocol: dict[Any, _GuardedConnection] = {}
        self._connecting: WeakSet[_GuardedConnection] = WeakSet()
        self._sites: list[_GuardedSite] = []

    @property
    def open_connections(self) -> int:
        return len(self._connections_by_protocol)

    async def run(self) -> None:
        """Close connections whose headers don't come, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(min(SWEEP_SECONDS, self.limits.header_seconds))
            oldest = loop.time() - self.limits.header_seconds
            for connection in list(self._connections_by_protocol.values()):
                if connection.has_waited_since(oldest):
                    self.refused += 1
                    connection.abort()

    @web.middleware
    async def middleware(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Note when a connection's request is whole and when it is answered."""
        connection = self._connections_by_protocol.get(request.protocol)
        if connection is None:
            return await handler(request)
        connection.begin_request()
        try:
            return await handler(request)
        finally:
            connection.end_request()

    async def serve(
        self,
        app: web.Application,
        address: Address,
        *,
        cancel_handlers: bool = False,
        shutdown_seconds: Seconds = SHUTDOWN_SECONDS,
    ) -> web.AppRunner:
        """
        Serve ``app`` at ``address`` within the bounds; return its runner.

        Parameters
        ----------
        cancel_handlers : bool
            Whether the handler of a request is cancelled once its caller is gone.
        shutdown_seconds : float
            How long requests in progress may go on when the runner is cleaned up.
        """
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            keepalive_timeout=self.limits.keepalive_seconds,
            max_line_size=self.limits.max_header_bytes,
            max_field_size=self.limits.max_header_bytes,
            max_headers=MAX_HEADERS,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=shutdown_seconds,
        )
        await runner.setup()
        site = _GuardedSite(runner, guard=self, host=host, port=int(port))
        await site.start()
        self._sites.append(site)
        return runner

    async def stop_listening(self) -> None:
        """Take no new connections, and let those that were made send their requests."""
        loop = asyncio.get_running_loop()
        sites = list(self._sites)
        self._sites.clear()
        for site in sites:
            await site.stop_listening()
        deadline = loop.time() + FIRST_REQUEST_SECONDS
        while True:
            await asyncio.sleep(STOP_CHECK_SECONDS)
            is_accepting = any(site.is_accepting for site in sites)
            if loop.time() >= deadline or not (is_accepting or self._awaits_requests()):
                return

    def _awaits_requests(self) -> bool:
        return bool(self._connecting) or any(
            connection.awaits_request
            for connection in self._connections_by_protocol.values()
        )

    def add_connecting(self, connection: "_GuardedConnection") -> None:
        """Note a connection that was accepted and has no transport yet."""
        self._connecting.add(connection)

    def add(self, protocol: Any, connection: "_GuardedConnection") -> bool:
        """Count a connection; return whether it is within the bound."""
        self._connecting.discard(connection)
        self._connections_by_protocol[protocol] = connection
        if self.open_connections <= self.limits.max_connections:
            return True
        self.refused += 1
        return False

    def remove(self, protocol: Any) -> None:
        self._connections_by_protocol.pop(protocol, None)


class _GuardedConnection(asyncio.Protocol):
    """Stand between a connection's transport and the library's protocol."""

    def __init__(self, *, guard: ConnectionGuard, inner: Any) -> None:
        self._guard = guard
        self._inner = inner
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiting_since: Seconds | None = None
        self._in_request = False
        guard.add_connecting(self)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._waiting_since = self._loop.time()
        _set_timeouts(transport, self._guard.limits)
        self._inner.connection_made(transport)
        if not self._guard.add(self._inner, self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._waiting_since is None and not self._in_request:
            self._waiting_since = self._loop.time()
        self._inner.data_received(data)

    def eof_received(self) -> Any:
        return self._inner.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self._guard.remove(self._inner)
        self._inner.connection_lost(error)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()

    def begin_request(self) -> None:
        self._in_request = True
        self._waiting_since = None

    def end_request(self) -> None:
        self._in_request = False

    @property
    def awaits_request(self) -> bool:
        """Whether a first or a begun request has not come whole."""
        return self._waiting_since is not None

    def has_waited_since(self, oldest: Seconds) -> bool:
        """Return whether headers have been awaited since before ``oldest``."""
        return self._waiting_since is not None and self._waiting_since < oldest

    def abort(self) -> None:
        _log.info("closed a connection without headers")
        if self._transport is not None:
            self._transport.abort()


class _GuardedSite(web.BaseSite):
    def __init__(
        self, runner: web.AppRunner, *, guard: ConnectionGuard, host: str, port: int
    ) -> None:
        super().__init__(runner)
        self._guard = guard
        self._host = host
        self._port = port
        self._accepting: set[asyncio.Task[Any]] = set()

    @property
    def name(self) -> str:
        return f"http://{self._host}:{self._port}"

    @property
    def is_accepting(self) -> bool:
        """Whether a connection that was taken at the end has no protocol yet."""
        return bool(self._accepting)

    async def start(self) -> None:
        await super().start()
        self._socket = socket.create_server(
            (self._host, self._port), backlog=BACKLOG_CONNECTIONS
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection, sock=self._socket, backlog=BACKLOG_CONNECTIONS
        )

    async def stop_listening(self) -> None:
        """
        Close the listener once the connections that it holds are taken.

        The kernel resets those that are not, so first it takes no new ones, while
        those halfway there get time to stand. What the server accepted last has no
        transport before the loop's next turn, and a closed server gives it none.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        _drop_new_connections(self._socket)
        await asyncio.sleep(HANDSHAKE_SECONDS)
        loop.remove_reader(self._socket.fileno())
        await asyncio.sleep(0)
        accepted = self._accept_all()
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
                _log.warning("could not take a connection", error=repr(error))
                return accepted
            connection.setblocking(False)
            accepted.append(connection)

    def _make_connection(self) -> "_GuardedConnection":
        factory = self._runner.server
        assert factory is not None
        return _GuardedConnection(guard=self._guard, inner=factory())


def _drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel pass over the first packets of connections."""
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        _log.warning("can't hold off new connections", error=repr(error))


def _set_timeouts(transport: asyncio.Transport, limits: HttpLimits) -> None:
    # A client that went away without a word is found by probes while idle, and
    # by unacknowledged bytes while it is written to.
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    milliseconds = int(limits.unacknowledged_seconds * 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
