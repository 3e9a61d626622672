"""Limits on callers' connections: their number, and slow request headers."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import cache
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
"""How long the last accepted connections may take to send their request while the
listener stops. Callers send it at once; from the farthest one it takes two round
trips."""

HANDSHAKE_SECONDS = 0.02
"""Several round trips between a caller and an entry of its region."""

STOP_LISTENING_SECONDS = FIRST_REQUEST_SECONDS + 0.1
"""How long listeners take to stop at most: the above, for a few of them."""

SO_ATTACH_FILTER = 26
"""Linux option number; the standard library does not define it."""

_DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFF),
)
"""BPF program that drops SYN packets: load byte 13 of the TCP header, test its SYN
bit, then drop or keep the packet."""

Count = Annotated[int, Meta(ge=1)]
Duration = Annotated[float, Meta(gt=0, le=3600)]

_log = ComponentLogger(prefix="callers")


class HttpLimits(NamedTuple):
    """
    Limits on the resources that callers can use of an entry.

    Parameters
    ----------
    max_connections, max_requests : int
        Maximum open connections, and maximum requests in progress.
    max_body_bytes, max_header_bytes : int
        Maximum size of a body, and of a single header line.
    header_seconds, body_seconds : float
        Maximum time to receive a request's headers, and its body.
    keepalive_seconds : float
        How long an idle connection stays open.
    unacknowledged_seconds : float
        How long sent bytes may remain without the client's TCP acknowledgement.
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
    Track the connections of its listeners and enforce limits on them.

    Parameters
    ----------
    limits : HttpLimits
        The limits to enforce.

    Attributes
    ----------
    in_progress : int
        Number of requests whose head was read and that have no whole answer yet.
    """

    def __init__(self, *, limits: HttpLimits) -> None:
        self.limits = limits
        self.refused = 0
        self.in_progress = 0
        self._connections_by_protocol: dict[Any, _GuardedConnection] = {}
        self._connecting: WeakSet[_GuardedConnection] = WeakSet()
        self._sites: list[_GuardedSite] = []

    @property
    def open_connections(self) -> int:
        return len(self._connections_by_protocol)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether this process still holds bytes that a client is to get."""
        return any(
            connection.has_unsent_bytes
            for connection in self._connections_by_protocol.values()
        )

    async def run(self) -> None:
        """Close connections that exceed the header timeout, until cancelled."""
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
        """Track when the headers of a request are complete and when it is answered."""
        connection = self._connections_by_protocol.get(request.protocol)
        if connection is None:
            return await handler(request)
        connection.begin_request()
        self.in_progress += 1
        try:
            return await handler(request)
        finally:
            connection.end_request()
            self.in_progress -= 1

    async def serve(
        self,
        app: web.Application,
        address: Address,
        *,
        cancel_handlers: bool = False,
        shutdown_seconds: Seconds = SHUTDOWN_SECONDS,
    ) -> web.AppRunner:
        """
        Serve ``app`` at ``address`` within the limits; return its runner.

        Parameters
        ----------
        cancel_handlers : bool
            Whether a request's handler is cancelled when its caller disconnects.
        shutdown_seconds : float
            How long requests in progress may continue during the runner's cleanup.
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

    async def wait_until_answered(self) -> None:
        """Wait until no request is in progress, also none whose body is being read."""
        while self.in_progress:  # noqa: ASYNC110
            await asyncio.sleep(STOP_CHECK_SECONDS)

    async def stop_listening(self) -> None:
        """Stop accepting connections, and wait for the requests of accepted ones."""
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
        """Track a connection that was accepted and has no transport yet."""
        self._connecting.add(connection)

    def add(self, protocol: Any, connection: "_GuardedConnection") -> bool:
        """Register a connection; return whether it is within the limit."""
        self._connecting.discard(connection)
        self._connections_by_protocol[protocol] = connection
        if self.open_connections <= self.limits.max_connections:
            return True
        self.refused += 1
        return False

    def remove(self, protocol: Any) -> None:
        self._connections_by_protocol.pop(protocol, None)


class _GuardedConnection(asyncio.Protocol):
    """Wrap aiohttp's protocol of a connection to track its requests."""

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
        """Whether the headers of a first or of a begun request are incomplete."""
        return self._waiting_since is not None

    @property
    def has_unsent_bytes(self) -> bool:
        return self._transport is not None and (
            self._transport.get_write_buffer_size() > 0
        )

    def has_waited_since(self, oldest: Seconds) -> bool:
        """Return whether headers have been awaited since before ``oldest``."""
        return self._waiting_since is not None and self._waiting_since < oldest

    def abort(self) -> None:
        _log.info("closed a connection after the header timeout")
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
        """Whether a connection accepted during the stop has no protocol yet."""
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
        Accept all connections in the listener's backlog, then close it.

        The kernel resets connections that are still in the backlog at the close, so
        first new ones are dropped, while pending handshakes get time to complete.
        The server's last accepted connections get their transport in the loop's next
        iteration, and none once the server is closed.
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
                _log.warning("failed to accept a connection", error=repr(error))
                return accepted
            connection.setblocking(False)
            accepted.append(connection)

    def _make_connection(self) -> "_GuardedConnection":
        factory = self._runner.server
        assert factory is not None
        return _GuardedConnection(guard=self._guard, inner=factory())


def _drop_new_connections(listener: socket.socket) -> None:
    """Have the kernel drop SYN packets, so that no new connections are established."""
    code = b"".join(struct.pack("HBBI", *line) for line in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        _log_unfiltered(repr(error))


@cache
def _log_unfiltered(error: str) -> None:
    """Log an error of the machine once, as it is the same for all listeners."""
    _log.warning("failed to block new connections", error=error)


def _set_timeouts(transport: asyncio.Transport, limits: HttpLimits) -> None:
    # Detects a client that vanished without closing: by keepalive probes while idle,
    # and by unacknowledged bytes while data is written to it.
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    milliseconds = int(limits.unacknowledged_seconds * 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
