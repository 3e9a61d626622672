"""What a send tells: the failure of the send, or the head of its response."""

import asyncio
from typing import Any, Literal, TypeAlias

import aiohttp
from prometheus_client import Counter, Histogram

from poplarlug.discovery.records import ServiceUpstream
from poplarlug.errors import GatewayError, not_run, outcome_unknown
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.client import SendError, SendErrorKind
from poplarlug.relay.connections import RelayResponse
from poplarlug.relay.context import Outcome
from poplarlug.relay.header_names import HeaderNames
from poplarlug.relay.limiter import MAX_LOGGED_CHARACTERS
from poplarlug.relay.passing import drain_short_body
from poplarlug.relay.trace import RelayTrace
from poplarlug.relay.view import FleetView
from poplarlug.types import Seconds

TargetKind: TypeAlias = Literal["upstream", "entry"]

REFUSED_RETRY_SECONDS = 0.2
"""Retry time after a refusal by an upstream; its queue advances within that time."""

DRAIN_TIMEOUT_SECONDS = 0.2
"""How long the rest of a refusal's body may take to arrive; if it is read, the connection
is reused."""

_SENDS = Counter(
    "poplarlug_relay_sends_total",
    "Sends to upstreams and other entries, by target and how they ended.",
    ["target", "outcome"],
    registry=REGISTRY,
)
_UNRELIABLE = Counter(
    "poplarlug_relay_unreliable_answers_total",
    "Answers that may belong to another request, or whose refusal may be an old one.",
    ["target"],
    registry=REGISTRY,
)
_FIRST_ANSWER_SECONDS = Histogram(
    "poplarlug_relay_first_answer_seconds",
    "From a send to the head of its answer.",
    ["target"],
    buckets=(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0),
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class SendResults:
    """
    Record what sends tell of their targets, and decide which responses are believed.

    Parameters
    ----------
    view : FleetView
        Gets rate limits, pauses and cold times of upstreams.
    """

    def __init__(self, *, view: FleetView, header_names: HeaderNames) -> None:
        self._view = view
        self._header_names = header_names

    def note_head(
        self,
        target: TargetKind,
        response: RelayResponse,
        trace: RelayTrace,
        now: Seconds,
        started: Seconds,
    ) -> None:
        """Count a response, and add its head to the trace of the request."""
        _SENDS.labels(target, "answered").inc()
        _FIRST_ANSWER_SECONDS.labels(target).observe(now - started)
        source = response.source
        fields: dict[str, Any] = {
            "status": response.status,
            "exchange": source.exchange,
            "echoed": source.names_request,
        }
        if source.has_early_bytes:
            fields["early_bytes"] = True
        limit = response.headers.get(self._header_names.limit)
        if limit is not None:
            fields["limit"] = limit[:MAX_LOGGED_CHARACTERS]
        trace.step("answered", now, **fields)

    def note_failed(
        self, target: TargetKind, error: SendError, trace: RelayTrace, now: Seconds
    ) -> Outcome:
        """Record a send without a response, and return its outcome."""
        _SENDS.labels(target, error.kind.value).inc()
        trace.step("send failed", now, kind=error.kind.value, reason=error.message)
        if error.kind is SendErrorKind.NOT_SENT:
            failed = not_run("no connection stood", REFUSED_RETRY_SECONDS)
            return Outcome(failed, arrived=False)
        if error.kind is SendErrorKind.TIMEOUT:
            message = "no answer came within the time"
            return Outcome(GatewayError(504, "timed_out", message, None, None))
        if error.kind is SendErrorKind.CLOSED_HERE:
            message = "this entry closed the connection before an answer"
            return Outcome(outcome_unknown(message), is_ended_here=True)
        failed = outcome_unknown("the connection was lost before an answer")
        return Outcome(failed, connection_lost=True)

    def check_source(
        self, target: TargetKind, response: RelayResponse
    ) -> Outcome | None:
        """Return the outcome if a response may be another request's, else ``None``."""
        if response.source.is_reliable:
            return None
        _UNRELIABLE.labels(target).inc()
        return Outcome(outcome_unknown("the answer may be another request's"))

    async def check_head(
        self,
        upstream: ServiceUpstream,
        response: RelayResponse,
        requested_at: Seconds,
    ) -> Outcome | None:
        """
        Record what the head of an upstream's response says of the upstream.

        Returns
        -------
        Outcome or None
            Why the response must not be relayed, ``None`` if it may be.
        """
        self._record_limit(upstream, response, requested_at)
        self._record_backoff(upstream, response)
        header_names = self._header_names
        headers = response.headers
        unreliable = self.check_source("upstream", response)
        if unreliable is not None:
            return unreliable
        if response.source.is_refusal:
            cold = _parse_milliseconds(headers.get(header_names.cold_left, ""))
            if cold:
                self._view.in_flight.note_cold(upstream.id, cold)
            message = f"the upstream refused it with status {response.status}"
            await _drain_refusal(response)
            return Outcome(not_run(message, REFUSED_RETRY_SECONDS))
        if header_names.signature not in headers:
            return Outcome(outcome_unknown("the answer is not an upstream's"))
        if headers.get("Content-Encoding", "identity").lower() != "identity":
            return Outcome(outcome_unknown("the answer came in an encoding"))
        return None

    def _record_limit(
        self, upstream: ServiceUpstream, response: RelayResponse, requested_at: Seconds
    ) -> None:
        """Record the rate limit in a response, if it is from the upstream itself."""
        header_names = self._header_names
        headers = response.headers
        source = response.source
        has_run = header_names.signature in headers
        is_own = response.status != 421 and (has_run or source.is_refusal)
        if is_own and source.names_request and source.is_reliable:
            self._view.limiter.note_limit(
                upstream,
                headers.getall(header_names.limit, ()),
                requested_at=requested_at,
                has_run=has_run,
            )

    def _record_backoff(
        self, upstream: ServiceUpstream, response: RelayResponse
    ) -> None:
        """Record that an upstream leaves or wants a pause, as its response says."""
        headers = response.headers
        if response.status == 421 or not response.source.is_reliable:
            return
        backoff = self._view.backoff
        backoff.note_leaving(upstream, headers.getall(self._header_names.leaving, ()))
        if response.status == 503:
            backoff.note_retry_after(upstream, headers.getall("Retry-After", ()))


async def _drain_refusal(response: aiohttp.ClientResponse) -> None:
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
            await drain_short_body(response.content)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        _log.debug("the rest of a refusal did not come", error=repr(error))


def _parse_milliseconds(text: str) -> Seconds:
    """Convert a header from milliseconds to seconds; 0 if it is no valid number."""
    return int(text) / 1000 if text.isdecimal() and len(text) < 10 else 0.0
