"""
Pooled connections to upstreams, and which request a response on one of them is for.

Both callers' paths use them: requests by route and those of accounts.
"""

import select
import time
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from poplarlug.relay.header_names import HeaderNames
from poplarlug.relay.read_size import ReadSize
from poplarlug.sockets import count_unreceived, reset_connection
from poplarlug.types import RequestId

HEAD_SLICE_BYTES = 8 * 1024
"""Bytes parsed at a time until the response head is complete; most are shorter."""

MAX_HEADS = 8
"""Response heads per exchange, including 1xx responses; servers send one or two."""

INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
"""Statuses that another response follows; 101 ends the exchange, for an upgrade."""

FINAL_STATUSES = range(200, 600)
"""Statuses of responses to requests that ask for no upgrade (RFC 9110, 15)."""

MAX_REFUSALS = 100
"""Refusals after which a connection is closed; limits the ids that it remembers."""


MAX_REMEMBERED_SENDS = 4096
"""Requests without an answer, or with a refusal, that a client remembers over all of its
connections."""


class ConnectionEnd(Enum):
    """Who ended a connection."""

    PEER = "peer"
    """The peer, which had sent all that it sends."""

    LOST = "lost"
    """The peer or the network: it was reset, or sent bytes stayed unacknowledged."""

    CLOSED_HERE = "closed here"
    """This process, whatever the reason."""


class ClosedHereError(aiohttp.ClientPayloadError):
    """This process closed a connection before the response on it was complete."""


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
    is_refusal : bool
        Whether the response states that the request was not run.
    is_contradicted : bool
        Whether it is a refusal, and another response to the request follows it.
    is_repeated : bool
        Whether it is a refusal, and its peer has got the request before and refused it
        or not answered.
    """

    names_request: bool | None
    exchange: int
    has_early_bytes: bool = False
    is_refusal: bool = False
    is_contradicted: bool = False
    is_repeated: bool = False

    @property
    def is_reliable(self) -> bool:
        """
        Whether the response is for the request, and may be believed.

        Upstreams echo ids. Without one a response may be an earlier one that was
        written once more, unless nothing was sent on its connection before. Nor can the
        refusal of a second send be told from that of the first, even if that one was
        not read.
        """
        if self.names_request is None:
            is_own = self.exchange == 1 and not self.has_early_bytes
        else:
            is_own = self.names_request
        return is_own and not self.is_contradicted and not self.is_repeated


class RelayResponse(aiohttp.ClientResponse):
    """Response that knows its source, and who ended its connection."""

    source: ResponseSource
    _handler: "StrictHandler | None" = None

    async def start(self, connection: Any) -> "RelayResponse":
        handler = connection.protocol
        assert isinstance(handler, StrictHandler)
        await super().start(connection)
        assert handler.response_source is not None
        self.source = handler.response_source
        self._handler = handler
        return self

    @property
    def connection_end(self) -> ConnectionEnd | None:
        """Who ended the connection; ``None`` while it is open."""
        return None if self._handler is None else self._handler.connection_end


class UnansweredSends:
    """Requests that each peer has refused or not answered; the oldest are forgotten."""

    def __init__(self) -> None:
        self._sent: dict[tuple[Any, RequestId], None] = {}

    def add(self, peer: Any, request_id: RequestId) -> bool:
        """Remember a send; return whether it is the first to its peer."""
        key = peer, request_id
        if key in self._sent:
            return False
        if len(self._sent) >= MAX_REMEMBERED_SENDS:
            del self._sent[next(iter(self._sent))]
        self._sent[key] = None
        return True

    def remove(self, peer: Any, request_id: RequestId) -> None:
        """Forget a send that was answered."""
        self._sent.pop((peer, request_id), None)


class StrictHandler(ResponseHandler):
    """
    Take only the peer's end of a connection as the end of a response.

    aiohttp treats any end of the connection as the end of a body without a length, even
    a reset or a close by this process. It also closes a connection gracefully when the
    exchange is abandoned, so that the rest of the request would still be sent and run
    for a caller that has left. It takes any number for a status. An endless series of
    interim responses is an error; data is parsed in slices so that such a series can't
    block other exchanges.
    """

    def __init__(
        self,
        *,
        header_names: HeaderNames | None,
        unanswered: UnansweredSends,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._header_names = header_names
        self._unanswered = unanswered
        self._peer: Any = None
        self._request_id: RequestId = ""
        self._is_first_send = True
        self._exchanges = 0
        self._refused_ids: set[RequestId] = set()
        self.response_source: ResponseSource | None = None
        self.connection_end: ConnectionEnd | None = None
        self._has_early_bytes = False
        self._in_exchange = False
        self._heads = 0
        self._read_size: ReadSize | None = None

    @property
    def is_new(self) -> bool:
        """Whether no request was sent on this connection."""
        return self._exchanges == 0

    def expect_response_to(self, request_id: RequestId) -> None:
        """Begin the exchange of a request."""
        self._request_id = request_id
        if self._peer is None and self.transport is not None:
            self._peer = self.transport.get_extra_info("peername")
        self._is_first_send = not request_id or self._unanswered.add(
            self._peer, request_id
        )
        self._exchanges += 1
        self.response_source = None

    def can_send(self, request_id: RequestId) -> bool:
        """
        Return whether a request may be sent on this connection.

        Bytes that arrived before it can't be its response, and a second refusal of
        the same request could not be told from the first.
        """
        return (
            not self.should_close
            and request_id not in self._refused_ids
            and not self._has_unread_bytes
        )

    async def read(self) -> tuple[Any, Any]:
        message, payload = await super().read()
        if message.code in INTERIM_STATUSES:
            return message, payload
        if message.code not in FINAL_STATUSES:
            raise aiohttp.ClientPayloadError(f"{message.code} is no final status")
        self.response_source = self._note_response(message)
        return message, payload

    def _note_response(self, message: Any) -> ResponseSource:
        """Decide what the response means for later requests on this connection."""
        source = ResponseSource(
            names_request=self._names_request(message),
            exchange=self._exchanges,
            has_early_bytes=self._has_early_bytes,
            is_refusal=self._is_refusal(message),
            is_contradicted=self._is_refusal(message)
            and any(
                self._names_request(later) and not self._is_refusal(later)
                for (later, _), _ in self._buffer
            ),
            is_repeated=self._is_refusal(message) and not self._is_first_send,
        )
        if source.is_refusal:
            self._refused_ids.add(self._request_id)
        elif source.names_request and self._is_first_send:
            self._unanswered.remove(self._peer, self._request_id)
        is_expected = self._header_names is None or (
            source.names_request and source.is_reliable
        )
        if not is_expected or len(self._refused_ids) >= MAX_REFUSALS:
            self.force_close()
        return source

    def _names_request(self, message: Any) -> bool | None:
        if self._header_names is None:
            return None
        echoed = message.headers.get(self._header_names.request_id)
        return None if echoed is None else echoed == self._request_id

    def _is_refusal(self, message: Any) -> bool:
        if self._header_names is None:
            return False
        return message.code == 421 or self._header_names.not_executed in message.headers

    def set_response_params(self, **options: Any) -> None:
        self._has_early_bytes = self._has_unread_bytes
        self._in_exchange = True
        self._heads = 0
        # Belongs to the previous response; the new one hasn't started yet.
        self._payload = None
        super().set_response_params(**options)

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._read_size = ReadSize(transport=transport)

    def data_received(self, data: bytes) -> None:
        began = time.perf_counter()
        self._parse(data)
        if data and self._read_size is not None:
            self._read_size.note_read(len(data), time.perf_counter() - began)

    def _parse(self, data: bytes) -> None:
        # aiohttp calls this without data to resume its parser.
        if data and self._is_response_complete and self.response_source is not None:
            # Belongs to no request, even if it is only a part of a response so far.
            self.force_close()
        if self._payload is not None or len(data) <= HEAD_SLICE_BYTES:
            super().data_received(data)
            self._fail_broken_framing()
            return
        for start in range(0, len(data), HEAD_SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            super().data_received(data[start : start + HEAD_SLICE_BYTES])
            self._fail_broken_framing()

    def _fail_broken_framing(self) -> None:
        """Fail a body whose framing aiohttp gave up, which tells its reader nothing."""
        is_closing = self.transport is None or self.transport.is_closing()
        if self._payload is not None and is_closing:
            error = aiohttp.ClientPayloadError("broken framing")
            self._fail_response(self._payload, error)

    def feed_data(self, data: Any, size: int = 0) -> None:
        self._heads += 1
        if self._heads <= MAX_HEADS:
            super().feed_data(data, size)
        elif self.transport is not None and not self.transport.is_closing():
            self.set_exception(aiohttp.ClientPayloadError("too many interim answers"))
            reset_connection(self.transport)

    def close(self) -> None:
        self._close(super().close)

    def abort(self) -> None:
        self._close(super().abort)

    def _close(self, close: Callable[[], None]) -> None:
        """Close the connection; if a response on it is awaited, reset it and fail that."""
        transport, payload = self.transport, self._payload
        is_left = self._in_exchange and not self._is_response_complete
        if transport is None or not is_left:
            close()
            return
        self._note_end(ConnectionEnd.CLOSED_HERE)
        reset_connection(transport)
        close()
        # aiohttp has forgotten the payload and any exception before.
        self._fail_response(payload, _closed_here())

    def _note_end(self, end: ConnectionEnd) -> None:
        if self.connection_end is None:
            self.connection_end = end

    def _fail_response(self, payload: Any, error: aiohttp.ClientError) -> None:
        """Fail a response: its head if there is no payload yet, else its body."""
        if payload is None:
            self.set_exception(error)
        elif not payload.is_eof() and payload.exception() is None:
            payload.set_exception(error)

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

    def eof_received(self) -> None:
        self._note_end(ConnectionEnd.PEER)
        payload = self._payload
        if payload is not None and not payload.is_eof() and self._is_uploading:
            # A sound peer may answer early, but says then where its answer ends.
            message = "the connection ended before its peer had the request"
            self._fail_response(payload, aiohttp.ClientPayloadError(message))
        super().eof_received()

    @property
    def _is_uploading(self) -> bool:
        """Whether the peer has not received the whole request."""
        return self.transport is not None and count_unreceived(self.transport) > 0

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        self._note_end(ConnectionEnd.CLOSED_HERE if exc is None else ConnectionEnd.LOST)
        if self.connection_end is ConnectionEnd.CLOSED_HERE:
            self._fail_response(payload, _closed_here())
        elif exc is not None and payload is not None:
            error = aiohttp.ClientPayloadError(f"reset: {exc!r}")
            self._fail_response(payload, error)
        failed = None if payload is None else payload.exception()
        super().connection_lost(exc)
        if payload is not None and failed is not None:
            # aiohttp has put an error of its own in its place.
            payload.set_exception(failed)


def _closed_here() -> ClosedHereError:
    return ClosedHereError("this process closed the connection")


class CheckedConnector(aiohttp.TCPConnector):
    """
    Reuse a connection only for requests that it can take.

    Parameters
    ----------
    header_names : HeaderNames or None
        Names of the headers that tell which request a response is for; ``None`` for
        upstreams that don't tell.
    """

    def __init__(self, *, header_names: HeaderNames | None, **options: Any) -> None:
        super().__init__(**options)
        self._header_names = header_names
        self._factory: Any = partial(
            StrictHandler,
            loop=self._loop,
            header_names=header_names,
            unanswered=UnansweredSends(),
        )

    async def connect(
        self, req: aiohttp.ClientRequest, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Connection:
        names = self._header_names
        request_id = "" if names is None else req.headers.get(names.request_id, "")
        while True:
            connection = await super().connect(req, traces, timeout)
            handler = connection.protocol
            assert isinstance(handler, StrictHandler)
            if handler.is_new or handler.can_send(request_id):
                handler.expect_response_to(request_id)
                return connection
            connection.close()
