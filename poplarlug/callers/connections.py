"""Limits on clients' connections: their number, and what each may take."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, Any, NamedTuple
from weakref import WeakSet

from aiohttp import web
from msgspec import Meta
from prometheus_client import Counter

from poplarlug.callers.client_memory import (
    DEFAULT_BYTES,
    SMALL_BYTES,
    STALL_SECONDS,
    ClientHolding,
    ClientMemory,
)
from poplarlug.callers.guarded_connection import (
    READ_BYTES,
    UNREAD_ANSWER_SECONDS,
    GuardedConnection,
    note_closed,
)
from poplarlug.callers.guarded_site import GuardedSite
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.serving.turns import current_turns
from poplarlug.types import Address, Seconds

SWEEP_SECONDS = 0.5
MIN_FIELD_BYTES = 4
"""Length of the shortest header field with its line's end."""

MANY_FIELDS = 100
"""Requests with more fields begin one in a round of the event loop."""

HEAD_SHARE = 4
"""A whole head may have the length of so many header lines."""

DISCARD_SECONDS = 5.0
"""How long the rest of a body is read whose request is answered already."""

BODY_STALL_SECONDS = 30.0
"""How long a body may stand still."""

SHUTDOWN_SECONDS = 60.0
STOP_CHECK_SECONDS = 0.02
FIRST_REQUEST_SECONDS = 0.3
"""How long the last accepted connections may take to send their request while the
listener stops. Callers send it at once; from the farthest one it takes two round
trips."""

STOP_LISTENING_SECONDS = FIRST_REQUEST_SECONDS + 0.1
"""How long listeners take to stop at most: the above, for a few of them."""

_DROPPED = Counter(
    "poplarlug_callers_dropped_requests_total",
    "Requests whose connection was closed before they began, and that didn't run.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="callers")

_HOLDING = web.RequestKey("holding", ClientHolding)

MIN_HELD_BYTES = 10 * 1024 * 1024
"""Room for a body of the usual limit."""

Count = Annotated[int, Meta(ge=1)]
Duration = Annotated[float, Meta(gt=0, le=3600)]


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
    max_held_bytes : int
        Memory for what clients send, of all connections together.
    """

    max_connections: Count = 20_000
    max_requests: Count = 4_000
    max_body_bytes: Count = 8 * 1024 * 1024
    max_header_bytes: Annotated[int, Meta(ge=256, le=65536)] = 8190
    header_seconds: Duration = 10.0
    body_seconds: Duration = 10.0
    keepalive_seconds: Duration = 30.0
    unacknowledged_seconds: Duration = 30.0
    max_held_bytes: Annotated[int, Meta(ge=MIN_HELD_BYTES)] = DEFAULT_BYTES


class ConnectionGuard:
    """
    Track the connections of its listeners and enforce limits on them.

    Parameters
    ----------
    limits : HttpLimits
        The limits to enforce.
    memory : ClientMemory, optional
        Shared with the other guards of the process; one as in the limits if omitted.
    counts_bodies : bool
        Whether bodies are held as they arrive. Otherwise, who reads them asks
        :meth:`holding` for the room.

    Attributes
    ----------
    in_progress : int
        Number of requests whose head was read and that have no whole answer yet.
    """

    def __init__(
        self,
        *,
        limits: HttpLimits,
        memory: ClientMemory | None = None,
        counts_bodies: bool = True,
    ) -> None:
        self.limits = limits
        self.memory = memory or ClientMemory(
            total_bytes=limits.max_held_bytes,
            clock=lambda: asyncio.get_running_loop().time(),
        )
        self.counts_bodies = counts_bodies
        self.refused = 0
        self.in_progress = 0
        self._connections_by_protocol: dict[Any, GuardedConnection] = {}
        self._connecting: WeakSet[GuardedConnection] = WeakSet()
        self._sites: list[GuardedSite] = []

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
        """Close connections whose head or body takes too long, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(min(SWEEP_SECONDS, self.limits.header_seconds))
            oldest = loop.time() - self.limits.header_seconds
            oldest_body = loop.time() - BODY_STALL_SECONDS
            oldest_unread = loop.time() - UNREAD_ANSWER_SECONDS
            for connection in list(self._connections_by_protocol.values()):
                if connection.has_waited_since(oldest):
                    self.refused += 1
                    connection.abort("header timeout")
                elif connection.has_body_stalled_since(oldest_body):
                    connection.abort("a body stood still")
                elif connection.leaves_answers_unread_since(oldest_unread):
                    connection.abort("unread answers")

    def holding(self, request: web.Request) -> ClientHolding:
        """Return what is held for a request; it is released when the request ends."""
        return request[_HOLDING]

    def hold_until_done(
        self, request: web.Request, task: "asyncio.Future[Any]"
    ) -> None:
        """Hold what a request has until ``task`` ends, beyond the request's own end."""
        holding = self.holding(request).hand_over()
        task.add_done_callback(lambda _: holding.release())

    @web.middleware
    async def middleware(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Track when the headers of a request are complete and when it is answered."""
        if request.transport is None or request.transport.is_closing():
            # Its answer would reach nobody, so it must not run.
            _DROPPED.inc()
            _log.info("dropped a request of a closed connection", path=request.path)
            return web.Response(status=503)
        connection = self._connections_by_protocol.get(request.protocol)
        if connection is None:
            # A server of another kind took it.
            holding = request[_HOLDING] = self.memory.open(lambda: None)
            try:
                return await handler(request)
            finally:
                _free_unfinished_body(request)
                holding.release()
        # Kept with the request, whose connection may be forgotten before it ends.
        request[_HOLDING] = connection.holding
        connection.begin_request(request)
        try:
            await connection.wait_until_read()
            self.in_progress += 1
            try:
                if len(request.headers) > MANY_FIELDS:
                    await current_turns().wait()
                response = await handler(request)
            except web.HTTPException as error:
                response = _to_response(error)
            finally:
                self.in_progress -= 1
            _close_if_unread(request, response)
            return response
        finally:
            _free_unfinished_body(request)
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
        Serve ``app`` at ``address`` within the limits; return its runner.

        Parameters
        ----------
        cancel_handlers : bool
            Whether a request's handler is cancelled when its caller disconnects.
        shutdown_seconds : float
            How long requests in progress may continue during the runner's cleanup.
        """
        host, _, port = address.rpartition(":")
        if self.middleware not in app.middlewares:
            app.middlewares.insert(0, self.middleware)
        if _close_if_untracked not in app.on_response_prepare:
            app.on_response_prepare.append(_close_if_untracked)
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            keepalive_timeout=self.limits.keepalive_seconds,
            max_line_size=self.limits.max_header_bytes,
            max_field_size=self.limits.max_header_bytes,
            max_headers=self.limits.max_header_bytes // MIN_FIELD_BYTES,
            lingering_time=DISCARD_SECONDS,
            # A few bytes may expand to a thousand times as many. They are passed on as
            # they came.
            auto_decompress=False,
            read_bufsize=READ_BYTES // 2,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=shutdown_seconds,
        )
        await runner.setup()
        site = GuardedSite(runner, own=self._own, host=host, port=int(port))
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

    def _own(self, inner: Any) -> GuardedConnection:
        connection = GuardedConnection(
            inner=inner,
            memory=self.memory,
            max_head_bytes=HEAD_SHARE * self.limits.max_header_bytes,
            unacknowledged_seconds=self.limits.unacknowledged_seconds,
            counts_bodies=self.counts_bodies,
            admit=self._admit,
            forget=self._forget,
        )
        self._connecting.add(connection)
        return connection

    def _admit(self, connection: GuardedConnection) -> bool:
        """Register a connection; return whether it is within the limit."""
        self._connecting.discard(connection)
        self._connections_by_protocol[connection.inner] = connection
        if self.open_connections <= self.limits.max_connections:
            return True
        latest = asyncio.get_running_loop().time() - STALL_SECONDS
        stalled = [
            other
            for other in self._connections_by_protocol.values()
            if other is not connection and other.has_stalled_since(latest)
        ]
        if stalled:
            slowest = min(stalled, key=lambda other: other.holding.progressed_at)
            slowest.abort("another connection needed its place")
            return True
        self.refused += 1
        note_closed("too many connections")
        return False

    def _forget(self, connection: GuardedConnection) -> None:
        self._connections_by_protocol.pop(connection.inner, None)


async def _close_if_untracked(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Close the connection after an answer given before the middleware."""
    # So aiohttp refuses unknown expectations; the guard doesn't see them end.
    if _HOLDING not in request:
        response.force_close()
        response.headers["Connection"] = "close"


def _to_response(error: web.HTTPException) -> web.Response:
    """Return the answer that ``error`` is, without the frames that raised it."""
    # Kept as an answer, an exception keeps its frames and the body in a reference cycle.
    return web.Response(
        status=error.status,
        reason=error.reason,
        headers=error.headers,
        body=error.body,
    )


def _free_unfinished_body(request: web.Request) -> None:
    """Have what was read of a body that broke off freed with its request."""
    error = request.content.exception()
    if error is not None:
        # Its frames hold the request and what was read, and those hold the exception.
        error.__traceback__ = None
        request.content.set_exception(ConnectionResetError("the request has ended"))


def _close_if_unread(request: web.Request, response: web.StreamResponse) -> None:
    """Close the connection after an answer to a request whose body isn't read."""
    length = request.content_length
    is_short = length is not None and length <= SMALL_BYTES
    if not request.content.is_eof() and not is_short:
        response.force_close()
