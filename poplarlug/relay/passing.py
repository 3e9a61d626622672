"""Relays a response to its caller: buffered, event by event, or as it arrives."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from prometheus_client import Counter

from poplarlug.errors import GatewayError, outcome_unknown, truncated_answer
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.answer_end import (
    Framing,
    StreamEnd,
    end_of_stream,
    framing_of,
)
from poplarlug.relay.connections import ClosedHereError, RelayResponse
from poplarlug.relay.context import DONE, Outcome, RequestContext, write_full_response
from poplarlug.relay.events import EventProgress
from poplarlug.relay.held_bytes import HeldBytesBudget, HeldBytesReservation
from poplarlug.relay.hop_headers import SOFTWARE_VERSION, UPSTREAM, end_to_end
from poplarlug.serving.answers import AnswerHead, CallerLostError
from poplarlug.serving.relay import CHECKED_SLICE_BYTES, BodyCheck, BodyRelay
from poplarlug.serving.turns import current_turns
from poplarlug.types import Seconds

MAX_DRAINED_BYTES = 16 * 1024
"""Bodies of refusals are shorter; reading more would cost as much as a new connection."""

STALL_SECONDS = 2.0
"""A stream without progress for this time is resumed elsewhere if its upstream is lost and
a slot is free; else the wait goes on. Callers leave after three seconds or more."""

EVENT_STREAM = "text/event-stream"

LOGGED_BYTES = 96
"""Bytes of a stream in one log line."""

_FOREIGN = Counter(
    "poplarlug_relay_foreign_bytes_total",
    "Streams with bytes that belong to no event of their run, by what shows it.",
    ["reason"],
    registry=REGISTRY,
)

_ENDS = Counter(
    "poplarlug_relay_stream_ends_total",
    "Streams whose bytes ended without an error, by framing and by what that shows.",
    ["framing", "end"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


async def relay_response(
    context: RequestContext, response: aiohttp.ClientResponse, budget: HeldBytesBudget
) -> Outcome:
    """
    Relay a response whose head has arrived, and return the outcome.

    A body that isn't a stream is buffered until it is complete, if the budget allows
    it. Of a resumable stream only complete events are relayed, so that another upstream
    can continue it.
    """
    progress = None
    if _requires_events(context, response):
        progress = context.events or EventProgress(event_format=context.event_format)
    try:
        outcome = await _relay(context, response, budget, progress)
    except CallerLostError as error:
        outcome = Outcome(truncated_answer(str(error)), is_ended_here=True)
    _note_end(context, response, progress, outcome)
    return outcome


def _note_end(
    context: RequestContext,
    response: aiohttp.ClientResponse,
    progress: EventProgress | None,
    outcome: Outcome,
) -> None:
    """Note the evidence on which an answer counts as whole or as broken off."""
    framing = framing_of(response, context.request.method)
    if progress is None and framing is not Framing.CONNECTION:
        return
    fields: dict[str, Any] = {"framing": framing.value}
    if progress is not None:
        fields |= {"last_id": progress.last_id, "max_events": context.max_events}
    if isinstance(response, RelayResponse) and response.connection_end is not None:
        fields["ended_by"] = response.connection_end.value
    if outcome.error is not None:
        fields["reason"] = outcome.error.message
    context.trace.step("ended", asyncio.get_running_loop().time(), **fields)


async def _relay(
    context: RequestContext,
    response: aiohttp.ClientResponse,
    budget: HeldBytesBudget,
    progress: EventProgress | None,
) -> Outcome:
    sink = context.sink
    length = response.content_length
    is_held = not _is_stream(context, response) or response.status >= 400
    if sink.started and (is_held or response.status != 200):
        message = f"the stream was not taken up again: status {response.status}"
        return Outcome(truncated_answer(message))
    if is_held and (length is None or length <= budget.max_body_bytes):
        return await _relay_buffered(context, response, budget)
    if not sink.started:
        head = _head_of(response)
        if progress is not None:
            # Comments are dropped, and another upstream may send the rest.
            head = head._replace(content_length=None)
        if context.request.hops:
            version = (SOFTWARE_VERSION, context.upstream_version)
            upstream = (UPSTREAM, context.target)
            head = head._replace(headers=(*head.headers, version, upstream))
        await sink.start(head)
    if progress is None:
        return await _relay_body(context, response)
    with budget.reserve() as reservation:
        if progress is context.events:
            return await _relay_events(context, response, progress, reservation)
        check = EventCheck(progress=progress, reservation=reservation)
        return await _relay_body(context, response, check)


class EventCheck(BodyCheck):
    """Let only whole events of a run through; of large ones, sound lines."""

    def __init__(
        self, *, progress: EventProgress, reservation: HeldBytesReservation
    ) -> None:
        self.progress = progress
        self._reservation = reservation

    @property
    def is_refuted(self) -> bool:
        return self.progress.foreign is not None

    def feed(self, data: bytes) -> bytes:
        events = self.progress.feed(data)
        if not self._reservation.resize(self.progress.held_bytes):
            events += self.progress.flush_partial()
        return events

    def finish(self) -> bytes:
        return self.progress.finish()


async def _relay_body(
    context: RequestContext,
    response: aiohttp.ClientResponse,
    check: EventCheck | None = None,
) -> Outcome:
    """Relay a body as it arrives, at the speed of its caller."""
    sink = context.sink
    framing = framing_of(response, context.request.method)
    is_unframed = framing is Framing.CONNECTION
    body = BodyRelay(
        response=response,
        sink=sink,
        check=check,
        on_slow=context.note_slow_caller if is_unframed else None,
    )
    try:
        async with asyncio.timeout_at(context.request.deadline):
            await body.run()
    except TimeoutError:
        return Outcome(truncated_answer("the answer took too long"))
    except (aiohttp.ClientError, OSError) as error:
        return _broke_off(truncated_answer, error)
    if check is not None:
        outcome = _check_end(context, response, check.progress)
    elif _is_stream(context, response) and not body.ends_with_event():
        outcome = _ended_within_event()
    elif is_unframed:
        outcome = _UNCERTAIN
    else:
        outcome = DONE
    if outcome.is_uncertain and await _outlives_answer(context):
        outcome = DONE
    if outcome.error is None:
        await sink.finish()
    return outcome


_UNCERTAIN = Outcome(
    truncated_answer("the end of the connection may not be the answer's"),
    connection_lost=True,
    is_uncertain=True,
)


async def _outlives_answer(context: RequestContext) -> bool:
    """
    Return whether an upstream is still there after its connection ended an answer.

    An answer that can't be asked for again is then taken as whole.
    """
    is_listening = False
    try:
        async with asyncio.timeout_at(context.request.deadline):
            is_listening = await context.is_listening()
    except TimeoutError:
        # Nobody waits for the answer any more.
        pass
    now = asyncio.get_running_loop().time()
    context.trace.step("looked for upstream", now, is_listening=is_listening)
    return is_listening


def _broke_off(make_error: Callable[[str], GatewayError], error: Exception) -> Outcome:
    """Return the outcome of an attempt whose answer broke off."""
    failed = make_error(f"the answer broke off: {error!r}")
    is_ended_here = isinstance(error, ClosedHereError)
    return Outcome(
        failed, connection_lost=not is_ended_here, is_ended_here=is_ended_here
    )


def _ended_within_event() -> Outcome:
    failed = truncated_answer("the answer ended before or within an event")
    return Outcome(failed, connection_lost=True)


async def _relay_events(
    context: RequestContext,
    response: aiohttp.ClientResponse,
    events: EventProgress,
    reservation: HeldBytesReservation,
) -> Outcome:
    request, sink = context.request, context.sink
    content = response.content
    loop = asyncio.get_running_loop()
    stalls_at = loop.time() + STALL_SECONDS
    is_unframed = framing_of(response, request.method) is Framing.CONNECTION
    events.begin_answer()
    # Complete events that may not be passed on yet, and the id of the last one before.
    held, passed_id = b"", events.last_id
    reader = _SlicedReader(content=content, context=context)
    try:
        async with asyncio.timeout_at(request.deadline) as overall_timeout:
            while True:
                data = await reader.read(stalls_at)
                is_end = not data and content.at_eof()
                complete_events = events.finish() if is_end else events.feed(data)
                has_room = reservation.resize(events.held_bytes + len(held))
                if not has_room:
                    complete_events += events.flush_partial()
                if complete_events:
                    held += complete_events
                    stalls_at = loop.time() + STALL_SECONDS
                if held and (await context.may_pass_events() or not has_room):
                    await _write_events(context, held, is_unframed=is_unframed)
                    held, passed_id = b"", events.last_id
                if is_end or events.foreign is not None:
                    break
            outcome = _check_end(context, response, events)
            # An upstream that has sent the last event twice and is there has no other.
            is_final = events.has_only_repeat or not context.must_ask_again()
            if outcome.is_uncertain and is_final and await _outlives_answer(context):
                outcome = DONE
            if held and outcome.error is None:
                # A whole stream is never resumed, so it needs no record.
                await sink.write(held)
                held = b""
    except TimeoutError:
        reason = "took too long" if overall_timeout.expired() else "stood still"
        return Outcome(truncated_answer(f"the answer {reason}"))
    except (aiohttp.ClientError, OSError) as error:
        return _broke_off(truncated_answer, error)
    finally:
        context.stop_recording()
        if held:
            events.last_id = passed_id
    if outcome.error is None:
        await sink.finish()
    return outcome


async def _write_events(
    context: RequestContext, events: bytes, *, is_unframed: bool
) -> None:
    if not context.sink.write_nowait(events):
        if is_unframed:
            context.note_slow_caller()
        await context.sink.write(events)


def _check_end(
    context: RequestContext, response: aiohttp.ClientResponse, events: EventProgress
) -> Outcome:
    """Return the outcome of an attempt whose stream has ended."""
    if events.foreign is not None:
        return _refuse_foreign(context, events)
    framing = framing_of(response, context.request.method)
    end = end_of_stream(framing, events, context.max_events)
    _ENDS.labels(framing.value, end.value).inc()
    if end is StreamEnd.WITHIN_EVENT:
        return _ended_within_event()
    if end is StreamEnd.NO_REST:
        message = "the answer to a resumed stream has no event"
        return Outcome(truncated_answer(message))
    if end in (StreamEnd.UNCERTAIN, StreamEnd.REPEATED):
        return _UNCERTAIN
    return DONE


def _refuse_foreign(context: RequestContext, events: EventProgress) -> Outcome:
    """Log the bytes that ended a stream, and return the outcome of the attempt."""
    foreign = events.foreign
    assert foreign is not None
    _FOREIGN.labels(foreign.reason.value).inc()
    _log.warning(
        "a stream holds bytes that are no event of its run",
        request_id=context.request.id,
        hops=context.request.hops,
        attempt=context.arrivals + 1,
        target=context.target,
        reason=foreign.reason.value,
        last_id=events.last_id,
        data=ascii(foreign.data[:LOGGED_BYTES])[1:],
    )
    failed = truncated_answer("the answer held bytes that are no event of its run")
    return Outcome(failed, is_foreign=True)


class _SlicedReader:
    """Reads a stream in slices between which other tasks get their turn."""

    def __init__(
        self, *, content: aiohttp.StreamReader, context: RequestContext
    ) -> None:
        self._content = content
        self._context = context
        self._data = b""
        self._start = 0

    async def read(self, stalls_at: Seconds) -> bytes:
        """Return the next slice; see :func:`_read`."""
        if self._start < len(self._data):
            await current_turns().wait()
        else:
            self._data = await _read(self._content, self._context, stalls_at)
            self._start = 0
        start = self._start
        self._start += CHECKED_SLICE_BYTES
        return self._data[start : self._start]


async def _read(
    content: aiohttp.StreamReader, context: RequestContext, stalls_at: Seconds
) -> bytes:
    """
    Return the next bytes of a stream.

    Parameters
    ----------
    stalls_at : float
        Event loop time from which the stream counts as stalled, even if parts of an event
        arrive.

    Raises
    ------
    TimeoutError
        If the stream is stalled and can be resumed elsewhere. An upstream's silence
        alone ends no stream, as it may be busy with other prompts.
    """
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= stalls_at:
            if context.can_resume_elsewhere():
                raise TimeoutError
            stalls_at = loop.time() + STALL_SECONDS
        try:
            async with asyncio.timeout_at(stalls_at):
                return await content.readany()
        except TimeoutError:
            # Stalled; the next round checks whether the stream can be resumed elsewhere.
            continue


async def _relay_buffered(
    context: RequestContext, response: aiohttp.ClientResponse, budget: HeldBytesBudget
) -> Outcome:
    request, sink = context.request, context.sink
    is_failure = response.status >= 500 and request.route.is_repeatable
    with budget.reserve() as reservation:
        try:
            async with asyncio.timeout_at(request.deadline):
                body, is_complete = await _read_buffered(response.content, reservation)
        except TimeoutError:
            return Outcome(outcome_unknown("the answer took too long"))
        except (aiohttp.ClientError, OSError) as error:
            return _broke_off(outcome_unknown, error)
        is_framed = framing_of(response, request.method) is not Framing.CONNECTION
        if is_complete and not is_framed and not await _outlives_answer(context):
            failed = outcome_unknown("the connection ended, and its upstream is gone")
            return Outcome(failed, connection_lost=True)
        if is_failure:
            message = f"the upstream failed with status {response.status}"
            failed = GatewayError(response.status, "upstream_failed", message, None)
            head = _head_of(response)._replace(content_length=len(body))
            return Outcome(failed, error_response=(head, body) if is_complete else None)
        if is_complete:
            head = _head_of(response)._replace(content_length=len(body))
            await write_full_response(head, body, sink)
            return DONE
        context.trace.note(held_bytes=len(body))
        await sink.start(_head_of(response))
        await sink.write(body)
    return await _relay_body(context, response)


async def _read_buffered(
    content: aiohttp.StreamReader, reservation: HeldBytesReservation
) -> tuple[bytes, bool]:
    """Return a body and whether it is complete; if not, the rest exceeds the budget."""
    parts = []
    count = 0
    while not content.at_eof():
        part = await content.readany()
        parts.append(part)
        count += len(part)
        if not reservation.resize(count):
            return b"".join(parts), False
    return b"".join(parts), True


async def drain_short_body(content: aiohttp.StreamReader) -> None:
    """
    Read and discard the rest of a short body, so that its connection can be reused.

    A long one is left unread, and the calling function closes its connection.
    """
    count = 0
    while not content.at_eof() and count <= MAX_DRAINED_BYTES:
        count += len(await content.readany())


def _is_stream(context: RequestContext, response: aiohttp.ClientResponse) -> bool:
    content_type = response.headers.get("Content-Type", "").lower()
    return content_type.startswith(EVENT_STREAM) or _requires_events(context, response)


def _requires_events(context: RequestContext, response: aiohttp.ClientResponse) -> bool:
    """Return whether a body must be events, whatever the upstream says that it is."""
    request = context.request
    return (
        request.route.kind == "streaming"
        and request.method != "HEAD"
        and response.status == 200
    )


def _head_of(response: aiohttp.ClientResponse) -> AnswerHead:
    return AnswerHead(
        status=response.status,
        content_type=response.headers.get("Content-Type", ""),
        content_length=response.content_length,
        headers=end_to_end(response.headers),
    )
