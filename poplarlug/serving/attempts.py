"""HTTP client for single attempts at upstreams."""

import asyncio
from enum import Enum
from typing import NamedTuple

import aiohttp
from prometheus_client import Counter

from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.answer_end import Framing, framing_of
from poplarlug.relay.connections import CheckedConnector
from poplarlug.relay.held_bytes import HeldBytesReservation, completions_budget
from poplarlug.relay.run_watch import RunWatch, RunWatches
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.completion_check import CompletionCheck
from poplarlug.serving.json_end import JSON_TYPE, JsonCopy, JsonEnd
from poplarlug.serving.relay import BodyCheck, BodyRelay
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.trace import current_trace
from poplarlug.serving.watchdog import Watchdog, WatchedAttempt
from poplarlug.types import Address, Seconds

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS = 10_000
EVENT_STREAM = "text/event-stream"

_ATTEMPTS = Counter(
    "poplarlug_attempts_total",
    "Attempts at upstreams, by how they ended.",
    ["status"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="serving")


class AttemptStatus(Enum):
    """
    Outcome of an attempt.

    ``NOT_SENT`` means that no byte of the request was sent; ``BROKEN`` that some may
    have been and no complete answer was received.
    """

    DONE = "done"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


class AttemptOutcome(NamedTuple):
    status: AttemptStatus
    message: str = ""


class UpstreamClient:
    """
    Send requests to upstreams and stream their answers to a sink.

    Repeatable requests share pooled connections. Each non-repeatable request gets
    a new connection: on a pooled one that the upstream closed while it was idle,
    the outcome of the request would be unknown.
    """

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._watchdog = Watchdog()
        self._held_bytes = completions_budget("lines")
        self._run_watches = RunWatches()
        self._pooled: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        self._pooled = _session(
            CheckedConnector(header_names=None, limit=MAX_CONNECTIONS)
        )
        self._single = _session(
            CheckedConnector(header_names=None, limit=MAX_CONNECTIONS, force_close=True)
        )

    async def close(self) -> None:
        self._watchdog.close()
        for session in (self._pooled, self._single):
            if session is not None:
                await session.close()

    async def attempt(
        self,
        *,
        request: GatewayRequest,
        address: Address,
        sink: AnswerSink,
        timeout_seconds: Seconds | None = None,
    ) -> AttemptOutcome:
        """
        Send ``request`` to ``address`` and write the answer to ``sink``.

        A repeatable request is cancelled when its caller disconnects.

        Parameters
        ----------
        timeout_seconds : float, optional
            Time limit for the complete answer.
        """
        current_trace().attempts += 1
        outcome = await self._attempt(request, address, sink, timeout_seconds)
        _ATTEMPTS.labels(outcome.status.value).inc()
        return outcome

    async def _attempt(
        self,
        request: GatewayRequest,
        address: Address,
        sink: AnswerSink,
        timeout_seconds: Seconds | None,
    ) -> AttemptOutcome:
        scope = asyncio.timeout(timeout_seconds)
        watched = WatchedAttempt(
            scope=scope, is_abandoned=lambda: request.repeatable and sink.closed
        )
        self._watchdog.add(watched)
        try:
            async with scope:
                return await self._run(request, address, sink, watched)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return AttemptOutcome(AttemptStatus.NOT_SENT, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return AttemptOutcome(AttemptStatus.BROKEN, watched.reason or repr(error))
        finally:
            self._watchdog.remove(watched)

    async def _run(
        self,
        request: GatewayRequest,
        address: Address,
        sink: AnswerSink,
        watched: WatchedAttempt,
    ) -> AttemptOutcome:
        with (
            self._held_bytes.reserve() as reservation,
            self._run_watches.watch(address) as run_watch,
        ):
            return await self._send(
                request, address, sink, watched, reservation, run_watch
            )

    async def _send(
        self,
        request: GatewayRequest,
        address: Address,
        sink: AnswerSink,
        watched: WatchedAttempt,
        reservation: HeldBytesReservation,
        run_watch: RunWatch,
    ) -> AttemptOutcome:
        session = self._pooled if request.repeatable else self._single
        assert session is not None
        if session.closed:
            return AttemptOutcome(AttemptStatus.NOT_SENT, "this client is closed")
        headers = {
            "Content-Type": request.content_type,
            "X-Request-Id": request.id,
            "X-Priority": str(request.priority),
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        async with session.request(
            request.method,
            f"http://{address}{request.path}",
            data=request.body,
            headers=headers,
            allow_redirects=False,
        ) as response:
            head = self._head(response)
            if _is_event_stream(request, head):
                # Lines may be dropped, and another upstream may send the rest.
                head = head._replace(content_length=None)
            await sink.start(head)
            is_unframed = framing_of(response, request.method) is Framing.CONNECTION
            check = _make_check(request, head, is_unframed, reservation)
            relay = BodyRelay(
                response=response,
                sink=sink,
                check=check,
                on_slow=run_watch.start if is_unframed else None,
            )
            watched.count_reads = relay.count_reads
            await relay.run()
        if check is not None and check.is_refuted:
            return AttemptOutcome(
                AttemptStatus.BROKEN, "the event stream holds a line that is no field"
            )
        if _is_event_stream(request, head):
            if relay.ends_with_last_event():
                return AttemptOutcome(AttemptStatus.DONE)
            return AttemptOutcome(
                AttemptStatus.BROKEN, "the event stream ended without [DONE]"
            )
        if not is_unframed:
            return AttemptOutcome(AttemptStatus.DONE)
        json_end = check.end() if isinstance(check, JsonCopy) else JsonEnd.UNCERTAIN
        outcome = await _check_unframed_end(head, relay, json_end, run_watch)
        _log.info(
            "only its connection ended an answer",
            request_id=request.id,
            address=address,
            outcome=outcome.status.value,
            evidence=outcome.message,
        )
        return outcome

    def _head(self, response: aiohttp.ClientResponse) -> AnswerHead:
        return AnswerHead(
            status=response.status,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            content_length=response.content_length,
            served_by=response.headers.get("X-Served-By", ""),
            zone=self._zone,
            resumed_from=_whole_number(response.headers.get("X-Resumed-From", "")),
        )


def _make_check(
    request: GatewayRequest,
    head: AnswerHead,
    is_unframed: bool,
    reservation: HeldBytesReservation,
) -> BodyCheck | None:
    if _is_event_stream(request, head):
        return CompletionCheck(reservation=reservation)
    is_json = head.content_type.lower().startswith(JSON_TYPE)
    return JsonCopy(reservation=reservation) if is_unframed and is_json else None


async def _check_unframed_end(
    head: AnswerHead, relay: BodyRelay, json_end: JsonEnd, run_watch: RunWatch
) -> AttemptOutcome:
    """Return the outcome of an attempt whose answer only its connection has ended."""
    if json_end is JsonEnd.WHOLE:
        return AttemptOutcome(AttemptStatus.DONE, "the JSON text is whole")
    if json_end is JsonEnd.CUT:
        return AttemptOutcome(AttemptStatus.BROKEN, "the JSON text is cut short")
    if head.content_type.startswith(EVENT_STREAM) and not relay.ends_with_event():
        return AttemptOutcome(AttemptStatus.BROKEN, "the stream ended within an event")
    if not await run_watch.is_same_run():
        # A process that ends closes its connections, so the answer may be cut short.
        message = "the connection ended, and its upstream is gone"
        return AttemptOutcome(AttemptStatus.BROKEN, message)
    return AttemptOutcome(AttemptStatus.DONE, "its upstream accepts connections")


def _whole_number(text: str) -> int:
    return int(text) if text.isdecimal() and len(text) < 10 else 0


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    # Disable aiohttp's own retries: only the gateway knows which requests may be
    # repeated.
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
    session = aiohttp.ClientSession(
        timeout=timeout, connector=connector, auto_decompress=False
    )
    session._retry_connection = False
    return session


def _is_event_stream(request: GatewayRequest, head: AnswerHead) -> bool:
    is_stream = head.content_type.startswith(EVENT_STREAM)
    return request.model is not None and is_stream and head.status == 200
