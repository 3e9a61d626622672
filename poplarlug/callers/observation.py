"""Turns finished requests into metrics and lines of the request log."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from structlog.contextvars import bound_contextvars

from poplarlug.callers.metrics import (
    ANSWER_BYTES,
    DURATION,
    ERRORS,
    FIRST_TOKEN,
    FORWARDS,
    IN_PROGRESS,
    LOG_DROPPED,
    REQUESTS,
)
from poplarlug.errors import GatewayError
from poplarlug.requestlog import RequestLog, RequestRecord
from poplarlug.serving.trace import RequestTrace, reset_trace, set_trace
from poplarlug.topology import EntryVm
from poplarlug.types import RequestId, Seconds

NO_RANK = "none"


class RequestObserver:
    """
    Observe callers' requests at one entry.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    wall_clock : callable
        Returns the seconds since 1970.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        log: RequestLog,
        clock: Callable[[], Seconds],
        wall_clock: Callable[[], Seconds],
    ) -> None:
        self._own = own
        self._log = log
        self._clock = clock
        self._wall_clock = wall_clock

    @contextmanager
    def observe(self, request_id: RequestId) -> Iterator[RequestTrace]:
        """Trace the request served within; its id is on each log line."""
        trace = RequestTrace(request_id=request_id, started=self._clock())
        token = set_trace(trace)
        IN_PROGRESS.inc()
        try:
            with bound_contextvars(request_id=request_id):
                yield trace
        finally:
            IN_PROGRESS.dec()
            reset_trace(token)
            self._end(trace)

    def _end(self, trace: RequestTrace) -> None:
        record = self._record(trace)
        rank = record.rank or NO_RANK
        REQUESTS.labels(rank, outcome_of(trace)).inc()
        if record.error:
            ERRORS.labels(record.error).inc()
        elif record.status < 400:
            DURATION.labels(rank).observe(record.total_seconds)
        if record.first_token_seconds is not None:
            FIRST_TOKEN.labels(rank).observe(record.first_token_seconds)
        if trace.forwarded:
            FORWARDS.labels(rank).inc()
        ANSWER_BYTES.inc(trace.bytes)
        self._log.add(record)
        LOG_DROPPED.set(self._log.dropped)

    def _record(self, trace: RequestTrace) -> RequestRecord:
        request, head, error = trace.request, trace.head, trace.error
        record = RequestRecord(
            time=round(self._wall_clock(), 3),
            request_id=trace.request_id,
            entry=self._own.name,
            region=self._own.region,
            account=trace.account,
            status=_status(trace),
            error=error.type if error is not None else "",
            ran=error.ran if error is not None else not trace.abandoned or None,
            total_seconds=round(self._clock() - trace.started, 6),
            attempts=trace.attempts,
            forwarded=trace.forwarded,
            bytes=trace.bytes,
        )
        if request is not None:
            record = record._replace(
                rank=request.rank,
                target=request.model or request.service or "",
                stream=request.stream,
            )
        if head is not None:
            record = record._replace(zone=head.zone, served_by=head.served_by)
        if trace.first_byte is not None:
            first = round(trace.first_byte - trace.started, 6)
            record = record._replace(first_token_seconds=first)
        return record


def outcome_of(trace: RequestTrace) -> str:
    """Return how the request ended, in one of six words."""
    if trace.abandoned:
        return "abandoned"
    if trace.error is not None:
        return _error_outcome(trace.error)
    if trace.head is not None and trace.head.status >= 400:
        return "upstream_error"
    return "answered"


def _error_outcome(error: GatewayError) -> str:
    if error.status < 500 and error.status != 429:
        return "rejected"
    return "refused" if error.ran is False else "failed"


def _status(trace: RequestTrace) -> int:
    if trace.abandoned:
        return 0
    if trace.error is not None:
        return trace.error.status
    return trace.head.status if trace.head is not None else 0
